#include "stream_exchange.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

// Guards against bytes that are no event, relayed as an event without an id because a blank line follows
// them.
Test(malformed_stream, garbage_between_events_is_not_relayed)
{
    for (const std::string garbage :
         {"spoiled\n\n", "\x01\xff\xfe\n\n", "data: 7\n\n", "{\"a\": 1}\r\n\r\n"}) {
        for (int last = 0; last < event_count; ++last) {
            check_resumed(stream_head + events(1, last) + garbage + events(last + 1, event_count));
            check_resumed(chunked_head + chunk(events(1, last) + garbage) +
                          chunk(events(last + 1, event_count)) + chunk(""));
        }
    }
}

// Guards against the head of a second response, relayed as an event: it stands behind a stream without a
// length.
Test(malformed_stream, a_second_response_is_not_relayed_wherever_it_begins)
{
    const std::string stream = events(1, event_count);
    for (std::size_t cut = 0; cut < stream.size(); ++cut) {
        check_resumed(stream_head + stream.substr(0, cut) + stream_head + stream);
    }
}

// Guards against a stream that looks complete to the caller, though it can't go on after malformed bytes.
Test(malformed_stream, ends_as_incomplete_where_it_must_not_be_resumed)
{
    const std::string stream = events(1, event_count);
    for (std::size_t cut = 0; cut < stream.size(); ++cut) {
        check_ended(stream_head + stream.substr(0, cut) + stream_head + stream);
    }
    check_ended(stream_head + events(1, 2) + "spoiled\n\n" + events(3, event_count));
    check_ended(chunked_head + chunk(events(1, 2) + "spoiled\n\n" + events(3, event_count)) + chunk(""));
}

// Guards against numbers that go back, or are left out, after an event whose id can't be compared.
Test(malformed_stream, an_id_that_is_no_number_lets_no_other_event_pass)
{
    for (const std::string id :
         {"id: q\n", "id:\n", "id: 18446744073709551616\n", "id: 3\nid: 2\n", "id: -1\n"}) {
        check_resumed(stream_head + events(1, 2) + id + "data: y\n\n" + events(1, 2));
    }
}

// Guards against events that are left out without a trace, as a wrong id was relayed before them.
Test(malformed_stream, ends_as_incomplete_if_a_wrong_id_was_relayed)
{
    const received_stream received = stream_after(
        stream_head + events(1, 1) + "id: 900000\ndata: y\n\n" + events(2, event_count), "/chat/1");
    cr_assert(!received.complete, "%s", received.body.c_str());
}

// Guards against strictness that stops a valid stream: comments, other fields of the format, an early resume.
Test(malformed_stream, valid_streams_are_relayed)
{
    const received_stream commented =
        stream_after(stream_head + (": keep-alive\n\nretry: 100\n\n" + events(1, 2)) + ": still there\n\n" +
                         events(3, event_count),
                     "/tell/1");
    cr_assert(commented.complete && commented.body == events(1, event_count), "%s", commented.body.c_str());
    const std::string typed = "event: token\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n";
    const received_stream multiline = stream_after(stream_head + typed, "/tell/1");
    cr_assert(multiline.complete && multiline.body == typed, "%s", multiline.body.c_str());
}

// Guards against a stream that looks complete to a caller whose protocol has no chunks, though it was cut.
Test(malformed_stream, ends_with_a_reset_where_a_close_would_complete_it)
{
    gateway_fixture fixture;
    fixture.add_upstream("engines", [](taken_connection& connection) {
        connection.send(stream_head + events(1, 1) + "spoiled\n\n");
    });
    fixture.start();
    fixture.send_raw("POST /tell/1 HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r1\r\nTokens: 100,10\r\n"
                     "Authorization: Bearer key1\r\nContent-Length: 0\r\n\r\n");
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.caller_reset, "%s", fixture.received.c_str());
}
