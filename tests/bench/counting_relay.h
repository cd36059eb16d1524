#pragma once

#include "runtime/io_thread.h"

#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace dragonflymill::test {

/// Counts of one direction.
struct passed_bytes
{
    std::atomic<std::uint64_t> bytes{0};  ///< TCP payload in bytes.
    std::atomic<std::uint64_t> pieces{0}; ///< Non-empty reads; approximately one for each segment.
};

/// Relays connections to a loopback port and counts the relayed bytes.
class counting_relay
{
public:
    /// Relays to `port`.
    explicit counting_relay(int port)
        : target_(boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port))
        , acceptor_(thread_.context(), {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept_next();
        thread_.start();
    }

    /// Address to connect to.
    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    passed_bytes up;   ///< To the target.
    passed_bytes down; ///< From the target.

private:
    using tcp = boost::asio::ip::tcp;
    struct pipe
    {
        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        std::array<char, 65'536> buffer{};
    };

    void accept_next()
    {
        auto caller = std::make_shared<tcp::socket>(thread_.context());
        acceptor_.async_accept(*caller, [this, caller](const boost::system::error_code& failed) {
            if (failed) {
                return;
            }
            auto callee = std::make_shared<tcp::socket>(thread_.context());
            callee->connect(target_);
            caller->set_option(tcp::no_delay(true));
            callee->set_option(tcp::no_delay(true));
            pump(std::make_shared<pipe>(pipe{caller, callee}), up);
            pump(std::make_shared<pipe>(pipe{callee, caller}), down);
            accept_next();
        });
    }

    void pump(const std::shared_ptr<pipe>& held, passed_bytes& count)
    {
        held->from->async_read_some(
            boost::asio::buffer(held->buffer),
            [this, held, &count](const boost::system::error_code& failed, std::size_t length) {
                if (failed) {
                    held->to->close();
                    return;
                }
                count.bytes += length;
                ++count.pieces;
                boost::asio::async_write(
                    *held->to, boost::asio::buffer(held->buffer, length),
                    [this, held, &count](const boost::system::error_code& broken, std::size_t) {
                        if (!broken) {
                            pump(held, count);
                        }
                    });
            });
    }

    tcp::endpoint target_;
    runtime::io_thread thread_;
    tcp::acceptor acceptor_;
};

} // namespace dragonflymill::test
