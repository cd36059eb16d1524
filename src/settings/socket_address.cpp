#include "settings/socket_address.h"

#include "dragonflymill/core/units.h"

#include <boost/asio/ip/address.hpp>

namespace dragonflymill {

namespace {

constexpr std::int64_t max_port = 65'535;

auto invalid_address(std::string_view text) -> error
{
    return {error_kind::invalid_input, "'" + std::string(text) + "' is not an IP number with a port",
            "write it like 127.0.0.1:8080 or [::1]:8080; host names are not resolved"};
}

} // namespace

auto parse_socket_address(std::string_view text) -> result<socket_address>
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_address(text);
    }
    std::string_view ip = text.substr(0, colon);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code failed;
    const auto address = boost::asio::ip::make_address(std::string(ip), failed);
    const auto port = parse_count(text.substr(colon + 1));
    if (failed || address.is_v6() != bracketed || port.has_error() || port.value() > max_port) {
        return invalid_address(text);
    }
    return socket_address{address.to_string(), static_cast<std::uint16_t>(port.value())};
}

auto to_text(const socket_address& address) -> std::string
{
    if (address.empty()) {
        return {};
    }
    const bool v6 = address.ip.find(':') != std::string::npos;
    return (v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

} // namespace dragonflymill
