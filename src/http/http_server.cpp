#include "http/http_server.h"

#include "log/logger.h"
#include "settings/listening_socket.h"
#include "settings/socket_endpoint.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

http_server::http_server(boost::asio::io_context& context, http_limits limits, request_handlers handlers)
    : context_(context)
    , limits_(limits)
    , handlers_(std::move(handlers))
    , acceptor_(context)
    , bodies_(std::make_shared<body_budget>(limits.max_bodies_bytes))
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
        if (!failure) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true),
                              ignored); // NOLINT(bugprone-unused-return-value): best effort
            const auto session =
                std::make_shared<http_session>(std::move(socket), limits_, handlers_, numbers_, bodies_);
            if (sessions_.size() >= limits_.max_connections) {
                forget_closed();
            }
            if (sessions_.size() >= limits_.max_connections) {
                log_event(event::connection_refused, field("open", sessions_.size()));
                session->refuse_connection();
            }
            else {
                sessions_.push_back(session);
                session->start();
            }
        }
        accept_next();
    });
}

void http_server::forget_closed()
{
    const auto first_expired = std::remove_if(
        sessions_.begin(), sessions_.end(), [](const std::weak_ptr<http_session>& s) { return s.expired(); });
    sessions_.erase(first_expired, sessions_.end());
}

} // namespace dragonflymill::http
