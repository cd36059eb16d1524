#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/membership/datagram.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill::control {

/// The UDP socket of the gossip. It never waits for room: what can't be sent now is lost, as any datagram may
/// be.
class gossip_socket
{
public:
    /// Told of each datagram and its sender's address.
    using receiver = std::function<void(std::string_view bytes, const std::string& from)>;

    /// Binds to an IP and port.
    [[nodiscard]] static auto open(boost::asio::io_context& context, const std::string& address)
        -> result<std::unique_ptr<gossip_socket>>;

    /// Receives from now on.
    void start(receiver on_datagram);
    /// Sends a datagram; an address that can't be read or reached is skipped.
    void send(const std::string& address, std::string_view bytes);
    /// The port it is bound to.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    explicit gossip_socket(boost::asio::ip::udp::socket socket)
        : socket_(std::move(socket))
    {
    }
    void receive();

    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    std::array<char, max_datagram_bytes + 1> buffer_{};
    receiver on_datagram_;
};

} // namespace dragonflymill::control
