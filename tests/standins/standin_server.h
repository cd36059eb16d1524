#pragma once

#include "standins/http_server.h"
#include "standins/standin_thread.h"

#include <optional>

namespace dragonflymill::standins {

/// A stand-in's HTTP server on the one thread that the stand-in lives on. The owner declares it before
/// whatever its handlers use and calls `stop` in its destructor: a handler that runs meanwhile would find
/// that gone.
class standin_server
{
public:
    /// Listens on `port`, or on a free one if it is 0, and hands requests to `handle`.
    void start(std::uint16_t port, http_server::handler handle);
    /// Closes all connections and ends the thread: no handler runs any more.
    void stop();

    /// Where the stand-in's handlers run.
    [[nodiscard]] auto io() -> boost::asio::io_context& { return thread_.io(); }
    /// The port it listens on.
    [[nodiscard]] auto port() const -> std::uint16_t { return http_->port(); }
    /// The server, for its faults; from handlers only.
    [[nodiscard]] auto http() -> http_server& { return *http_; }

private:
    standin_thread thread_;
    std::optional<http_server> http_;
};

} // namespace dragonflymill::standins
