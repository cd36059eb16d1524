#include "http/http_server.h"

#include "log/logger.h"
#include "runtime/clock.h"
#include "settings/listening_socket.h"
#include "settings/socket_endpoint.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration accept_retry_delay = 50ms;
constexpr duration log_interval = 5s;

} // namespace

http_server::http_server(boost::asio::io_context& context, http_limits limits, request_handlers handlers)
    : context_(context)
    , limits_(limits)
    , handlers_(std::move(handlers))
    , acceptor_(context)
    , budget_(std::make_shared<caller_budget>(
          caller_budget_limits{limits.max_bodies_bytes + limits.growth_bytes(), limits.max_connections}))
    , accept_timer_(context)
{
}

auto http_server::listen(const std::string& address) -> result<void>
{
    const auto parsed = parse_socket_address(address);
    if (!parsed) {
        return parsed.error();
    }
    if (auto opened = open_listening(acceptor_, parsed.value()); !opened) {
        return opened;
    }
    accept_next();
    return success();
}

auto http_server::local_address() const -> std::string
{
    error_code ignored;
    return to_text(acceptor_.local_endpoint(ignored));
}

void http_server::stop_accepting()
{
    stopping_ = true;
    error_code ignored;
    acceptor_.close(ignored); // NOLINT(bugprone-unused-return-value): the acceptor is closed even on error
    for (const auto& weak : sessions_) {
        if (const auto session = weak.lock()) {
            session->stop_when_idle();
        }
    }
}

auto http_server::connection_count() -> std::size_t
{
    forget_closed();
    return sessions_.size();
}

void http_server::accept_next()
{
    acceptor_.async_accept([this](error_code failure, tcp::socket socket) {
        if (stopping_ || failure == boost::asio::error::operation_aborted) {
            return;
        }
        if (failure) {
            // Out of descriptors, as a rule; accepting again at once would fail again at once.
            accept_timer_.expires_after(accept_retry_delay);
            accept_timer_.async_wait([this](error_code cancelled) {
                if (!cancelled && !stopping_) {
                    accept_next();
                }
            });
            return;
        }
        start_session(std::move(socket));
        accept_next();
    });
}

void http_server::start_session(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value): best effort
    const auto session = std::make_shared<http_session>(std::move(socket), limits_, handlers_, numbers_);
    if (!session->start(budget_)) {
        session->refuse_connection();
    }
    else {
        if (sessions_.size() >= limits_.max_connections) {
            forget_closed();
        }
        sessions_.push_back(session);
    }
    log_evictions();
}

void http_server::log_evictions()
{
    const caller_budget_counts& counts = budget_->counts();
    const instant now = runtime::now();
    if (counts == logged_ || now - logged_at_ < log_interval) {
        return;
    }
    if (counts.connections_refused != logged_.connections_refused) {
        log_event(event::connection_refused, field("open", budget_->connections()));
    }
    log_event(event::callers_evicted, field("memory", counts.evicted_for_memory - logged_.evicted_for_memory),
              field("connections", counts.evicted_for_connections - logged_.evicted_for_connections),
              field("claims_refused", counts.claims_refused - logged_.claims_refused),
              field("connections_refused", counts.connections_refused - logged_.connections_refused),
              field("held_bytes", budget_->held()), field("open", budget_->connections()));
    logged_ = counts;
    logged_at_ = now;
}

void http_server::forget_closed()
{
    const auto first_expired = std::remove_if(
        sessions_.begin(), sessions_.end(), [](const std::weak_ptr<http_session>& s) { return s.expired(); });
    sessions_.erase(first_expired, sessions_.end());
}

} // namespace dragonflymill::http
