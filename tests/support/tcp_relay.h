#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflymill::test_support {

/// A way between two processes that can be cut: what is open then stays open and carries nothing more, and
/// what is opened before it heals likewise. Works on a thread of its own.
class tcp_relay
{
public:
    /// Passes connections on to `target`, an IP number with a port.
    explicit tcp_relay(const std::string& target);
    tcp_relay(const tcp_relay&) = delete;
    auto operator=(const tcp_relay&) -> tcp_relay& = delete;
    ~tcp_relay();

    /// Where it listens.
    [[nodiscard]] auto address() const -> const std::string& { return address_; }
    /// From now on nothing gets through.
    void cut();
    /// New connections get through again; those from before never do.
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
