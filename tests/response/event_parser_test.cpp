#include "dragonflymill/response/event_parser.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

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

/// A body parsed to its end, or to its first fault.
struct parsed_body
{
    explicit parsed_body(const std::string& body, std::size_t step = 1, const event_format& format = {})
        : parser(format)
    {
        for (std::size_t at = 0; at < body.size(); at += step) {
            parser.feed(std::string_view(body).substr(at, step));
            while (const auto next = parser.next()) {
                events += next->bytes;
                ids.push_back(next->id.value_or(0));
            }
        }
    }

    event_parser parser;
    std::string events;
    std::vector<std::uint64_t> ids;
};

void check_fault(const std::string& body, response_fault fault, const std::string& events_before)
{
    for (const std::size_t step : {std::size_t(1), std::size_t(7), body.size()}) {
        const parsed_body parsed(body, step);
        cr_assert(parsed.parser.fault() == fault, "%s in steps of %zu: %s", body.c_str(), step,
                  to_string(parsed.parser.fault()));
        cr_assert(parsed.events == events_before, "%s: %s", body.c_str(), parsed.events.c_str());
    }
}

} // namespace

// The network may split a stream at any byte.
Test(event_parser, finds_the_same_events_for_any_split)
{
    const std::string stream = events(1, 4);
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        const parsed_body parsed(stream, step);
        cr_assert(parsed.events == stream && parsed.ids == std::vector<std::uint64_t>({1, 2, 3, 4}));
        cr_assert(parsed.parser.fault() == response_fault::none && !parsed.parser.is_inside_event());
    }
}

// Guards against text between events that is taken for an event because a blank line follows it.
Test(event_parser, stops_at_what_is_no_field)
{
    check_fault(events(1, 2) + "spoiled\n\n" + event(3), response_fault::malformed_line, events(1, 2));
    check_fault(event(1) + "spoiled\nid: 2\ndata: x\n\n", response_fault::malformed_line, event(1));
    check_fault(event(1) + "zzzzid: 2\ndata: x\n\n", response_fault::malformed_line, event(1));
    check_fault(event(1) + "id: 2\nContent-Type: x\n\n", response_fault::malformed_line, event(1));
    check_fault("ID: 1\ndata: x\n\n", response_fault::malformed_line, "");
}

// Guards against the head of another response that is taken for an event.
Test(event_parser, stops_at_a_second_response_at_any_byte)
{
    const std::string stream = events(1, 3);
    const std::string second = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n" + stream;
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        const parsed_body parsed(stream.substr(0, cut) + second, 5);
        cr_assert(parsed.parser.fault() != response_fault::none, "at %zu", cut);
        cr_assert(stream.substr(0, cut).starts_with(parsed.events), "at %zu: %s", cut, parsed.events.c_str());
    }
    check_fault(events(1, 2) + second, response_fault::second_response, events(1, 2));
}

// Guards against events of which a caller couldn't say whether it has them.
Test(event_parser, stops_at_an_event_without_a_number)
{
    check_fault(event(1) + "data: x\n\n", response_fault::missing_id, event(1));
    for (const std::string id :
         {"id: q", "id:", "id", "id: -1", "id: 1x", "id:  2", "id: 18446744073709551616"}) {
        check_fault(event(1) + id + "\ndata: x\n\n", response_fault::invalid_id, event(1));
    }
    check_fault(event(1) + "id: 4\nid: 2\ndata: x\n\n", response_fault::invalid_id, event(1));
}

