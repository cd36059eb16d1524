#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflymill::test_support {

/// A TCP relay between two processes that simulates a partition: connections that are open at a cut, or
/// opened before it heals, stay open but carry nothing more. Runs on its own thread.
class tcp_relay
{
public:
    /// Relays connections to `target`, an IP address with a port.
    explicit tcp_relay(const std::string& target);
    tcp_relay(const tcp_relay&) = delete;
    auto operator=(const tcp_relay&) -> tcp_relay& = delete;
    ~tcp_relay();

    /// Address and port on which the relay listens.
    [[nodiscard]] auto address() const -> const std::string& { return address_; }
    /// Stops relaying on all connections.
    void cut();
    /// Relays new connections again; earlier ones stay cut.
    void heal();

private:
    class connection;

    void accept();

    boost::asio::io_context io_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::vector<std::shared_ptr<connection>> connections_;
    bool is_cut_ = false;
    std::thread thread_;
};

} // namespace dragonflymill::test_support
