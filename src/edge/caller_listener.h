#pragma once

#include "dragonflymill/overload/connection_gate.h"
#include "edge/gateway_metrics.h"
#include "edge/loop_timers.h"
#include "settings/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

namespace dragonflymill::edge {

/// Listens on an address, and logs if it can't be.
[[nodiscard]] auto open_logged(boost::asio::ip::tcp::acceptor& acceptor, const socket_address& address)
    -> result<void>;

/// Time before accepting is tried again after a failure, which lasts until connections are closed.
inline constexpr duration accept_retry_delay = 50ms;

/// Accepts callers' connections. While the event loop is behind, the excess is closed unread, so that callers
/// retry at other gateways, and those that are accepted are served.
class caller_listener
{
public:
    /// Called with each accepted connection.
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    caller_listener(boost::asio::io_context& loop, loop_timers& timers, gateway_metrics& metrics,
                    connection_handler on_accepted, connection_gate gate = {});

    /// Listens on an address; callers wait in the socket's backlog until `start`.
    [[nodiscard]] auto open(const socket_address& address) -> result<void>;
    /// Starts to accept; does nothing if it has started.
    void start();
    /// Port that is listened on.
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Time between two removals of waiting connections while there are too many.
    static constexpr duration turn_away_interval = 50ms;
    /// Maximum number of waiting connections that are closed in a row.
    static constexpr int max_turned_away = 256;

private:
    void accept();
    void measure_lag();
    void turn_away_waiting();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    gateway_metrics& metrics_;
    connection_handler on_accepted_;
    boost::asio::ip::tcp::acceptor acceptor_;
    connection_gate gate_;
    bool started_ = false;
    bool measuring_ = false;
};

} // namespace dragonflymill::edge
