#include "upstream/service_client.h"

#include "http/whole_answer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <memory>
#include <string_view>
#include <utility>

namespace dragonflymill::upstream {

namespace {

constexpr std::size_t max_answer_bytes = 4 * 1024 * 1024;

auto request_of(const service_spec& spec) -> http::http_request
{
    http::http_request request{spec.method, spec.target, {}, spec.body};
    if (!spec.content_type.empty()) {
        request.fields.push_back({"Content-Type", spec.content_type});
    }
    if (!spec.idempotency_key.empty()) {
        request.fields.push_back({"Idempotency-Key", spec.idempotency_key});
    }
    request.fields.push_back({"X-Request-Id", spec.request.text()});
    return request;
}

} // namespace

service_client::service_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                               duration connect_timeout, sink events)
    : context_(context)
    , server_(std::move(server))
    , connect_timeout_(connect_timeout)
    , events_(std::move(events))
{
}

void service_client::run(const sidecar_output::run_service& what)
{
    http::call_limits limits;
    limits.connect_timeout = std::min(connect_timeout_, what.remaining);
    limits.first_byte_timeout = what.remaining;
    limits.silence_timeout = what.remaining;
    limits.total_timeout = what.remaining;
    limits.max_body_bytes = max_answer_bytes;
    const call_number number = what.call;
    auto handlers =
        http::gather_answer([this, number](http::call_end how, const http::http_response& answer) {
            const bool was_kept = release(number);
            if (was_kept && how == http::call_end::whole) {
                events_(sidecar_input::service_answered{
                    number, {static_cast<int>(answer.status), answer.content_type, answer.body}});
                return;
            }
            events_(sidecar_input::service_failed{number, how != http::call_end::not_sent});
        });
    handlers.on_bytes = [this, number, keep = std::move(handlers.on_bytes)](std::string_view bytes) {
        if (claim(number, bytes.size())) {
            keep(bytes);
        }
    };
    const auto call = std::make_shared<http::http_call>(context_, server_, limits);
    running_.insert_or_assign(number, running_call{call});
    call->start(request_of(what.spec), what.not_after, std::move(handlers));
}

auto service_client::claim(call_number number, std::size_t bytes) -> bool
{
    running_call& running = running_.at(number);
    if (running.aborted) {
        return false;
    }
    running.bytes += bytes;
    held_bytes_ += bytes;
    if (held_bytes_ > max_held_bytes) {
        abort_longest();
    }
    return !running.aborted;
}

auto service_client::release(call_number number) -> bool
{
    const auto ended = running_.find(number);
    const bool was_kept = !ended->second.aborted;
    held_bytes_ -= ended->second.bytes;
    running_.erase(ended);
    return was_kept;
}

void service_client::abort_longest()
{
    const auto longest = std::max_element(running_.begin(), running_.end(), [](const auto& a, const auto& b) {
        return a.second.bytes < b.second.bytes;
    });
    const call_number number = longest->first;
    running_call& running = longest->second;
    running.aborted = true;
    held_bytes_ -= std::exchange(running.bytes, 0);
    // The call may be the one whose bytes are being handled, so that its handlers can't be dropped yet.
    boost::asio::post(context_, [this, number, call = running.call] {
        if (running_.contains(number)) {
            call->drop();
            running_.erase(number);
            events_(sidecar_input::service_failed{number, true});
        }
    });
}

} // namespace dragonflymill::upstream
