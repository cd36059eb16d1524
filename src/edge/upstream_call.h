#pragma once

#include "dragonflymill/direct/attempt_rules.h"
#include "edge/loop_timers.h"
#include "edge/send_queue.h"
#include "edge/upstream_request.h"
#include "http/response_parser.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dragonflymill::edge {

/// Receives an upstream's response.
class response_handler
{
public:
    response_handler() = default;
    virtual ~response_handler() = default;
    response_handler(const response_handler&) = delete;
    auto operator=(const response_handler&) -> response_handler& = delete;

    /// Called before the request is sent; returns false if the receiver has cancelled the call.
    virtual auto on_connected() -> bool { return true; }
    /// Called with the head; returns false if the receiver has cancelled the call.
    virtual auto on_response_head(const http::response_head& head) -> bool = 0;
    /// Called with decoded bytes of the body.
    virtual void on_response_body(const std::string& bytes) = 0;
    /// Called when the response is complete.
    virtual void on_response_complete() = 0;
    /// Called when no complete response will arrive; `why` is for the log.
    virtual void on_response_failed(direct::attempt_end end, const std::string& why) = 0;
};

/// One request to one upstream, on a connection of its own.
///
/// Connections aren't reused. The upstream may have dropped an idle one without notice, and it may carry
/// bytes of an earlier response or a late second one; each case would fail a call that must not be repeated.
/// A new connection costs about a millisecond and little CPU time compared to a stream's events.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    /// `receiver` must outlive the call or cancel it first.
    upstream_call(boost::asio::io_context& loop, loop_timers& timers, response_handler& receiver);

    /// Connects to `address` and sends `request`, whose body must stay valid until the call has ended or was
    /// cancelled. `no_body` is set if the response has no body whatever its framing says.
    void start(const std::string& address, encoded_request request, bool no_body);
    /// Closes the connection without notifying the receiver.
    void cancel();
    /// Whether any byte of the request may have been sent.
    [[nodiscard]] auto any_sent() const -> bool { return out_.any_sent(); }
    /// What was received from the first byte on that is no valid HTTP/1.1; empty before any was received.
    [[nodiscard]] auto unparsed_bytes() const -> std::string_view
    {
        return parser_ ? std::string_view(parser_->unparsed_bytes()) : std::string_view();
    }

    /// The farthest upstream has a round-trip time of 15 ms. A lost SYN is retransmitted only after a second;
    /// connecting to another upstream is faster.
    static constexpr duration connect_timeout = 250ms;

private:
    /// Sends as much of the request's body as the socket accepts, and a slice more; false if it is broken.
    [[nodiscard]] auto send_body() -> bool;
    /// Whether the upstream's host has received the complete request over a connection that hasn't failed.
    [[nodiscard]] auto request_delivered() -> bool;
    void on_connected(const boost::system::error_code& failed);
    void read();
    void on_read(const boost::system::error_code& failed, std::size_t bytes);
    void consume(std::string_view bytes);
    void on_read_error(const boost::system::error_code& failed);
    void fail(direct::attempt_end end, const std::string& why);
    void close();

    static constexpr std::size_t read_bytes = 16'384;
    /// Part of a request's body that is queued at once: the body itself isn't copied.
    static constexpr std::size_t slice_bytes = 131'072;

    boost::asio::ip::tcp::socket socket_;
    loop_timers& timers_;
    response_handler* receiver_;
    send_queue out_;
    encoded_request request_;
    std::optional<http::response_parser> parser_;
    std::array<char, read_bytes> buffer_{};
    std::optional<timer_id> connect_timer_;
    bool head_passed_ = false;
    bool body_received_ = false;
};

} // namespace dragonflymill::edge
