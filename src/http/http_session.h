#pragma once

#include "http/body_budget.h"
#include "http/http_limits.h"
#include "http/http_request.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflymill::http {

class http_session;

/// What a server does with its requests. Both are called on the server's thread.
struct request_handlers
{
    /// Called with each whole request; answers with the session's `respond` or `open_events`.
    std::function<void(const std::shared_ptr<http_session>&, http_request)> on_request;
    /// Called once for a request whose caller left before it was answered whole.
    std::function<void(std::uint64_t exchange)> on_caller_left;
    /// Gives the answer to a request for whose body there is no room; an answer of the server's own if empty.
    std::function<http_response()> on_no_room{};
};

/// One caller's connection, a request at a time. `respond`, `open_events`, `send_event` and `close_events`
/// may be called from any thread; they name the exchange, so that an answer that comes late can't reach the
/// next request of the same connection.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    /// Takes over an accepted connection; `numbers` gives each exchange its number, and bodies are claimed
    /// from `bodies`.
    http_session(boost::asio::ip::tcp::socket socket, const http_limits& limits,
                 const request_handlers& handlers, std::shared_ptr<std::uint64_t> numbers,
                 std::shared_ptr<body_budget> bodies);
    ~http_session() = default;
    http_session(const http_session&) = delete;
    auto operator=(const http_session&) -> http_session& = delete;

    /// Reads the first request.
    void start();
    /// Answers and closes without reading a request: there are too many connections.
    void refuse_connection();

    /// Number of the request being served, unique within the server; read it on the server's thread.
    [[nodiscard]] auto exchange() const -> std::uint64_t { return exchange_; }

    /// Answers the exchange whole.
    void respond(std::uint64_t exchange, http_response response);
    /// Answers with a stream of server-sent events.
    void open_events(std::uint64_t exchange, std::vector<header_field> fields);
    /// Sends one event's payload on the open stream.
    void send_event(std::uint64_t exchange, std::string payload);
    /// Ends the stream. A stream that ends otherwise has no last chunk, so a caller can tell that it is not
    /// whole.
    void close_events(std::uint64_t exchange);
    /// Closes when idle and takes no further request: the process is stopping.
    void stop_when_idle();

private:
    enum class state
    {
        reading,
        waiting,
        streaming,
        closing,
        closed
    };

    void read_header();
    void on_header(boost::system::error_code failure);
    void on_body(boost::system::error_code failure);
    void reject_unreadable(boost::system::error_code failure);
    [[nodiscard]] auto claim_body() -> bool;
    void refuse_body();
    void discard_then_shut();
    void hand_over();
    void watch_for_close();
    void caller_left();
    void write_out(std::string bytes, bool last);
    void write_next();
    void on_written(boost::system::error_code failure);
    void exchange_done();
    void schedule_comment();
    void shut();

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer comment_timer_;
    const http_limits& limits_;
    const request_handlers& handlers_;
    std::shared_ptr<std::uint64_t> numbers_;
    body_claim body_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::deque<std::string> unsent_;
    std::size_t unsent_bytes_ = 0;
    std::uint64_t exchange_ = 0;
    state state_ = state::reading;
    bool writing_ = false;
    bool last_queued_ = false;
    bool keep_alive_ = false;
    bool stopping_ = false;
    bool body_unread_ = false; // what the caller still sends is thrown away, so that it gets its answer
    std::size_t discarded_ = 0;
};

} // namespace dragonflymill::http
