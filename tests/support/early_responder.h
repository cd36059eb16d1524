#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::test_support {

/// How a stand-in answers a request whose body it doesn't read to its end.
struct early_response
{
    /// How the connection ends after the last part of the response.
    enum class ending
    {
        reset,           ///< With a TCP reset at once.
        half_close,      ///< Closes its sending side and neither reads nor closes the connection any more.
        half_close_read, ///< Closes its sending side and reads until the peer closes.
        stay_open,       ///< Not at all; the rest of the request isn't read.
        repeat,          ///< Not at all; the last part is sent again and again.
    };

    std::vector<std::string> parts; ///< Parts of the response, each sent in one write.
    ending end = ending::reset;     ///< What follows the last part.
    std::size_t bytes_to_read = 0;  ///< Bytes of the request that are read before the first part.
    int receive_buffer = 0;         ///< Size of the socket's receive buffer in bytes; 0 for the default.
    bool when_writes_stall = true;  ///< Whether the first part waits until no more of the request arrives.
};

/// An upstream on loopback that answers before it has read a request, and may break its connection.
class early_responder
{
public:
    early_responder(boost::asio::io_context& loop, early_response response);
    ~early_responder() = default;
    early_responder(const early_responder&) = delete;
    auto operator=(const early_responder&) -> early_responder& = delete;

    /// Address and port on which it listens.
    [[nodiscard]] auto address() const -> std::string;
    /// Connections that were accepted.
    [[nodiscard]] auto connections() const -> std::size_t { return open_.size(); }
    /// Connections of which the peer has closed while a part was sent again and again.
    [[nodiscard]] auto closed() const -> std::size_t { return totals_->closed; }
    /// Bytes of responses that the connections have accepted.
    [[nodiscard]] auto sent_bytes() const -> std::size_t { return totals_->sent; }

private:
    class connection;
    struct totals
    {
        std::atomic<std::size_t> sent = 0;
        std::atomic<std::size_t> closed = 0;
    };

    void accept();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const early_response> response_;
    std::shared_ptr<totals> totals_ = std::make_shared<totals>();
    std::vector<std::shared_ptr<connection>> open_;
};

} // namespace dragonflymill::test_support
