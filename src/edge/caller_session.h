#pragma once

#include "dragonflymill/direct/fleet_config.h"
#include "edge/caller_request.h"
#include "edge/loop_timers.h"
#include "edge/send_queue.h"
#include "http/caller_account.h"
#include "http/request_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dragonflymill::edge {

class caller_session;

/// A request that a session has read and whose response isn't complete yet.
class in_flight_request
{
public:
    in_flight_request() = default;
    virtual ~in_flight_request() = default;
    in_flight_request(const in_flight_request&) = delete;
    auto operator=(const in_flight_request&) -> in_flight_request& = delete;

    /// Called when the caller has closed its connection; cancels the work for the request.
    virtual void on_caller_disconnected() = 0;
};

/// Handles the requests that sessions read.
class request_handler
{
public:
    request_handler() = default;
    virtual ~request_handler() = default;
    request_handler(const request_handler&) = delete;
    auto operator=(const request_handler&) -> request_handler& = delete;

    /// Starts handling a request; may send the response before it returns. Null if nothing needs cancelling.
    virtual auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<in_flight_request> = 0;
    /// Current size and time limits for callers.
    [[nodiscard]] virtual auto limits() const -> direct::caller_limits = 0;
    /// Budget that the handler's sessions share.
    [[nodiscard]] virtual auto budget() const -> const std::shared_ptr<caller_budget>& = 0;
    /// Time from the first byte of a request in which its body must arrive; `head` is complete.
    [[nodiscard]] virtual auto body_time(const http::request_reader& head) const -> duration = 0;
    /// Whether responses announce `Connection: close`.
    [[nodiscard]] virtual auto closing() const -> bool = 0;
    /// Called when a session has closed.
    virtual void session_ended(caller_session* session) = 0;
};

/// Server side of a caller's HTTP/1.1 connection: reads requests one at a time, writes their responses and
/// detects that the caller has disconnected.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(boost::asio::ip::tcp::socket socket, loop_timers& timers, request_handler& handler);

    /// Starts reading requests.
    void start();
    /// Sends a complete response.
    void send_response(unsigned status, std::string_view reason, const std::vector<header_field>& fields,
                       std::string_view body);
    /// Sends the head of a streamed response.
    void begin_response(unsigned status, std::string_view reason, const std::vector<header_field>& fields);
    /// Sends the next part of a streamed response's body.
    void send_body_part(std::string_view bytes);
    /// Completes a streamed response.
    void end_response();
    /// Closes the connection, so that the caller sees a truncated response rather than a complete one.
    void abort();
    /// Closes the connection now if it is idle, otherwise after the current response.
    void close_when_idle();
    /// Claims memory for a part of a response that is kept for this caller; false if there is no room for it.
    [[nodiscard]] auto claim_response(std::size_t bytes) -> bool;
    /// Changes what is claimed in total to `bytes`; false if there is no room for it.
    [[nodiscard]] auto resize_response_claim(std::size_t bytes) -> bool;
    /// Releases all that was claimed by `claim_response`; so does the end of the response.
    void release_response();
    /// Bytes of responses that the connection hasn't accepted yet; they are lost if it is closed now.
    [[nodiscard]] auto unsent_bytes() const -> std::size_t { return out_.unsent_bytes(); }
    /// Whether no request is being read or handled.
    [[nodiscard]] auto idle() const -> bool { return phase_ == phase::idle; }
    [[nodiscard]] auto closed() const -> bool { return phase_ == phase::closed; }

private:
    enum class phase
    {
        idle,       ///< Between requests.
        reading,    ///< Part of a request has been received.
        responding, ///< A request is being handled.
        lingering,  ///< The last response is being flushed; further input is discarded.
        closed,     ///< The socket is closed.
    };

    void enter(phase next);
    /// Sets the account's phase, which decides the order of evictions.
    void update_account_phase();
    void on_evicted(caller_eviction why);
    void begin_request();
    void read();
    void on_readable();
    /// Takes bytes that were read; returns false if nothing more is to be read.
    [[nodiscard]] auto take_input(std::string_view bytes) -> bool;
    void continue_request(http::request_state state);
    void on_head_done();
    void reject(unsigned status, std::string_view reason);
    void refuse_for_memory();
    /// Sends 503 if the socket takes it at once; returns whether it did.
    [[nodiscard]] auto write_refusal() -> bool;
    void dispatch();
    void finish_response();
    /// Closes the connection once its response is sent.
    void end_after_response();
    void write(std::string_view bytes);
    [[nodiscard]] auto claim_output() -> bool;
    void set_timeout(duration timeout);
    void on_timeout();
    void close_gracefully();
    void close();
    [[nodiscard]] auto head_text(unsigned status, std::string_view reason,
                                 const std::vector<header_field>& fields) -> std::string;

    /// Memory of a call besides its request: the exchange, its call to an upstream and their timers.
    static constexpr std::size_t call_bytes = 24'576;
    /// Reads in a row of a connection with much input, before others are served.
    static constexpr int max_reads = 4;
    /// The connection to a slow reader is closed when more unsent bytes than this are queued.
    static constexpr std::size_t max_unsent_bytes = 4'194'304;
    /// Input is drained for this long after the last response: closing a socket with unread bytes resets the
    /// connection and can discard a response that the caller hasn't received yet.
    static constexpr duration linger_time = 1s;

    boost::asio::ip::tcp::socket socket_;
    loop_timers& timers_;
    request_handler& handler_;
    send_queue out_;
    http::caller_account account_;
    http::request_reader reader_{account_};
    std::shared_ptr<in_flight_request> current_;
    std::optional<timer_id> timer_;
    instant request_began_{};
    std::size_t request_claimed_ = 0;  // for the request that is being handled
    std::size_t response_claimed_ = 0; // by `claim_response`
    std::size_t output_claimed_ = 0;   // for what the socket hasn't accepted
    std::size_t discarded_ = 0;        // input while lingering
    phase phase_ = phase::idle;
    bool keep_alive_ = true;
    bool is_http_1_0_ = false;
    bool is_head_request_ = false;
    bool continue_sent_ = false;
    bool reading_ = false;
    bool closing_ = false;
};

} // namespace dragonflymill::edge
