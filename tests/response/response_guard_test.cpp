#include "dragonflymill/response/response_guard.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill::response;

namespace {

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

auto events(int first, int last) -> std::string
{
    std::string all;
    for (int id = first; id <= last; ++id) {
        all += event(id);
    }
    return all;
}

auto stream_guard(const std::string& resume_after = "") -> response_guard
{
    return response_guard({"r1", "Request-Id", true, false, resume_after, {}});
}

auto plain_guard(bool accepts_encoding = false) -> response_guard
{
    return response_guard({"r1", "Request-Id", false, accepts_encoding, "", {}});
}

constexpr response_summary stream_head{200, true, body_framing::connection, true, false, "r1"};
constexpr response_summary plain_head{200, false, body_framing::connection, true, false, "r1"};

auto fault_of(response_guard guard, const response_summary& head) -> response_fault
{
    guard.begin_attempt();
    return guard.take_head(head);
}

/// Starts an attempt whose response is an event stream.
void begin_stream(response_guard& guard)
{
    guard.begin_attempt();
    cr_assert(guard.take_head(stream_head) == response_fault::none);
}

} // namespace

// The network may split a stream at any byte; the same complete events must be forwarded.
Test(response_guard, forwards_complete_events_for_any_split_of_the_stream)
{
    const std::string stream = events(1, 4);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        response_guard guard = stream_guard();
        begin_stream(guard);
        std::string out = guard.take_body(stream.substr(0, cut)).bytes;
        cr_assert(out.size() <= cut);
        out += guard.take_body(stream.substr(cut)).bytes;
        cr_assert(out == stream, "cut at %zu", cut);
        cr_assert(guard.take_end() == response_fault::none);
        cr_assert(guard.last_id() == "4");
    }
}

// Guards against gaps, duplicates and events merged from two upstreams: the first one ends at any byte of the
// stream and another one resumes it, one event too early.
Test(response_guard, resumes_a_stream_without_gap_or_duplicate)
{
    const std::string stream = events(1, 6);
    for (std::size_t death = 0; death <= stream.size(); ++death) {
        response_guard guard = stream_guard();
        begin_stream(guard);
        std::string out = guard.take_body(stream.substr(0, death)).bytes;
        const int last = guard.last_id().empty() ? 0 : std::stoi(guard.last_id());
        begin_stream(guard);
        const checked_body rest = guard.take_body(events(std::max(last, 1), 6));
        out += rest.bytes;
        cr_assert(out == stream && rest.fault == response_fault::none, "died at %zu", death);
        cr_assert(guard.take_end() == response_fault::none && guard.is_resumable());
    }
}

Test(response_guard, forwards_only_events_after_the_last_id_of_a_reconnecting_caller)
{
    response_guard guard = stream_guard("3");
    begin_stream(guard);
    const checked_body checked = guard.take_body(events(2, 5));
    cr_assert(checked.bytes == events(4, 5) && checked.dropped == 2 && checked.events == 2);
}

// Guards against a caller's id that is no number, after which every event would look new or old.
Test(response_guard, ignores_a_last_id_of_the_caller_that_is_no_number)
{
    response_guard guard = stream_guard("abc");
    cr_assert(guard.last_id() == "abc", "upstreams get it unchanged");
    begin_stream(guard);
    cr_assert(guard.take_body(events(1, 2)).bytes == events(1, 2) && guard.last_id() == "2");
}

// Guards against a stream that goes on after malformed bytes, or is resumed at an event that was none.
Test(response_guard, goes_on_at_the_last_event_before_a_fault)
{
    response_guard guard = stream_guard();
    begin_stream(guard);
    const checked_body faulty = guard.take_body(events(1, 2) + "spoiled\n\n" + event(3));
    cr_assert(faulty.bytes == events(1, 2) && faulty.fault == response_fault::malformed_line);
    cr_assert(guard.faulty_bytes().starts_with("spoiled\n"));
    cr_assert(guard.take_body(event(4)).bytes.empty(), "nothing after a fault");
    cr_assert(guard.last_id() == "2" && guard.is_resumable());
    begin_stream(guard);
    cr_assert(guard.take_body(event(3)).bytes == event(3));
}

