#include "settings/socket_endpoint.h"

#include <boost/asio/ip/address.hpp>

namespace dragonflymill {

namespace {

namespace ip = boost::asio::ip;

template <typename Protocol>
auto make_endpoint(const socket_address& address) -> result<ip::basic_endpoint<Protocol>>
{
    boost::system::error_code failed;
    const auto number = ip::make_address(address.ip, failed);
    if (failed) {
        return error(error_kind::invalid_input, "'" + address.ip + "' is not an IP number",
                     "write an address like 127.0.0.1:8080 or [::1]:8080");
    }
    return ip::basic_endpoint<Protocol>(number, address.port);
}

template <typename Protocol>
auto parse_endpoint(std::string_view text) -> result<ip::basic_endpoint<Protocol>>
{
    const auto address = parse_socket_address(text);
    if (!address) {
        return address.error();
    }
    return make_endpoint<Protocol>(address.value());
}

template <typename Protocol>
auto endpoint_text(const ip::basic_endpoint<Protocol>& endpoint) -> std::string
{
    return to_text(socket_address{endpoint.address().to_string(), endpoint.port()});
}

} // namespace

auto tcp_endpoint(const socket_address& address) -> result<ip::tcp::endpoint>
{
    return make_endpoint<ip::tcp>(address);
}

auto udp_endpoint(const socket_address& address) -> result<ip::udp::endpoint>
{
    return make_endpoint<ip::udp>(address);
}

auto parse_tcp_endpoint(std::string_view text) -> result<ip::tcp::endpoint>
{
    return parse_endpoint<ip::tcp>(text);
}

auto parse_udp_endpoint(std::string_view text) -> result<ip::udp::endpoint>
{
    return parse_endpoint<ip::udp>(text);
}

auto to_text(const ip::tcp::endpoint& endpoint) -> std::string
{
    return endpoint_text(endpoint);
}

auto to_text(const ip::udp::endpoint& endpoint) -> std::string
{
    return endpoint_text(endpoint);
}

} // namespace dragonflymill
