#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Heads of responses with neither a length nor chunks.
constexpr const char* plain_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\n\r\n";
constexpr const char* stream_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n\r\n";
constexpr const char* last_chunk = "0\r\n\r\n";

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

auto ends_with_last_chunk(const gateway_fixture& fixture) -> bool
{
    return fixture.received.ends_with(last_chunk);
}

} // namespace

// Guards against an answer without a length or chunks that is held back, or cut, though it is complete.
Test(unframed_answer, ends_with_its_connection)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream("bookings", [](taken_connection& connection) {
        connection.send(plain_head + std::string("booked"));
        connection.close();
    });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("booked");
    cr_assert(fixture.received.starts_with("HTTP/1.1 200 "));
    cr_assert(fixture.received.find("Content-Length: 6\r\n") != std::string::npos, "%s",
              fixture.received.c_str());
    fixture.received.clear();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("booked");
    cr_assert(upstream.requests.size() == 2, "each call has a connection of its own");
}

// Guards against a part of an answer that is passed on as the whole, when the connection is reset.
Test(unframed_answer, is_not_complete_after_a_reset)
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings", [&](taken_connection& connection) {
        connection.send(plain_head + std::string("boo"));
        fixture.loop.run_one_for(std::chrono::milliseconds(20));
        connection.reset();
    });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("HTTP/1.1 502 ");
    cr_assert(fixture.received.find("boo") == std::string::npos);
}

// Guards against an upstream that crashes right after the head, whose empty answer looks complete.
Test(unframed_answer, without_a_body_is_not_complete)
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings", [](taken_connection& connection) {
        connection.send(plain_head);
        connection.close();
    });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 502 "), "%s", fixture.received.c_str());
}

Test(unframed_answer, of_a_stream_ends_with_its_connection)
{
    gateway_fixture fixture;
    fixture.add_upstream("engines", [](taken_connection& connection) {
        connection.send(stream_head + event(1) + event(2));
        connection.close();
    });
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return ends_with_last_chunk(fixture); });
    cr_assert(fixture.received.find(event(2)) != std::string::npos);
}

// Guards against a stream that an upstream has broken off inside an event, and that looks complete.
Test(unframed_answer, of_a_stream_that_ends_inside_an_event_goes_on_at_another_upstream)
{
    gateway_fixture fixture;
    int attempts = 0;
    const auto answer = [&](taken_connection& connection) {
        ++attempts;
        const bool resumed = connection.received.find("Last-Event-Id: 1\r\n") != std::string::npos;
        connection.send(stream_head + (resumed ? event(2) : event(1) + "id: 2\nda"));
        connection.close();
    };
    fixture.add_upstream("engines", answer);
    fixture.add_upstream("engines", answer);
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return ends_with_last_chunk(fixture); });
    cr_assert(attempts == 2 && fixture.received.find(event(2)) != std::string::npos);
    cr_assert(fixture.received.find("da\r\n") == std::string::npos);
}

// Guards against a stream of which the caller can't see that it was broken off for good.
Test(unframed_answer, of_a_stream_that_is_broken_off_for_good_has_no_end)
{
    gateway_fixture fixture;
    fixture.add_upstream("engines", [](taken_connection& connection) {
        connection.send(stream_head + event(1) + "id: 2\nda");
        connection.close();
    });
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.received.find(event(1)) != std::string::npos && !ends_with_last_chunk(fixture));
}

// Guards against an upstream that crashes before the first event, whose empty stream looks complete.
Test(unframed_answer, of_a_stream_without_an_event_goes_on_at_another_upstream)
{
    gateway_fixture fixture;
    int attempts = 0;
    const auto answer = [&](taken_connection& connection) {
        connection.send(++attempts == 1 ? stream_head : stream_head + event(1));
        connection.close();
    };
    fixture.add_upstream("engines", answer);
    fixture.add_upstream("engines", answer);
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return ends_with_last_chunk(fixture); });
    cr_assert(attempts == 2 && fixture.received.find(event(1)) != std::string::npos);
}
