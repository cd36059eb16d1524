#pragma once

#include "dragonflymill/response/event_parser.h"
#include "dragonflymill/response/response_fault.h"
#include "dragonflymill/response/second_response_finder.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonflymill::response {

/// What shows the end of a response's body.
enum class body_framing
{
    length,     ///< Content-Length.
    chunks,     ///< The last chunk.
    connection, ///< Nothing in the response: the body ends with its connection.
};

/// Name as written to logs.
[[nodiscard]] auto to_string(body_framing framing) -> const char*;

/// What a response's head says.
struct response_summary
{
    unsigned status = 0;                         ///< Status code.
    bool is_event_stream = false;                ///< By its content type.
    body_framing framing = body_framing::length; ///< What shows the end of its body.
    bool is_sealed = false;     ///< Whether it bears the mark of its upstream, or the deployment has none.
    bool is_encoded = false;    ///< Whether a content coding is applied to its body.
    std::string_view echoed_id; ///< Id of the request that it answers; empty if not stated, or not uniquely.

    friend auto operator==(const response_summary&, const response_summary&) -> bool = default;
};

/// What a gateway expects of the responses to a request.
struct response_expectation
{
    std::string request_id;        ///< Id that upstreams echo; empty if the request has none.
    std::string id_field;          ///< Name of the header field with it.
    bool is_streaming = false;     ///< Whether the answer is an event stream.
    bool accepts_encoding = false; ///< Whether the request accepts a content coding.
    std::string resume_after;      ///< Id of the last event that the caller has; empty for a new stream.
    event_format events;           ///< Form of the events.

    friend auto operator==(const response_expectation&, const response_expectation&) -> bool = default;
};

/// Part of a body that may be forwarded.
struct checked_body
{
    std::string bytes;       ///< What may be forwarded; of event streams, complete events only.
    std::size_t events = 0;  ///< Number of events in `bytes`.
    std::size_t dropped = 0; ///< Number of events that are left out, as they had been forwarded before.
    response_fault fault = response_fault::none; ///< Why nothing after `bytes` may be forwarded.

    friend auto operator==(const checked_body&, const checked_body&) -> bool = default;
};

/// Decides which bytes of upstreams' responses to one request may be forwarded to its caller, over all
/// attempts. Does no I/O.
///
/// Only what proves to be part of the response is forwarded: a faulty upstream may send bytes that are no
/// response, another response behind the first one, or end early. What a response doesn't state counts
/// against it: any byte of a head may be damaged, and so also the one that says how to check the body. Where
/// a fault is found, the response can go on at another upstream, or has to end as incomplete.
class response_guard
{
public:
    explicit response_guard(response_expectation expected);

    /// Starts with the response of another upstream, which is to go on after `last_id()`.
    void begin_attempt();
    /// Checks the head of a response.
    [[nodiscard]] auto take_head(const response_summary& head) -> response_fault;
    /// Checks the next bytes of its body.
    [[nodiscard]] auto take_body(std::string_view bytes) -> checked_body;
    /// Returns why a response that ends here is not complete, though its framing and its connection say so.
    [[nodiscard]] auto take_end() const -> response_fault;

    /// Whether an event stream is due.
    [[nodiscard]] auto is_stream_expected() const -> bool { return expected_.is_streaming; }
    /// Whether the body of the response is an event stream.
    [[nodiscard]] auto is_event_stream() const -> bool { return is_event_stream_; }
    /// Id of the last event that was forwarded; empty before the first.
    [[nodiscard]] auto last_id() const -> const std::string& { return last_id_; }
    /// Whether another upstream may go on after `last_id()`. Not so if the event with it has been shown to be
    /// a wrong one.
    [[nodiscard]] auto is_resumable() const -> bool { return !events_.is_last_id_doubtful(); }

    /// What shows the end of the body.
    [[nodiscard]] auto framing() const -> body_framing { return framing_; }
    /// Bytes of the body so far.
    [[nodiscard]] auto body_bytes() const -> std::size_t { return body_bytes_; }
    /// Memory that the body's events take, in bytes.
    [[nodiscard]] auto held_bytes() const -> std::size_t { return events_.held_bytes(); }
    /// What was received from the fault on.
    [[nodiscard]] auto faulty_bytes() const -> std::string_view;

private:
    [[nodiscard]] auto check_success(const response_summary& head) const -> response_fault;
    [[nodiscard]] auto take_events(std::string_view bytes) -> checked_body;

    response_expectation expected_;
    event_parser events_;
    second_response_finder second_response_;
    std::string last_id_;
    bool is_event_stream_ = false;
    bool is_resumed_ = false; // the request of the attempt has a Last-Event-Id
    body_framing framing_ = body_framing::length;
    std::size_t body_bytes_ = 0;
    std::size_t parsed_events_ = 0;
};

} // namespace dragonflymill::response
