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

/// Starts a gateway and a stream through it, then sends SIGTERM; returns the stream's upstream.
auto begin_shutdown_during_stream(gateway_fixture& fixture) -> standin_upstream&
{
    auto& engine = fixture.add_upstream("engines", [](taken_connection& connection) {
        connection.send(stream_head + std::string("\r\n") + chunk(event(1)));
    });
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until_received(event(1));
    std::raise(SIGTERM);
    fixture.run_until([&] { return fixture.gateway->closing(); });
    return engine;
}

} // namespace

Test(gateway_flow, forwards_a_call_with_the_gateways_own_fields)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream(
        "bookings", [](taken_connection& connection) { connection.send(complete_response("done")); });
    fixture.start();
    fixture.send("POST", "/book/1?q=2", "Account: forged\r\nExpected: forged\r\nX-Own: kept\r\n", "slot 7");
    fixture.run_until_received("done");
    const std::string& seen = upstream.requests.at(0)->received;
    cr_assert(seen.starts_with("POST /book/1?q=2 HTTP/1.1\r\n"));
    cr_assert(seen.ends_with("slot 7"));
    cr_assert(seen.find("X-Own: kept") != std::string::npos);
    cr_assert(seen.find("Account: acme\r\n") != std::string::npos && count(seen, "Account: ") == 1);
    cr_assert(seen.find("Expected: bookings-1\r\n") != std::string::npos && count(seen, "Expected: ") == 1);
    cr_assert(seen.find("key1") == std::string::npos, "the API key must not be forwarded");
    cr_assert(fixture.received.find("Seal: s1\r\n") != std::string::npos);
}

// Guards against running a non-idempotent call twice: if the connection is reset after the request was sent,
// it may have run. The caller receives `ran: unknown` and no second upstream receives the call.
Test(gateway_flow, does_not_repeat_a_non_idempotent_call_that_may_have_run)
{
    gateway_fixture fixture;
    int sent = 0;
    const auto reset = [&](taken_connection& connection) {
        ++sent;
        connection.reset();
    };
    fixture.add_upstream("bookings", reset);
    fixture.add_upstream("bookings", reset);
    fixture.start();
    fixture.send("POST", "/book/1", "", "slot 7");
    fixture.run_until_received("\"ran\":\"unknown\"");
    cr_assert(fixture.received.starts_with("HTTP/1.1 502 "));
    cr_assert(sent == 1, "%d", sent);
}

// A full upstream states that it hasn't run the call, so the call is retried at another one.
Test(gateway_flow, retries_a_call_that_was_not_run)
{
    gateway_fixture fixture;
    int sent = 0;
    const auto first_is_full = [&](taken_connection& connection) {
        ++sent == 1 ? connection.send(
                          "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")
                    : connection.send(complete_response("booked"));
    };
    fixture.add_upstream("bookings", first_is_full);
    fixture.add_upstream("bookings", first_is_full);
    fixture.start();
    fixture.send("POST", "/book/1", "", "slot 7");
    fixture.run_until_received("booked");
    cr_assert(sent == 2);
}

// Guards against forwarding another caller's response when an upstream mixes responses up.
Test(gateway_flow, rejects_a_response_to_another_request)
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings", [](taken_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 6\r\n\r\nsecret");
    });
    fixture.start();
    fixture.send("POST", "/book/1", "", "slot 7");
    fixture.run_until_received("HTTP/1.1 502 ");
    cr_assert(fixture.received.find("secret") == std::string::npos);
}

Test(gateway_flow, does_not_forward_a_truncated_response)
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings", [](taken_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 60\r\n\r\nhalf");
        connection.close();
    });
    fixture.start();
    fixture.send("POST", "/book/1", "", "slot 7");
    fixture.run_until_received("HTTP/1.1 502 ");
    cr_assert(fixture.received.find("half") == std::string::npos);
}

