#pragma once

#include "standins/http_server.h"
#include "standins/standin_thread.h"

#include <optional>

namespace dragonflymill::standins {

/// HTTP server of a stand-in, with the thread that runs its handlers. The owner must declare it before the
/// members that the handlers use, and call `stop` in its destructor: otherwise a handler could run while
/// those members are being destroyed.
class standin_server
{
public:
    /// Listens on `port` (0 picks a free one) and passes requests to `handle`.
    void start(std::uint16_t port, http_server::handler handle);
    /// Closes all connections and joins the thread. No handler runs afterwards.
    void stop();

    /// Context that runs the handlers.
    [[nodiscard]] auto io() -> boost::asio::io_context& { return thread_.io(); }
    /// Listening port.
    [[nodiscard]] auto port() const -> std::uint16_t { return http_->port(); }
    /// The server, for injecting faults. Use it from handlers only.
    [[nodiscard]] auto http() -> http_server& { return *http_; }

private:
    standin_thread thread_;
    std::optional<http_server> http_;
};

} // namespace dragonflymill::standins
