#pragma once

#include "dragonflymill/direct/fleet_config.h"
#include "edge/caller_request.h"
#include "edge/loop_timers.h"
#include "edge/send_queue.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dragonflymill::edge {

class caller_session;

/// A request that a session has read and that is being answered.
class open_request
{
public:
    open_request() = default;
    virtual ~open_request() = default;
    open_request(const open_request&) = delete;
    auto operator=(const open_request&) -> open_request& = delete;

    /// The caller closed its connection: its work is to be cancelled.
    virtual void caller_left() = 0;
};

/// Takes the requests of sessions.
class request_handler
{
public:
    request_handler() = default;
    virtual ~request_handler() = default;
    request_handler(const request_handler&) = delete;
    auto operator=(const request_handler&) -> request_handler& = delete;

    /// Begins to answer a request; may answer before it returns.
    virtual auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<open_request> = 0;
    /// What callers may send now.
    [[nodiscard]] virtual auto limits() const -> direct::caller_limits = 0;
    /// Whether callers are told that their connection ends with this answer.
    [[nodiscard]] virtual auto closing() const -> bool = 0;
    /// A session ended.
    virtual void session_ended(caller_session* session) = 0;
};

/// A caller's connection: reads requests one after the other, writes their answers and notices when the
/// caller leaves.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(boost::asio::ip::tcp::socket socket, loop_timers& timers, request_handler& handler);

    /// Begins to read.
    void start();
    /// Sends an answer that is whole.
    void answer(unsigned status, std::string_view reason, const std::vector<header_field>& fields,
                std::string_view body);
    /// Sends the head of an answer that comes in pieces.
    void begin_answer(unsigned status, std::string_view reason, const std::vector<header_field>& fields);
    /// Sends a piece of it.
    void send_piece(std::string_view bytes);
    /// Ends it as complete.
    void end_answer();
    /// Closes the connection, so that a part of an answer can't be taken for the whole.
    void cut();
    /// Ends the connection if it is idle, or else after its answer.
    void close_when_idle();
    /// Whether no request is being read or answered.
    [[nodiscard]] auto idle() const -> bool { return phase_ == phase::idle; }
    /// Whether the connection is over.
    [[nodiscard]] auto over() const -> bool { return phase_ == phase::over; }

private:
    enum class phase
    {
        idle,      ///< Between requests.
        reading,   ///< A request has begun.
        answering, ///< A request is being answered.
        ending,    ///< Its last answer is on its way out.
        over,      ///< Closed.
    };
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void took(const boost::system::error_code& failed, std::size_t bytes);
    void parse();
    void begin_parser();
    void refuse_unreadable(const boost::beast::error_code& failed);
    void dispatch();
    [[nodiscard]] auto request_of(parser& whole) -> caller_request;
    void answered();
    void write(std::string_view bytes);
    void wait_until(duration limit);
    void timed_out();
    void end_gracefully();
    void close();
    [[nodiscard]] auto head_text(unsigned status, std::string_view reason,
                                 const std::vector<header_field>& fields) -> std::string;

    static constexpr std::size_t read_bytes = 16'384;
    /// A caller may send its next request early; more than this is left in its socket until the answer is
    /// out.
    static constexpr std::size_t max_early_bytes = 65'536;
    /// A caller that reads so slowly that this much waits for it is given up.
    static constexpr std::size_t max_waiting_bytes = 4'194'304;
    /// After the last answer the caller's side is read for so long, since closing with unread bytes would
    /// reset the connection and could destroy the answer on its way.
    static constexpr duration linger = 1s;

    boost::asio::ip::tcp::socket socket_;
    loop_timers& timers_;
    request_handler& handler_;
    send_queue out_;
    std::array<char, read_bytes> buffer_{};
    std::string in_;
    std::optional<parser> parser_;
    std::shared_ptr<open_request> current_;
    std::optional<timer_id> timer_;
    phase phase_ = phase::idle;
    bool keep_open_ = true;
    bool old_protocol_ = false;
    bool head_only_ = false;
    bool continue_sent_ = false;
    bool reading_ = false;
    bool closing_ = false;
};

} // namespace dragonflymill::edge
