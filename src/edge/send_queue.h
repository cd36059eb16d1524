#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// Bytes on their way into a socket. Writes at once what the socket takes, since an event of a stream may
/// wait nowhere, and keeps the rest until there is room.
class send_queue
{
public:
    /// Called when a write failed, or when all bytes are written.
    using handler = std::function<void(bool failed)>;

    /// Writes into `socket`, which outlives it; `keep` keeps the owner alive while a write is under way.
    explicit send_queue(boost::asio::ip::tcp::socket& socket)
        : socket_(socket)
    {
    }

    /// Sends bytes; `done` is called later if they could not be written at once. Returns false if the
    /// connection is broken.
    [[nodiscard]] auto send(std::string_view bytes, const std::shared_ptr<void>& owner) -> bool;
    /// Sets what is called when queued bytes are written or lost.
    void on_done(handler done) { done_ = std::move(done); }
    /// Bytes that wait.
    [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }
    /// Whether any byte was taken by the socket.
    [[nodiscard]] auto any_sent() const -> bool { return sent_ > 0; }

private:
    void wait_for_room(const std::shared_ptr<void>& owner);

    boost::asio::ip::tcp::socket& socket_;
    std::string queue_;
    handler done_;
    std::size_t sent_ = 0;
    bool writing_ = false;
};

} // namespace dragonflymill::edge
