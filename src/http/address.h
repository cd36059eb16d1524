#pragma once

#include "dragonflymill/core/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace dragonflymill::http {

/// Reads `127.0.0.1:8080` or `[::1]:8080`. Names are not looked up: processes talk by IP numbers.
[[nodiscard]] auto parse_address(const std::string& text) -> result<boost::asio::ip::tcp::endpoint>;
/// Writes an endpoint as `parse_address` reads it.
[[nodiscard]] auto address_text(const boost::asio::ip::tcp::endpoint& endpoint) -> std::string;

} // namespace dragonflymill::http
