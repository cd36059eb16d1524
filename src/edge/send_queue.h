#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// Send buffer of a socket. Writes as much as the socket accepts immediately, so that stream events aren't
/// delayed, and queues the rest until the socket is writable.
class send_queue
{
public:
    /// Called with true when a write has failed, with false when all queued bytes are written.
    using handler = std::function<void(bool failed)>;

    /// `socket` must outlive the queue.
    explicit send_queue(boost::asio::ip::tcp::socket& socket)
        : socket_(socket)
    {
    }

    /// Sends bytes and queues what can't be written at once; `owner` is kept alive while bytes are queued.
    /// Returns false if the connection is broken.
    [[nodiscard]] auto send(std::string_view bytes, const std::shared_ptr<void>& owner) -> bool;
    /// Sets the handler that is called when queued bytes are written or lost.
    void on_done(handler done) { done_ = std::move(done); }
    /// Number of queued bytes.
    [[nodiscard]] auto unsent_bytes() const -> std::size_t { return queue_.size(); }
    /// Memory that is allocated for queued bytes.
    [[nodiscard]] auto held_bytes() const -> std::size_t { return queue_.empty() ? 0 : queue_.capacity(); }
    /// Drops all queued bytes.
    void clear() { std::string().swap(queue_); }
    /// Error of the first write that failed; no error before. The system reports the end of a connection
    /// once, so that a read may not see what a write has got.
    [[nodiscard]] auto write_error() const -> const boost::system::error_code& { return write_error_; }
    /// Whether the socket has accepted any byte.
    [[nodiscard]] auto any_sent() const -> bool { return sent_ > 0; }

private:
    void wait_until_writable(const std::shared_ptr<void>& owner);
    void record_error(const boost::system::error_code& failed);

    boost::asio::ip::tcp::socket& socket_;
    std::string queue_;
    handler done_;
    boost::system::error_code write_error_;
    std::size_t sent_ = 0;
    bool writing_ = false;
};

} // namespace dragonflymill::edge
