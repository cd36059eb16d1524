#pragma once

#include "settings/socket_address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace dragonflymill {

/// Where to connect or listen over TCP; `invalid_input` if the address is empty or its number can't be read.
[[nodiscard]] auto tcp_endpoint(const socket_address& address) -> result<boost::asio::ip::tcp::endpoint>;
/// Where to send or receive datagrams; fails as `tcp_endpoint` does.
[[nodiscard]] auto udp_endpoint(const socket_address& address) -> result<boost::asio::ip::udp::endpoint>;

/// Reads `127.0.0.1:8080` or `[::1]:8080` as a place to connect to or listen at over TCP.
[[nodiscard]] auto parse_tcp_endpoint(std::string_view text) -> result<boost::asio::ip::tcp::endpoint>;
/// Reads the same as a place to send datagrams to.
[[nodiscard]] auto parse_udp_endpoint(std::string_view text) -> result<boost::asio::ip::udp::endpoint>;

/// Writes an endpoint the way `parse_socket_address` reads it.
[[nodiscard]] auto to_text(const boost::asio::ip::tcp::endpoint& endpoint) -> std::string;
/// Writes an endpoint the way `parse_socket_address` reads it.
[[nodiscard]] auto to_text(const boost::asio::ip::udp::endpoint& endpoint) -> std::string;

} // namespace dragonflymill
