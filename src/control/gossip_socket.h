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

/// The UDP socket for gossip. Sending never blocks: a datagram that can't be sent immediately is dropped,
/// like any datagram may be.
class gossip_socket
{
public:
    /// Called with each datagram and its sender's address.
    using receiver = std::function<void(std::string_view bytes, const std::string& from)>;

    /// Binds to an IP and port; returns `unavailable` if that fails.
    [[nodiscard]] static auto open(boost::asio::io_context& context, const std::string& address)
        -> result<std::unique_ptr<gossip_socket>>;

    /// Starts receiving.
    void start(receiver on_datagram);
    /// Sends a datagram; ignores invalid and unreachable addresses.
    void send(const std::string& address, std::string_view bytes);
    /// The bound port.
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