// Guards against a resume behind events that callers never got, as a wrong id was forwarded before them.
Test(response_guard, is_not_resumable_after_a_wrong_id)
{
    response_guard guard = stream_guard();
    begin_stream(guard);
    (void)guard.take_body(event(1) + event(900'000) + event(2));
    cr_assert(!guard.is_resumable());
}

Test(response_guard, does_not_forward_an_incomplete_event)
{
    response_guard guard = stream_guard();
    begin_stream(guard);
    cr_assert(guard.take_body(event(1) + "id: 2\ndata: half").bytes == event(1));
    cr_assert(guard.take_end() == response_fault::truncated);
}

Test(response_guard, reports_an_oversized_event)
{
    response_guard guard = stream_guard();
    begin_stream(guard);
    const checked_body checked = guard.take_body("data: " + std::string(event_parser::max_event_bytes, 'x'));
    cr_assert(checked.fault == response_fault::oversized_event && checked.bytes.empty());
}

Test(response_guard, accepts_lines_that_end_with_a_carriage_return)
{
    response_guard guard = stream_guard();
    begin_stream(guard);
    const std::string stream = "id: 1\r\ndata: a\r\n\r\n";
    cr_assert(guard.take_body(stream).bytes == stream && guard.last_id() == "1");
}

// Guards against events that a client joins, as the upstream that goes on ends its lines in another way.
Test(response_guard, ends_all_lines_alike_over_all_attempts)
{
    response_guard guard = stream_guard();
    begin_stream(guard);
    cr_assert(guard.take_body(event(1)).bytes == event(1));
    begin_stream(guard);
    cr_assert(guard.take_body("id: 2\r\ndata: token 2\r\n\r\n").bytes == event(2));
    response_guard spoiled = stream_guard();
    begin_stream(spoiled);
    cr_assert(spoiled.take_body("data: x\r\n\r\n").fault == response_fault::missing_id);
    begin_stream(spoiled);
    cr_assert(spoiled.take_body(event(1)).bytes == event(1), "a faulty event decides nothing");
}

// Guards against empty and truncated streams that look complete.
Test(response_guard, a_stream_is_complete_only_between_two_events)
{
    const std::string stream = events(1, 2);
    for (std::size_t end = 0; end <= stream.size(); ++end) {
        response_guard guard = stream_guard();
        begin_stream(guard);
        (void)guard.take_body(stream.substr(0, end));
        const bool between = end == event(1).size() || end == stream.size();
        cr_assert((guard.take_end() == response_fault::none) == between, "ended at %zu", end);
    }
}

// Guards against an empty stream that looks complete, whatever shows its end; behind the last event, nothing
// may be left.
Test(response_guard, a_stream_has_an_event_unless_it_is_resumed)
{
    for (const body_framing framing :
         {body_framing::length, body_framing::chunks, body_framing::connection}) {
        const response_summary head{200, true, framing, true, false, "r1"};
        response_guard guard = stream_guard();
        cr_assert(fault_of(guard, head) == response_fault::none);
        guard.begin_attempt();
        (void)guard.take_head(head);
        (void)guard.take_body(": comment\n\n");
        cr_assert(guard.take_end() == response_fault::truncated);
        (void)guard.take_body(event(1));
        cr_assert(guard.take_end() == response_fault::none);
        for (const std::string no_event : {"abc", "0"}) {
            response_guard fresh = stream_guard(no_event);
            fresh.begin_attempt();
            (void)fresh.take_head(head);
            cr_assert(fresh.take_end() == response_fault::truncated, "a caller without an event");
        }
        guard.begin_attempt();
        (void)guard.take_head(head);
        const bool shows_end = framing != body_framing::connection;
        cr_assert((guard.take_end() == response_fault::none) == shows_end, "behind event 1");
    }
}

// Guards against an answer to another request.
Test(response_guard, forwards_no_response_that_does_not_name_its_request)
{
    for (const unsigned status : {200U, 204U, 302U, 404U, 500U}) {
        for (const response_guard& guard : {stream_guard(), plain_guard()}) {
            cr_assert(fault_of(guard, {status, true, body_framing::chunks, true, false, "r2"}) ==
                      response_fault::foreign_response);
            cr_assert(fault_of(guard, {status, true, body_framing::chunks, true, false, ""}) ==
                      response_fault::unnamed_request);
        }
    }
    const response_guard guard({"", "Request-Id", false, false, "", {}});
    cr_assert(fault_of(guard, {200, false, body_framing::length, true, false, ""}) == response_fault::none,
              "a request without an id can't be named");
    cr_assert(fault_of(guard, plain_head) == response_fault::foreign_response);
}

// Guards against a body that is relayed without a look at its events.
Test(response_guard, forwards_no_success_but_the_stream_that_is_due)
{
    for (const body_framing framing :
         {body_framing::length, body_framing::chunks, body_framing::connection}) {
        for (const unsigned status : {200U, 201U, 204U, 206U, 299U}) {
            cr_assert(fault_of(stream_guard(), {status, false, framing, true, false, "r1"}) ==
                      response_fault::not_a_stream);
            const bool is_stream = status == 200;
            cr_assert((fault_of(stream_guard(), {status, true, framing, true, false, "r1"}) ==
                       response_fault::none) == is_stream);
            cr_assert(fault_of(plain_guard(), {status, false, framing, true, false, "r1"}) ==
                      response_fault::none);
        }
        for (const unsigned status : {200U, 206U, 500U}) {
            response_guard guard = stream_guard();
            guard.begin_attempt();
            (void)guard.take_head({status, status != 200, framing, true, false, "r1"});
            cr_assert(!guard.is_event_stream());
        }
        // No client reads events from a failure.
        cr_assert(fault_of(stream_guard(), {500, false, framing, true, false, "r1"}) == response_fault::none);
    }
}

// Guards against a body that its reader can't read, and against events that can't be checked.
Test(response_guard, forwards_no_coding_that_the_caller_did_not_ask_for)
{
    const response_summary plain{200, false, body_framing::length, true, true, "r1"};
    cr_assert(fault_of(plain_guard(), plain) == response_fault::encoded);
    cr_assert(fault_of(plain_guard(true), plain) == response_fault::none);
    const response_guard stream({"r1", "Request-Id", true, true, "", {}});
    cr_assert(fault_of(stream, {200, true, body_framing::length, true, true, "r1"}) ==
              response_fault::encoded);
}

// Guards against a page of a server that is no upstream, forwarded as an upstream's success.
Test(response_guard, forwards_no_success_without_a_seal)
{
    for (const bool is_streaming : {false, true}) {
        const response_guard guard = is_streaming ? stream_guard() : plain_guard();
        for (const unsigned status : {200U, 201U, 204U, 299U}) {
            cr_assert(fault_of(guard, {status, is_streaming, body_framing::length, false, false, "r1"}) ==
                      response_fault::missing_seal);
        }
        cr_assert(fault_of(guard, {200, is_streaming, body_framing::length, true, false, "r1"}) ==
                  response_fault::none);
        cr_assert(fault_of(guard, {500, false, body_framing::length, false, false, "r1"}) ==
                      response_fault::none,
                  "a failure promises nothing");
    }
}

// Guards against a second response that becomes part of the first one's body, at any byte and in any pieces.
Test(response_guard, separates_a_second_response_from_a_body_without_a_length)
{
    const std::string body = "booked HTTP/1.1 and so on\r\nx: y\r\n";
    const std::string second = "HTTP/1.1 200 OK\r\nSeal: s\r\nrequest-id: r0\r\n\r\nbooked";
    for (std::size_t step = 1; step <= body.size() + second.size(); ++step) {
        response_guard guard = plain_guard();
        guard.begin_attempt();
        (void)guard.take_head(plain_head);
        const std::string bytes = body + second;
        response_fault fault = response_fault::none;
        for (std::size_t at = 0; at < bytes.size() && fault == response_fault::none; at += step) {
            fault = guard.take_body(std::string_view(bytes).substr(at, step)).fault;
        }
        cr_assert(fault == response_fault::second_response, "in steps of %zu", step);
    }
}

// Guards against strictness that stops valid bodies: text about responses, and bodies with a length.
Test(response_guard, forwards_bodies_that_quote_a_response)
{
    const std::string text = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nHTTP/1.1 404\nNo field\nRequest-Id: r0\n";
    response_guard guard = plain_guard();
    guard.begin_attempt();
    (void)guard.take_head(plain_head);
    cr_assert(guard.take_body(text) == checked_body({text, 0, 0, response_fault::none}));
    const std::string whole = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n";
    guard.begin_attempt();
    (void)guard.take_head({200, false, body_framing::length, true, false, "r1"});
    cr_assert(guard.take_body(whole).fault == response_fault::none, "a length separates responses");
}

// Guards against memory that a body without end takes.
Test(response_guard, keeps_little_of_a_body_without_a_length)
{
    second_response_finder finder("Request-Id");
    std::string part;
    for (int line = 0; line < 1'000; ++line) {
        part += "HTTP/1.1 200 OK\r\nx: y\r\n";
    }
    for (int i = 0; i < 20; ++i) {
        cr_assert(!finder.find_in(part));
    }
    cr_assert(finder.kept_bytes() <= second_response_finder::max_head_bytes);
}
