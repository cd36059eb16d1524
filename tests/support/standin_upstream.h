#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::test_support {

/// A connection that a stand-in upstream has accepted, and the bytes received on it.
struct taken_connection : std::enable_shared_from_this<taken_connection>
{
    explicit taken_connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    /// Whether the head and a body of `Content-Length` bytes have been received.
    [[nodiscard]] auto whole() const -> bool
    {
        const auto head = received.find("\r\n\r\n");
        const auto length = received.find("Content-Length: ");
        if (head == std::string::npos) {
            return false;
        }
        const std::size_t body = length < head ? std::stoul(received.substr(length + 16)) : 0;
        return received.size() >= head + 4 + body;
    }
    void send(const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
    void close() { socket.close(); }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    boost::asio::ip::tcp::socket socket;
    std::string received;
    bool ended = false; ///< The peer has closed the connection, or reading failed.
    std::array<char, 4096> buffer{};
};

/// An HTTP upstream on loopback that calls a handler of the test for each complete request.
class standin_upstream
{
public:
    using script = std::function<void(taken_connection&)>;

    standin_upstream(boost::asio::io_context& loop, script told)
        : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , script_(std::move(told))
    {
        accept();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Ends like a crashed process: closes all connections and refuses new ones.
    void crash()
    {
        acceptor_.close();
        for (const auto& taken : requests) {
            taken->close();
        }
    }
    /// Connections on which a complete request was received.
    std::vector<std::shared_ptr<taken_connection>> requests;

private:
    void accept()
    {
        acceptor_.async_accept([this](const auto& failed, boost::asio::ip::tcp::socket socket) {
            if (failed) {
                return;
            }
            read(std::make_shared<taken_connection>(std::move(socket)));
            accept();
        });
    }
    void read(const std::shared_ptr<taken_connection>& taken)
    {
        taken->socket.async_read_some(boost::asio::buffer(taken->buffer),
                                      [this, taken](const auto& failed, std::size_t bytes) {
                                          if (failed) {
                                              taken->ended = true;
                                              return;
                                          }
                                          const bool before = taken->whole();
                                          taken->received.append(taken->buffer.data(), bytes);
                                          if (!before && taken->whole()) {
                                              requests.push_back(taken);
                                              script_(*taken);
                                          }
                                          if (taken->socket.is_open()) {
                                              read(taken);
                                          }
                                      });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    script script_;
};

} // namespace dragonflymill::test_support