// An engine fails in the middle of the third event. The stream resumes at another engine after the second
// event, within the same response: the caller receives one head and each event once.
Test(gateway_flow, resumes_a_broken_stream_at_another_upstream)
{
    gateway_fixture fixture;
    std::vector<std::string> resumed;
    int attempt = 0;
    const auto engine = [&](taken_connection& connection) {
        if (++attempt == 1) {
            connection.send(stream_head + std::string("Seal: first\r\n\r\n") + chunk(event(1)) +
                            chunk(event(2) + "id: 3\nda"));
            connection.reset();
            return;
        }
        resumed.push_back(connection.received);
        connection.send(stream_head + std::string("Seal: second\r\n\r\n") + chunk(event(3)) +
                        chunk(event(4)) + "0\r\n\r\n");
    };
    fixture.add_upstream("engines", engine);
    fixture.add_upstream("engines", engine);
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until_received("\r\n0\r\n\r\n");
    cr_assert(resumed.size() == 1 && resumed[0].find("Last-Event-Id: 2\r\n") != std::string::npos);
    for (int id = 1; id <= 4; ++id) {
        cr_assert(count(fixture.received, event(id)) == 1, "event %d", id);
    }
    cr_assert(count(fixture.received, "HTTP/1.1 200") == 1 &&
              fixture.received.find("Seal: first") != std::string::npos);
    cr_assert(fixture.received.find("second") == std::string::npos);
}

// Guards against a truncated stream that looks complete: when no engine is left to resume it, the caller's
// connection is closed without the final chunk.
Test(gateway_flow, aborts_a_stream_that_can_not_be_resumed)
{
    gateway_fixture fixture;
    const auto engine = [](taken_connection& connection) {
        connection.send(stream_head + std::string("\r\n") + chunk(event(1)));
        connection.reset();
    };
    fixture.add_upstream("engines", engine);
    fixture.add_upstream("engines", engine);
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(count(fixture.received, event(1)) == 1);
    cr_assert(fixture.received.find("\r\n0\r\n\r\n") == std::string::npos);
}

// Guards against engines that keep generating for a disconnected caller.
Test(gateway_flow, closes_the_upstream_connection_when_the_caller_disconnects)
{
    gateway_fixture fixture;
    auto& engine = fixture.add_upstream("engines", [](taken_connection& connection) {
        connection.send(stream_head + std::string("\r\n") + chunk(event(1)));
    });
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until_received(event(1));
    fixture.caller.close();
    fixture.run_until([&] { return engine.requests.at(0)->ended; });
}

// Guards against request smuggling: a request with both Content-Length and Transfer-Encoding hides a second
// one. Nothing of it may reach an upstream.
Test(gateway_flow, rejects_request_smuggling)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream(
        "bookings", [](taken_connection& connection) { connection.send(complete_response("done")); });
    fixture.start();
    fixture.send_raw(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key1\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /book/2 HTTP/1.1\r\nHost: h.example\r\n\r\n");
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.received.starts_with("HTTP/1.1 400 "));
    cr_assert(upstream.requests.empty());
}

Test(gateway_flow, refuses_unknown_routes_and_keys)
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings",
                         [](taken_connection& connection) { connection.send(complete_response("done")); });
    fixture.start();
    fixture.send("POST", "/nowhere/1");
    fixture.run_until_received("HTTP/1.1 404 ");
    fixture.send_raw("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer other\r\n"
                     "Content-Length: 0\r\n\r\n");
    fixture.run_until_received("HTTP/1.1 401 ");
}

// Guards against a 404 from a gateway that has just started and can't reach a source of configuration. It
// must state that the request hasn't run and when to retry.
Test(gateway_flow, without_a_configuration_refuses_with_retry_after)
{
    gateway_fixture fixture;
    fixture.start(false);
    fixture.send("POST", "/book/1");
    fixture.run_until_received("\"ran\":\"no\"");
    cr_assert(fixture.received.starts_with("HTTP/1.1 503 "));
    cr_assert(fixture.received.find("Retry-After: 1.00\r\n") != std::string::npos);
}

