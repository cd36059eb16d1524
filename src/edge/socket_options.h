#pragma once

#include "dragonflymill/core/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace dragonflymill::edge {

/// Bytes that the other side does not acknowledge for so long end a connection. Guards against a path that
/// went silent: without it, a write waits for the kernel's own quarter of an hour.
inline constexpr duration unacknowledged_limit = 2500ms;

/// A connection on which nothing came for so long is asked whether the other side is still there. Guards
/// against a host that lost power while we wait for its answer: nothing is unacknowledged then, and nothing
/// would end the wait, nor give back the engine memory that is held for it.
inline constexpr int probe_after_s = 1;
inline constexpr int probe_interval_s = 1; ///< Between two such questions.
inline constexpr int probes = 2;           ///< Unanswered questions that end the connection.

/// Sets what all our connections need: no delay of small writes, a bound on unacknowledged bytes, no
/// blocking.
void prepare_socket(boost::asio::ip::tcp::socket& socket);

} // namespace dragonflymill::edge
