#pragma once

#include "http/caller_account.h"
#include "http/http_limits.h"
#include "http/http_request.h"
#include "http/request_reader.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill::http {

class http_session;

/// Callbacks of an HTTP server, invoked on the server's thread.
struct request_handlers
{
    /// Called with each complete request; must respond with the session's `respond` or `open_events`.
    std::function<void(const std::shared_ptr<http_session>&, http_request)> on_request;
    /// Called once for a request whose client disconnected before `respond` or `close_events` was called.
    std::function<void(std::uint64_t exchange)> on_caller_left;
    /// Returns the response to a request for which there is no memory; if empty, a default 503 response is
    /// sent.
    std::function<http_response()> on_no_room{};
};

/// One client connection, which serves one request at a time. `respond`, `open_events`, `send_event` and
/// `close_events` may be called from any thread. They take the exchange number, since a late response must
/// not be sent for the next request on the same connection.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    /// Takes ownership of an accepted connection. `numbers` is the shared exchange counter of the server.
    http_session(boost::asio::ip::tcp::socket socket, const http_limits& limits,
                 const request_handlers& handlers, std::shared_ptr<std::uint64_t> numbers);
    ~http_session() = default;
    http_session(const http_session&) = delete;
    auto operator=(const http_session&) -> http_session& = delete;

    /// Starts reading the first request. Returns false if `budget` has no place for the connection.
    [[nodiscard]] auto start(std::shared_ptr<caller_budget> budget) -> bool;
    /// Sends 503 and closes without reading a request; used when too many connections are open.
    void refuse_connection();

    /// Number of the current request, unique within the server. Must be read on the server's thread.
    [[nodiscard]] auto exchange() const -> std::uint64_t { return exchange_; }

    /// Sends the complete response of an exchange.
    void respond(std::uint64_t exchange, http_response response);
    /// Starts a response that is a stream of server-sent events.
    void open_events(std::uint64_t exchange, std::vector<header_field> fields);
    /// Sends one event with `payload` as data on the open stream.
    void send_event(std::uint64_t exchange, std::string payload);
    /// Ends the stream with the last chunk. A stream that is aborted lacks it, which lets the client detect
    /// the truncation.
    void close_events(std::uint64_t exchange);
    /// Closes the connection when it is idle and accepts no further request. Used during shutdown.
    void stop_when_idle();

private:
    enum class state
    {
        reading,
        waiting,
        streaming,
        closing,
        discarding,
        closed
    };

    void enter(state next);
    void on_evicted(caller_eviction why);
    void begin_request();
    void read();
    void on_readable();
    void take_input(std::string_view bytes);
    void continue_request(request_state found);
    void on_head_done();
    void reject(const http_response& response);
    void refuse_for_memory();
    /// Sends 503 if the socket takes it at once; returns whether it did.
    [[nodiscard]] auto write_refusal() -> bool;
    void set_read_timeout(duration timeout);
    void on_read_timeout();
    void discard_then_shut();
    void hand_over();
    void caller_left();
    void write_out(std::string bytes, bool last);
    void write_next();
    void on_written(boost::system::error_code failure);
    void exchange_done();
    void schedule_comment();
    void shut();

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer comment_timer_;
    boost::asio::steady_timer read_timer_;
    const http_limits& limits_;
    const request_handlers& handlers_;
    std::shared_ptr<std::uint64_t> numbers_;
    caller_account account_;
    request_reader reader_{account_};
    std::size_t request_claimed_ = 0; // for the request that is being handled
    std::deque<std::string> unsent_;
    std::size_t unsent_bytes_ = 0;
    std::uint64_t exchange_ = 0;
    state state_ = state::reading;
    bool writing_ = false;
    bool last_queued_ = false;
    bool keep_alive_ = false;
    bool stopping_ = false;
    bool reading_ = false;
    bool head_seen_ = false;
    bool input_unread_ = false; // discard the rest of the request before closing, see discard_then_shut
    std::size_t discarded_ = 0;
};

} // namespace dragonflymill::http