// Guards against numbers that go back within a response.
Test(event_parser, stops_at_an_id_that_does_not_ascend)
{
    check_fault(events(1, 3) + events(1, 3), response_fault::descending_id, events(1, 3));
    check_fault(events(1, 3) + event(3), response_fault::descending_id, events(1, 3));
    const std::string skipped = event(1) + event(900'000);
    check_fault(skipped + events(2, 3), response_fault::descending_id, skipped);
}

// Which of two events is the wrong one decides whether the stream may go on after the last.
Test(event_parser, tells_a_wrong_id_from_a_repeated_event)
{
    cr_assert(parsed_body(event(1) + event(900'000) + event(2)).parser.is_last_id_doubtful());
    cr_assert(parsed_body(event(900'000) + event(1)).parser.is_last_id_doubtful());
    cr_assert(!parsed_body(events(1, 3) + event(2)).parser.is_last_id_doubtful());
    cr_assert(!parsed_body(events(1, 3) + event(3)).parser.is_last_id_doubtful());
    cr_assert(!parsed_body(events(1, 3)).parser.is_last_id_doubtful());
}

// A carriage return alone ends a line for clients; they would see another id than the parser.
Test(event_parser, stops_at_a_carriage_return_inside_a_line)
{
    check_fault(event(1) + "id: 2\ndata: x\rid: 1\n\n", response_fault::malformed_line, event(1));
}

Test(event_parser, accepts_the_whole_format)
{
    const std::string typed = "event: token\r\nid: 1\r\ndata: a\r\nretry: 5\r\n\r\n";
    cr_assert(parsed_body(typed).events == typed);
    const parsed_body commented(": hello\n\n\n" + event(1) + "retry: 5\n\n: bye\n");
    cr_assert(commented.events == event(1) && commented.parser.fault() == response_fault::none);
    cr_assert(!commented.parser.is_inside_event());
    cr_assert(parsed_body(event(1) + "id: 2\nda").parser.is_inside_event());
    cr_assert(parsed_body(event(1) + "da").parser.is_inside_event());
}

// Guards against an event without an id for a client that reads fewer forms of the format than the parser,
// and against events that such a client joins.
Test(event_parser, writes_anew_what_clients_read_in_different_ways)
{
    const std::string typed = "event: token\r\nid:01\r\ndata:a\r\ndata\r\nretry: 5\r\n\r\n";
    cr_assert(parsed_body(typed).events == "event: token\r\nid: 1\r\ndata: a\r\ndata: \r\nretry: 5\r\n\r\n");
    check_fault(event(1) + "id: 2\ndata: x\r\n\n", response_fault::malformed_line, event(1));
    check_fault(event(1) + "id: 2\ndata: x\n\r\n" + event(3), response_fault::malformed_line, event(1));
    check_fault(event(1) + "id: 2\n\ndata: x\n\n", response_fault::missing_data, event(1));
    check_fault(event(1) + "id: 2\n: x\ndata: x\n\n", response_fault::malformed_line, event(1));
    check_fault(event(1) + ":eights: 7\nid: 2\ndata: x\n\n", response_fault::malformed_line, event(1));
    check_fault(event(1) + "id: 2\ndata: x\n:id: 3\ndata: x\n\n", response_fault::malformed_line, event(1));
    check_fault(event(1) + "id: 2\ndata\n\n", response_fault::missing_data, event(1));
}

Test(event_parser, accepts_other_fields_only_where_the_format_has_them)
{
    const event_format format{true, {"weights"}};
    const std::string changed = "weights:7\nid: 1\ndata: x\n\n";
    cr_assert(parsed_body(changed, 1, format).events == changed);
    cr_assert(parsed_body("id: 1\nweights: 7\n\n", 1, format).parser.fault() ==
              response_fault::malformed_line);
    cr_assert(parsed_body(changed).parser.fault() == response_fault::malformed_line);
}

Test(event_parser, accepts_events_without_ids_where_they_are_not_numbered)
{
    const event_format format{false, {}};
    const std::string stream = "data: a\n\nid: 5\ndata: b\n\ndata: c\n\n";
    cr_assert(parsed_body(stream, 1, format).events == stream);
    cr_assert(parsed_body(stream + event(5), 1, format).parser.fault() == response_fault::descending_id);
}

// Guards against memory and time that bytes without end take: each is looked at once.
Test(event_parser, bounds_bytes_without_an_event)
{
    const std::string part(1'000, 'x');
    for (const std::string begin : {"id: 1\ndata: ", "", ": "}) {
        event_parser parser;
        parser.feed(begin);
        std::size_t fed = 0;
        while (!parser.next() && parser.fault() == response_fault::none) {
            parser.feed(part);
            fed += part.size();
            cr_assert(fed <= event_parser::max_event_bytes + part.size());
        }
        cr_assert(parser.fault() == response_fault::oversized_event);
    }
    event_parser comments;
    std::size_t fed = 0;
    while (!comments.next() && comments.fault() == response_fault::none) {
        comments.feed(": comment\n\n");
        fed += 11;
        cr_assert(fed <= event_parser::max_event_bytes + 11);
    }
    cr_assert(comments.fault() == response_fault::no_event);
}

Test(event_parser, begins_anew_with_each_response)
{
    event_parser parser;
    parser.feed(events(1, 2) + "id: 3\nda");
    while (parser.next()) {
    }
    parser.begin_response(2);
    parser.feed(event(2));
    const auto event = parser.next();
    cr_assert(event && event->id == 2 && parser.fault() == response_fault::none);
}

// Guards against streams that keep the memory of a long event or of a burst until their response ends.
Test(event_parser, releases_the_memory_of_long_events)
{
    const std::string long_event = "id: 1\ndata: " + std::string(500'000, 'x') + "\n\n";
    for (const std::string& body : {long_event, events(1, 10'000)}) {
        parsed_body parsed(body, 16'384);
        cr_assert(parsed.parser.fault() == response_fault::none && parsed.events == body);
        cr_assert(parsed.parser.held_bytes() <= 3 * event_parser::retained_bytes, "%zu bytes",
                  parsed.parser.held_bytes());
    }
}
