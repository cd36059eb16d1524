#include "gateway_fixture.h"

#include <csignal>
#include <cstdio>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr const char* stream_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n";

auto chunk(const std::string& bytes) -> std::string
{
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

auto count(const std::string& text, const std::string& part) -> int
{
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

/// Starts the gateway, begins a stream through it and asks it to stop; returns the stream's upstream.
auto stop_while_a_stream_runs(gateway_fixture& world) -> standin_upstream&
{
    auto& engine = world.add_upstream("engines", [](taken_connection& taken) {
        taken.send(stream_head + std::string("\r\n") + chunk(event(1)));
    });
    world.start();
    world.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    world.run_until_seen(event(1));
    std::raise(SIGTERM);
    world.run_until([&] { return world.gateway->closing(); });
    return engine;
}

} // namespace

Test(gateway_flow, a_call_goes_through_with_the_gateways_own_fields)
{
    gateway_fixture world;
    auto& upstream =
        world.add_upstream("bookings", [](taken_connection& taken) { taken.send(whole_answer("done")); });
    world.start();
    world.send("POST", "/book/1?q=2", "Account: forged\r\nExpected: forged\r\nX-Own: kept\r\n", "slot 7");
    world.run_until_seen("done");
    const std::string& seen = upstream.requests.at(0)->received;
    cr_assert(seen.starts_with("POST /book/1?q=2 HTTP/1.1\r\n"));
    cr_assert(seen.ends_with("slot 7"));
    cr_assert(seen.find("X-Own: kept") != std::string::npos);
    cr_assert(seen.find("Account: acme\r\n") != std::string::npos && count(seen, "Account: ") == 1);
    cr_assert(seen.find("Expected: bookings-1\r\n") != std::string::npos && count(seen, "Expected: ") == 1);
    cr_assert(seen.find("key1") == std::string::npos, "the key is not passed on");
    cr_assert(world.answer.find("Seal: s1\r\n") != std::string::npos);
}

// A household's booking is on its way when the upstream's connection is reset. It may have run: the caller is
// told that nobody knows, and no second upstream gets it.
Test(gateway_flow, a_booking_that_may_have_run_is_sent_once)
{
    gateway_fixture world;
    int sent = 0;
    const auto reset = [&](taken_connection& taken) {
        ++sent;
        taken.reset();
    };
    world.add_upstream("bookings", reset);
    world.add_upstream("bookings", reset);
    world.start();
    world.send("POST", "/book/1", "", "slot 7");
    world.run_until_seen("\"ran\":\"unknown\"");
    cr_assert(world.answer.starts_with("HTTP/1.1 502 "));
    cr_assert(sent == 1, "%d", sent);
}

// An upstream is full and says that it has not run the booking: another one gets it, and the caller notices
// nothing.
Test(gateway_flow, a_booking_that_was_not_run_goes_elsewhere)
{
    gateway_fixture world;
    int sent = 0;
    const auto first_is_full = [&](taken_connection& taken) {
        ++sent == 1
            ? taken.send("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")
            : taken.send(whole_answer("booked"));
    };
    world.add_upstream("bookings", first_is_full);
    world.add_upstream("bookings", first_is_full);
    world.start();
    world.send("POST", "/book/1", "", "slot 7");
    world.run_until_seen("booked");
    cr_assert(sent == 2);
}

// An upstream hands out the answer of another household. It must not reach this one.
Test(gateway_flow, an_answer_that_belongs_to_another_request_is_not_passed_on)
{
    gateway_fixture world;
    world.add_upstream("bookings", [](taken_connection& taken) {
        taken.send("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 6\r\n\r\nsecret");
    });
    world.start();
    world.send("POST", "/book/1", "", "slot 7");
    world.run_until_seen("HTTP/1.1 502 ");
    cr_assert(world.answer.find("secret") == std::string::npos);
}

Test(gateway_flow, half_an_answer_is_not_taken_for_the_whole)
{
    gateway_fixture world;
    world.add_upstream("bookings", [](taken_connection& taken) {
        taken.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 60\r\n\r\nhalf");
        taken.close();
    });
    world.start();
    world.send("POST", "/book/1", "", "slot 7");
    world.run_until_seen("HTTP/1.1 502 ");
    cr_assert(world.answer.find("half") == std::string::npos);
}

// An engine dies in the middle of its third event. Another one goes on after the second, inside the same
// answer; the caller sees each event once and one head.
Test(gateway_flow, a_broken_stream_goes_on_elsewhere)
{
    gateway_fixture world;
    std::vector<std::string> resumed;
    int attempt = 0;
    const auto engine = [&](taken_connection& taken) {
        if (++attempt == 1) {
            taken.send(stream_head + std::string("Seal: first\r\n\r\n") + chunk(event(1)) +
                       chunk(event(2) + "id: 3\nda"));
            taken.reset();
            return;
        }
        resumed.push_back(taken.received);
        taken.send(stream_head + std::string("Seal: second\r\n\r\n") + chunk(event(3)) + chunk(event(4)) +
                   "0\r\n\r\n");
    };
    world.add_upstream("engines", engine);
    world.add_upstream("engines", engine);
    world.start();
    world.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    world.run_until_seen("\r\n0\r\n\r\n");
    cr_assert(resumed.size() == 1 && resumed[0].find("Last-Event-Id: 2\r\n") != std::string::npos);
    for (int id = 1; id <= 4; ++id) {
        cr_assert(count(world.answer, event(id)) == 1, "event %d", id);
    }
    cr_assert(count(world.answer, "HTTP/1.1 200") == 1 &&
              world.answer.find("Seal: first") != std::string::npos);
    cr_assert(world.answer.find("second") == std::string::npos);
}

// Both engines break off. The caller has a part of the answer: its connection is closed, so that the part
// can't be taken for the whole.
Test(gateway_flow, a_stream_that_can_not_go_on_is_cut)
{
    gateway_fixture world;
    const auto engine = [](taken_connection& taken) {
        taken.send(stream_head + std::string("\r\n") + chunk(event(1)));
        taken.reset();
    };
    world.add_upstream("engines", engine);
    world.add_upstream("engines", engine);
    world.start();
    world.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    world.run_until([&] { return world.caller_ended; });
    cr_assert(count(world.answer, event(1)) == 1);
    cr_assert(world.answer.find("\r\n0\r\n\r\n") == std::string::npos);
}

// A member hangs up. The engine must not go on for nobody: its connection is closed.
Test(gateway_flow, the_upstream_is_let_go_when_the_caller_leaves)
{
    gateway_fixture world;
    auto& engine = world.add_upstream("engines", [](taken_connection& taken) {
        taken.send(stream_head + std::string("\r\n") + chunk(event(1)));
    });
    world.start();
    world.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    world.run_until_seen(event(1));
    world.caller.close();
    world.run_until([&] { return engine.requests.at(0)->ended; });
}

// A second request is hidden behind a body whose end can be read in two ways. Nothing of it reaches an
// upstream.
Test(gateway_flow, a_smuggled_request_runs_nowhere)
{
    gateway_fixture world;
    auto& upstream =
        world.add_upstream("bookings", [](taken_connection& taken) { taken.send(whole_answer("done")); });
    world.start();
    world.send_raw(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key1\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /book/2 HTTP/1.1\r\nHost: h.example\r\n\r\n");
    world.run_until([&] { return world.caller_ended; });
    cr_assert(world.answer.starts_with("HTTP/1.1 400 "));
    cr_assert(upstream.requests.empty());
}

Test(gateway_flow, what_the_configuration_does_not_allow_is_refused)
{
    gateway_fixture world;
    world.add_upstream("bookings", [](taken_connection& taken) { taken.send(whole_answer("done")); });
    world.start();
    world.send("POST", "/nowhere/1");
    world.run_until_seen("HTTP/1.1 404 ");
    world.send_raw("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer other\r\n"
                   "Content-Length: 0\r\n\r\n");
    world.run_until_seen("HTTP/1.1 401 ");
}

// A gateway has just started and no source of configuration can be reached. It says that it ran nothing and
// when to come back, rather than that the route doesn't exist.
Test(gateway_flow, a_gateway_without_a_configuration_says_so)
{
    gateway_fixture world;
    world.start(false);
    world.send("POST", "/book/1");
    world.run_until_seen("\"ran\":\"no\"");
    cr_assert(world.answer.starts_with("HTTP/1.1 503 "));
    cr_assert(world.answer.find("Retry-After: 1.00\r\n") != std::string::npos);
}

Test(gateway_flow, a_connection_is_used_for_many_requests)
{
    gateway_fixture world;
    auto& upstream =
        world.add_upstream("bookings", [](taken_connection& taken) { taken.send(whole_answer("done")); });
    world.start();
    for (int turn = 1; turn <= 3; ++turn) {
        world.send("POST", "/book/1", "", "slot 7");
        world.run_until([&] { return count(world.answer, "done") == turn; });
    }
    cr_assert(upstream.requests.size() == 3);
    cr_assert(!world.caller_ended);
}

// Operators stop a gateway while a stream runs. It goes on to its end before the process does.
Test(gateway_flow, a_planned_stop_finishes_what_runs)
{
    gateway_fixture world;
    auto& engine = stop_while_a_stream_runs(world);
    engine.requests.at(0)->send(chunk(event(2)) + "0\r\n\r\n");
    world.run_until_seen("\r\n0\r\n\r\n");
    cr_assert(world.answer.find(event(2)) != std::string::npos);
    world.run_until([&] { return world.loop.stopped(); });
}

// Guards against callers that find no connection, at whichever gateway they try, while all are stopped in
// turn.
Test(gateway_flow, a_stopping_gateway_tells_late_callers_when_to_come_back)
{
    gateway_fixture world;
    world.settings.deregistration_delay = 0ms;
    auto& engine = stop_while_a_stream_runs(world);
    world.loop.run_for(1ms);
    world.come_as_another_caller();
    world.send("POST", "/chat/2", "Tokens: 100,10\r\n", "hello");
    world.run_until_seen("Retry-After: 1.00");
    cr_assert(world.answer.find("HTTP/1.1 503") != std::string::npos);
    cr_assert(world.answer.find("\"ran\":\"no\"") != std::string::npos);
    cr_assert(engine.requests.size() == 1, "the late call ran nowhere");
}

// Guards against refusing the callers that come back to a gateway in the moment of its start.
Test(gateway_flow, callers_wait_for_the_configuration_of_a_gateway_that_starts)
{
    gateway_fixture world;
    world.source.held_back = true;
    world.add_upstream("bookings", [](taken_connection& taken) { taken.send(whole_answer("booked")); });
    world.start();
    world.send("POST", "/book/1");
    world.loop.run_for(1ms);
    cr_assert(world.answer.empty());
    world.source.tell();
    world.run_until_seen("booked");
}
