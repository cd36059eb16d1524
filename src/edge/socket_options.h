#pragma once

#include "dragonflymill/core/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace dragonflymill::edge {

/// A connection is closed when sent bytes stay unacknowledged for this long. Without this limit, a write on a
/// dead network path would wait for the kernel's default of a quarter of an hour.
inline constexpr duration tcp_user_timeout = 2500ms;

/// Idle time before the first TCP keepalive probe. Keepalive detects a host that loses power while its
/// response is awaited: no sent bytes are unacknowledged then, and nothing else would end the wait or release
/// the KV cache reserved for it.
inline constexpr int keepalive_idle_s = 1;
inline constexpr int keepalive_interval_s = 1;  ///< Time between two probes.
inline constexpr int keepalive_probe_count = 2; ///< Unanswered probes that end the connection.

/// Sets the options common to all connections: non-blocking, TCP_NODELAY, keepalive and TCP_USER_TIMEOUT.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace dragonflymill::edge
