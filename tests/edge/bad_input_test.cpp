#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

// Guards against leaking a descriptor to a caller that sends part of a request head and then nothing. The
// gateway responds 408 after the configured time and dispatches nothing.
Test(bad_input, times_out_an_incomplete_request_head)
{
    gateway_fixture fixture;
    fixture.limits.header_time = 40ms;
    auto& upstream = fixture.add_upstream("bookings", [](taken_connection&) {});
    fixture.start();
    fixture.send_raw("POST /book/1 HTTP/1.1\r\nHost: h.exam");
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.received.starts_with("HTTP/1.1 408 "), "%s", fixture.received.c_str());
    cr_assert(upstream.requests.empty());
}

// As above, for a body that is announced by Content-Length but doesn't arrive.
Test(bad_input, times_out_an_incomplete_request_body)
{
    gateway_fixture fixture;
    fixture.limits.idle_time = 40ms;
    auto& upstream = fixture.add_upstream("bookings", [](taken_connection&) {});
    fixture.start();
    fixture.send_raw(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nhalf");
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.received.starts_with("HTTP/1.1 408 "), "%s", fixture.received.c_str());
    cr_assert(upstream.requests.empty());
}

// Guards against engines that keep working for a disconnected caller and delay others. A caller that closes
// only its sending side can't be distinguished from one that has disconnected, so its request is cancelled.
Test(bad_input, cancels_the_request_when_the_caller_half_closes)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream("engines", [](taken_connection&) {});
    fixture.start();
    fixture.send("POST", "/chat/1", "", "prompt");
    fixture.run_until([&] { return !upstream.requests.empty(); });
    fixture.caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    fixture.run_until([&] { return upstream.requests.at(0)->ended; });
    cr_assert(fixture.received.empty(), "%s", fixture.received.c_str());
}

// Guards against forwarding a second, unsolicited response of an upstream: the caller's next request on the
// connection would receive it.
Test(bad_input, discards_a_second_response_of_an_upstream)
{
    gateway_fixture fixture;
    int requests = 0;
    fixture.add_upstream("bookings", [&](taken_connection& connection) {
        ++requests;
        connection.send(requests == 1 ? complete_response("first") + complete_response("stray")
                                      : complete_response("second"));
    });
    fixture.start();
    fixture.send("POST", "/book/1", "", "a");
    fixture.run_until_received("first");
    fixture.send("POST", "/book/1", "", "b");
    fixture.run_until_received("second");
    cr_assert(fixture.received.find("stray") == std::string::npos, "%s", fixture.received.c_str());
    cr_assert(requests == 2);
}

// Guards against overflow of a stated remaining time: 10^16 ms don't fit in 64 bits as microseconds and
// wrapped to a past deadline, so that the upstream received a time of one millisecond and gave up. The
// route's limit applies.
Test(bad_input, limits_an_overflowing_stated_time_to_the_routes_limit)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream(
        "bookings", [](taken_connection& connection) { connection.send(complete_response("done")); });
    fixture.start();
    fixture.send_raw(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nTime-Left: 10000000000000000\r\n"
        "Authorization: Bearer key1\r\nContent-Length: 0\r\n\r\n");
    fixture.run_until_received("done");
    const std::string& seen = upstream.requests.at(0)->received;
    const auto position = seen.find("Time-Left: ");
    cr_assert(position != std::string::npos);
    const int left_ms = std::stoi(seen.substr(position + std::string("Time-Left: ").size()));
    cr_assert(left_ms > 1 && left_ms <= 5000, "%d", left_ms);
}
