#pragma once

#include "settings/socket_address.h"

#include <boost/asio/ip/tcp.hpp>

namespace dragonflymill {

/// Opens `acceptor` on an address, with the longest line of new connections that the system allows;
/// `unavailable` if another process holds it.
[[nodiscard]] auto open_listening(boost::asio::ip::tcp::acceptor& acceptor, const socket_address& address)
    -> result<void>;

} // namespace dragonflymill
