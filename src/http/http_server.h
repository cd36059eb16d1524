#pragma once

#include "dragonflymill/core/error.h"
#include "http/http_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::http {

/// Accepts client connections on a single-threaded context.
class http_server
{
public:
    /// Sessions run on `context` and pass their requests to `handlers`.
    http_server(boost::asio::io_context& context, http_limits limits, request_handlers handlers);

    /// Listens on `address` (IP:port); port 0 selects a free port.
    [[nodiscard]] auto listen(const std::string& address) -> result<void>;
    /// Local address (IP:port) of the listening socket.
    [[nodiscard]] auto local_address() const -> std::string;
    /// Stops accepting connections and closes idle ones; the others close after their current request. Must
    /// run on the context's thread.
    void stop_accepting();
    /// Number of open connections. Must be called on the context's thread.
    [[nodiscard]] auto connection_count() -> std::size_t;

private:
    void accept_next();
    void start_session(boost::asio::ip::tcp::socket socket);
    void forget_closed();
    /// Logs what the budget has decided since the last line, once in an interval at most.
    void log_evictions();

    boost::asio::io_context& context_;
    http_limits limits_;
    request_handlers handlers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<std::uint64_t> numbers_ = std::make_shared<std::uint64_t>(0);
    std::shared_ptr<caller_budget> budget_;
    boost::asio::steady_timer accept_timer_;
    std::vector<std::weak_ptr<http_session>> sessions_;
    caller_budget_counts logged_;
    instant logged_at_{};
    bool stopping_ = false;
};

} // namespace dragonflymill::http
