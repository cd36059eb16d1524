#include "dragonflymill/response/response_guard.h"

#include <utility>

namespace dragonflymill::response {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned first_status_after_success = 300;

} // namespace

auto to_string(body_framing framing) -> const char*
{
    switch (framing) {
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection:
        return "connection";
    }
    return "connection";
}

response_guard::response_guard(response_expectation expected)
    : expected_(std::move(expected))
    , events_(expected_.events)
    , second_response_(expected_.id_field)
    , last_id_(expected_.resume_after)
{
}

void response_guard::begin_attempt()
{
    events_.begin_response(parse_event_id(last_id_));
    second_response_ = second_response_finder(expected_.id_field);
    is_event_stream_ = false;
    is_resumed_ = parse_event_id(last_id_).value_or(0) > 0;
    framing_ = body_framing::length;
    body_bytes_ = 0;
    parsed_events_ = 0;
}

auto response_guard::take_head(const response_summary& head) -> response_fault
{
    framing_ = head.framing;
    if (head.echoed_id != expected_.request_id) {
        return head.echoed_id.empty() ? response_fault::unnamed_request : response_fault::foreign_response;
    }
    const bool is_success = head.status >= status_ok && head.status < first_status_after_success;
    // A failure promises nothing and isn't read as a stream, so that it needs no more proof.
    const response_fault fault = is_success ? check_success(head) : response_fault::none;
    is_event_stream_ = is_success && expected_.is_streaming && fault == response_fault::none;
    return fault;
}

auto response_guard::check_success(const response_summary& head) const -> response_fault
{
    if (!head.is_sealed) {
        return response_fault::missing_seal;
    }
    if (head.is_encoded && (expected_.is_streaming || !expected_.accepts_encoding)) {
        return response_fault::encoded;
    }
    const bool is_stream = head.status == status_ok && head.is_event_stream;
    return expected_.is_streaming && !is_stream ? response_fault::not_a_stream : response_fault::none;
}

auto response_guard::take_body(std::string_view bytes) -> checked_body
{
    body_bytes_ += bytes.size();
    if (is_event_stream_) {
        return take_events(bytes);
    }
    // With a length or chunks, what follows the body is no part of it.
    if (framing_ == body_framing::connection && second_response_.find_in(bytes)) {
        return {"", 0, 0, response_fault::second_response};
    }
    return {std::string(bytes), 0, 0, response_fault::none};
}

auto response_guard::take_events(std::string_view bytes) -> checked_body
{
    checked_body checked;
    events_.feed(bytes);
    while (const auto event = events_.next()) {
        ++parsed_events_;
        const auto last = parse_event_id(last_id_);
        if (event->id && last && *event->id <= *last) {
            ++checked.dropped;
            continue;
        }
        checked.bytes.append(event->bytes);
        ++checked.events;
        if (event->id) {
            last_id_ = std::to_string(*event->id);
        }
    }
    checked.fault = events_.fault();
    return checked;
}

auto response_guard::take_end() const -> response_fault
{
    if (!is_event_stream_) {
        return response_fault::none;
    }
    // Behind the last event that the caller has, nothing may be left. Without a length or chunks, an upstream
    // that has crashed after the head ends in the same way.
    const bool may_be_empty = is_resumed_ && framing_ != body_framing::connection;
    const bool is_empty = parsed_events_ == 0 && !may_be_empty;
    return events_.is_inside_event() || is_empty ? response_fault::truncated : response_fault::none;
}

auto response_guard::faulty_bytes() const -> std::string_view
{
    return is_event_stream_ ? events_.faulty_bytes() : second_response_.found();
}

} // namespace dragonflymill::response
