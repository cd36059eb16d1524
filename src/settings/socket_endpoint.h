#pragma once

#include "settings/socket_address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace dragonflymill {

/// Converts an address to a TCP endpoint; fails with `invalid_input` if its IP address is empty or invalid.
[[nodiscard]] auto tcp_endpoint(const socket_address& address) -> result<boost::asio::ip::tcp::endpoint>;
/// Converts an address to a UDP endpoint; fails as `tcp_endpoint` does.
[[nodiscard]] auto udp_endpoint(const socket_address& address) -> result<boost::asio::ip::udp::endpoint>;

/// Parses `127.0.0.1:8080` or `[::1]:8080` as a TCP endpoint; fails with `invalid_input` on any other text.
[[nodiscard]] auto parse_tcp_endpoint(std::string_view text) -> result<boost::asio::ip::tcp::endpoint>;
/// Parses the same text as a UDP endpoint.
[[nodiscard]] auto parse_udp_endpoint(std::string_view text) -> result<boost::asio::ip::udp::endpoint>;

/// Formats an endpoint as `parse_socket_address` reads it.
[[nodiscard]] auto to_text(const boost::asio::ip::tcp::endpoint& endpoint) -> std::string;
/// Formats an endpoint as `parse_socket_address` reads it.
[[nodiscard]] auto to_text(const boost::asio::ip::udp::endpoint& endpoint) -> std::string;

} // namespace dragonflymill
