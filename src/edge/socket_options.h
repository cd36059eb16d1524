#pragma once

#include "dragonflymill/core/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace dragonflymill::edge {

/// Bytes that the other side does not acknowledge for so long end a connection. Guards against a path that
/// went silent: without it, a write waits for the kernel's own quarter of an hour.
inline constexpr duration unacknowledged_limit = 4s;

/// Sets what all our connections need: no delay of small writes, a bound on unacknowledged bytes, no
/// blocking.
void prepare_socket(boost::asio::ip::tcp::socket& socket);

} // namespace dragonflymill::edge
