#pragma once

#include "settings/socket_address.h"

#include <boost/asio/ip/tcp.hpp>

namespace dragonflymill {

/// Opens `acceptor` on an address with the largest accept backlog that the system allows. Fails with
/// `unavailable` if the socket can't be bound, for example because the address is in use, and with
/// `invalid_input` if the address is invalid.
[[nodiscard]] auto open_listening(boost::asio::ip::tcp::acceptor& acceptor, const socket_address& address)
    -> result<void>;

} // namespace dragonflymill