Test(gateway_flow, serves_several_requests_on_a_connection)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream(
        "bookings", [](taken_connection& connection) { connection.send(complete_response("done")); });
    fixture.start();
    for (int request = 1; request <= 3; ++request) {
        fixture.send("POST", "/book/1", "", "slot 7");
        fixture.run_until([&] { return count(fixture.received, "done") == request; });
    }
    cr_assert(upstream.requests.size() == 3);
    cr_assert(!fixture.caller_ended);
}

// A gateway that receives SIGTERM lets a running stream finish before it stops.
Test(gateway_flow, shutdown_finishes_running_streams)
{
    gateway_fixture fixture;
    auto& engine = begin_shutdown_during_stream(fixture);
    engine.requests.at(0)->send(chunk(event(2)) + "0\r\n\r\n");
    fixture.run_until_received("\r\n0\r\n\r\n");
    cr_assert(fixture.received.find(event(2)) != std::string::npos);
    fixture.run_until([&] { return fixture.loop.stopped(); });
}

// Guards against refused connections at every gateway while all of them are restarted one after the other.
Test(gateway_flow, stopping_gateway_refuses_late_callers_with_retry_after)
{
    gateway_fixture fixture;
    fixture.settings.deregistration_delay = 0ms;
    auto& engine = begin_shutdown_during_stream(fixture);
    fixture.loop.run_for(1ms);
    fixture.connect_another_caller();
    fixture.send("POST", "/chat/2", "Tokens: 100,10\r\n", "hello");
    fixture.run_until_received("Retry-After: 1.00");
    cr_assert(fixture.received.find("HTTP/1.1 503") != std::string::npos);
    cr_assert(fixture.received.find("\"ran\":\"no\"") != std::string::npos);
    cr_assert(engine.requests.size() == 1, "the late call must not reach an upstream");
}

// Guards against refusing callers that retry while a gateway starts and has no configuration yet.
Test(gateway_flow, callers_wait_for_the_configuration_of_a_starting_gateway)
{
    gateway_fixture fixture;
    fixture.source.delay_records = true;
    fixture.add_upstream("bookings",
                         [](taken_connection& connection) { connection.send(complete_response("booked")); });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.loop.run_for(1ms);
    cr_assert(fixture.received.empty());
    fixture.source.publish_records();
    fixture.run_until_received("booked");
}

// Guards against callers that are held, or sent to an upstream in need: once a response has stated a rate
// limit, the next caller is refused at once and told when its turn comes.
Test(gateway_flow, refuses_a_call_beyond_a_stated_rate_limit)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream("bookings", [](taken_connection& connection) {
        connection.send(complete_response("done", "Rate-Limit: 0.1\r\n"));
    });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("done");
    fixture.received.clear();
    fixture.send("POST", "/book/2");
    fixture.run_until_received("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 503 "), "%s", fixture.received.c_str());
    const auto at = fixture.received.find("Retry-After: ");
    cr_assert(at != std::string::npos);
    const double retry_after = std::stod(fixture.received.substr(at + 13));
    cr_assert(retry_after > 5.0 && retry_after < 21.0, "%f", retry_after);
    cr_assert(upstream.requests.size() == 1);
}

// A rejection that doesn't come from the upstream's own queue may know nothing of its limit, and an answer of
// another upstream at the address says nothing about it.
Test(gateway_flow, rejection_without_a_statement_does_not_end_a_rate_limit)
{
    gateway_fixture fixture;
    int calls = 0;
    auto& upstream = fixture.add_upstream("bookings", [&](taken_connection& connection) {
        const bool first = ++calls == 1;
        connection.send(first ? complete_response("done", "Rate-Limit: 20\r\n")
                              : std::string("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r1\r\n"
                                            "Content-Length: 0\r\n\r\n"));
    });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("done");
    fixture.received.clear();
    fixture.send("POST", "/book/2");
    fixture.run_until_received("503");
    cr_assert(upstream.requests.size() >= 2);
    cr_assert(fixture.gateway->availability().rate_limits().beliefs().limited() == 1);
}
