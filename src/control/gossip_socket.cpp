#include "control/gossip_socket.h"

#include "settings/socket_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <optional>

namespace dragonflymill::control {

namespace {

using boost::asio::ip::udp;

auto endpoint_of(const std::string& text) -> std::optional<udp::endpoint>
{
    const auto parsed = parse_socket_address(text);
    if (parsed.has_error()) {
        return std::nullopt;
    }
    const auto endpoint = udp_endpoint(parsed.value());
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

} // namespace

auto gossip_socket::open(boost::asio::io_context& context, const std::string& address)
    -> result<std::unique_ptr<gossip_socket>>
{
    boost::system::error_code failure;
    const auto endpoint = endpoint_of(address);
    udp::socket socket(context);
    if (endpoint) {
        socket.open(endpoint->protocol(), failure);
        if (!failure) {
            socket.bind(*endpoint, failure);
        }
    }
    if (!endpoint || failure) {
        return error(error_kind::unavailable, "can't bind to " + address + " " + failure.message(),
                     "free the address or change control.udp_listen");
    }
    socket.non_blocking(true, failure);
    return std::unique_ptr<gossip_socket>(new gossip_socket(std::move(socket)));
}

void gossip_socket::start(receiver on_datagram)
{
    on_datagram_ = std::move(on_datagram);
    receive();
}

void gossip_socket::send(const std::string& address, std::string_view bytes)
{
    if (const auto endpoint = endpoint_of(address)) {
        boost::system::error_code failure;
        socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), *endpoint, 0, failure);
    }
}

auto gossip_socket::port() const -> std::uint16_t
{
    boost::system::error_code failure;
    return socket_.local_endpoint(failure).port();
}

void gossip_socket::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), from_,
                               [this](boost::system::error_code failure, std::size_t size) {
                                   if (failure == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   // Ignores errors: ICMP errors of unreachable peers are reported here.
                                   if (!failure) {
                                       on_datagram_({buffer_.data(), size}, to_text(from_));
                                   }
                                   receive();
                               });
}

} // namespace dragonflymill::control
