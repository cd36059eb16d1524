#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

// A caller sends the head of a request and then nothing, for as long as the connection lives. It would hold a
// descriptor for good: it is told so after the configured time, and nothing is sent anywhere.
Test(bad_input, a_caller_that_is_too_slow_with_its_head_is_told)
{
    gateway_fixture world;
    world.limits.header_time = 40ms;
    auto& upstream = world.add_upstream("bookings", [](taken_connection&) {});
    world.start();
    world.send_raw("POST /book/1 HTTP/1.1\r\nHost: h.exam");
    world.run_until([&] { return world.caller_ended; });
    cr_assert(world.answer.starts_with("HTTP/1.1 408 "), "%s", world.answer.c_str());
    cr_assert(upstream.requests.empty());
}

// The body is announced and doesn't come.
Test(bad_input, a_caller_that_is_too_slow_with_its_body_is_told)
{
    gateway_fixture world;
    world.limits.idle_time = 40ms;
    auto& upstream = world.add_upstream("bookings", [](taken_connection&) {});
    world.start();
    world.send_raw(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nhalf");
    world.run_until([&] { return world.caller_ended; });
    cr_assert(world.answer.starts_with("HTTP/1.1 408 "), "%s", world.answer.c_str());
    cr_assert(upstream.requests.empty());
}

// A caller closes its sending side while its stream is prepared. Whether it still reads can't be told from
// one that has gone, and an engine that works on for nobody makes others wait: the upstream is let go.
Test(bad_input, a_caller_that_closes_its_side_is_taken_to_have_left)
{
    gateway_fixture world;
    auto& upstream = world.add_upstream("engines", [](taken_connection&) {});
    world.start();
    world.send("POST", "/chat/1", "", "prompt");
    world.run_until([&] { return !upstream.requests.empty(); });
    world.caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    world.run_until([&] { return upstream.requests.at(0)->ended; });
    cr_assert(world.answer.empty(), "%s", world.answer.c_str());
}

// An upstream sends a second answer behind the first. It belongs to no request; passed on, the caller's next
// request on the connection would get it.
Test(bad_input, a_second_answer_on_a_connection_reaches_nobody)
{
    gateway_fixture world;
    int answered = 0;
    world.add_upstream("bookings", [&](taken_connection& taken) {
        ++answered;
        taken.send(answered == 1 ? whole_answer("first") + whole_answer("stray") : whole_answer("second"));
    });
    world.start();
    world.send("POST", "/book/1", "", "a");
    world.run_until_seen("first");
    world.send("POST", "/book/1", "", "b");
    world.run_until_seen("second");
    cr_assert(world.answer.find("stray") == std::string::npos, "%s", world.answer.c_str());
    cr_assert(answered == 2);
}

// A caller states a time of three hundred thousand years, in milliseconds. In microseconds it is more than a
// number holds and became a time long past: the upstream was told that one millisecond is left and gave the
// request up. The route's limit holds.
Test(bad_input, a_stated_time_beyond_all_bounds_counts_as_the_routes_limit)
{
    gateway_fixture world;
    auto& upstream =
        world.add_upstream("bookings", [](taken_connection& taken) { taken.send(whole_answer("done")); });
    world.start();
    world.send_raw(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nTime-Left: 10000000000000000\r\n"
        "Authorization: Bearer key1\r\nContent-Length: 0\r\n\r\n");
    world.run_until_seen("done");
    const std::string& seen = upstream.requests.at(0)->received;
    const auto told = seen.find("Time-Left: ");
    cr_assert(told != std::string::npos);
    const int left_ms = std::stoi(seen.substr(told + std::string("Time-Left: ").size()));
    cr_assert(left_ms > 1 && left_ms <= 5000, "%d", left_ms);
}
