#include "control/admin_server.h"

#include <future>
#include <utility>

namespace dragonflymill::control {

namespace {

constexpr duration push_timeout = 3s;

} // namespace

admin_server::admin_server(boost::asio::io_context& context, daemon_control& control,
                           std::function<process_status()> status, std::function<void()> drain)
    : control_(control)
    , status_(std::move(status))
    , drain_(std::move(drain))
    , handlers_{[this] { return current_status(); },
                [this]() -> result<void> {
                    drain_();
                    return success();
                },
                [this](const bundle_package& package) { return take(package); }}
    , server_(context, http::http_limits{.max_body_bytes = max_package_bytes},
              {[this](const std::shared_ptr<http::http_session>& session, const http::http_request& request) {
                   session->respond(session->exchange(), answer_admin(request, handlers_));
               },
               [](std::uint64_t /*exchange*/) {}})
{
}

auto admin_server::listen(const socket_address& address) -> result<void>
{
    if (address.empty()) {
        return success();
    }
    return server_.listen(to_text(address));
}

void admin_server::note(const control_snapshot& snapshot)
{
    process_status known;
    known.ready = snapshot.ready && snapshot.in_force;
    known.reason = known.ready ? "" : "no bundle in force";
    if (snapshot.in_force) {
        known.bundle = snapshot.in_force->version.value();
    }
    if (snapshot.word) {
        known.bundle_digest = snapshot.word->digest.hex();
    }
    if (!snapshot.alarms.empty()) {
        known.last_rejection = snapshot.alarms.back();
    }
    fleet_.set(std::move(known));
}

auto admin_server::current_status() const -> process_status
{
    auto status = status_();
    const auto known = fleet_.get();
    status.ready = known.ready;
    status.reason = known.reason;
    status.bundle = known.bundle;
    status.bundle_digest = known.bundle_digest;
    status.last_rejection = known.last_rejection;
    return status;
}

auto admin_server::take(const bundle_package& package) -> result<void>
{
    // Blocks until the control thread replies; this thread serves nothing else meanwhile.
    const auto promise = std::make_shared<std::promise<result<void>>>();
    auto future = promise->get_future();
    control_.push({encode_signed_manifest(package.manifest), package.sections},
                  [promise](const result<void>& outcome) { promise->set_value(outcome); });
    if (future.wait_for(push_timeout) != std::future_status::ready) {
        return error(error_kind::timed_out, "the bundle was not taken in time", "push it again");
    }
    return future.get();
}

} // namespace dragonflymill::control
