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
    framing_ = body_framing::length;
    body_bytes_ = 0;
    parsed_events_ = 0;
}

auto response_guard::take_head(const response_summary& head) -> response_fault
{
    framing_ = head.framing;
    if (!head.echoed_id.empty() && head.echoed_id != expected_.request_id) {
        return response_fault::foreign_response;
    }
    const bool is_success = head.status >= status_ok && head.status < first_status_after_success;
    if (is_success && !head.is_sealed) {
        return response_fault::missing_seal;
    }
    const bool stream_expected = expected_.is_streaming && head.status == status_ok;
    is_event_stream_ = stream_expected && head.is_event_stream;
    const bool is_unbounded = stream_expected && !is_event_stream_ && framing_ == body_framing::connection;
    return is_unbounded ? response_fault::not_a_stream : response_fault::none;
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
    // Without a length or chunks, an upstream that has crashed after the head ends like one that has sent
    // all.
    const bool is_empty = framing_ == body_framing::connection && parsed_events_ == 0;
    return events_.is_inside_event() || is_empty ? response_fault::truncated : response_fault::none;
}

auto response_guard::faulty_bytes() const -> std::string_view
{
    return is_event_stream_ ? events_.faulty_bytes() : second_response_.found();
}

} // namespace dragonflymill::response
