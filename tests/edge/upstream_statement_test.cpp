#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr const char* pushback_of_5s =
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r1\r\nPushback: 5\r\nContent-Length: 0\r\n\r\n";

/// Value of the first Retry-After field that the caller has received, in seconds.
auto retry_after(const gateway_fixture& fixture) -> double
{
    const auto at = fixture.received.find("Retry-After: ");
    cr_assert(at != std::string::npos, "%s", fixture.received.c_str());
    return std::stod(fixture.received.substr(at + 13));
}

} // namespace

// Guards against further attempts at an upstream that has asked for a pause, of the rejected call itself and
// of later ones, and against callers that are held until their deadline instead.
Test(upstream_statement, callers_are_refused_while_the_only_upstream_pushes_back)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream(
        "bookings", [](taken_connection& connection) { connection.send(pushback_of_5s); });
    fixture.start();
    for (int request = 1; request <= 3; ++request) {
        fixture.received.clear();
        fixture.send("POST", "/book/1");
        fixture.run_until_received("\"ran\":\"no\"");
        cr_assert(fixture.received.starts_with("HTTP/1.1 503 "), "%s", fixture.received.c_str());
        cr_assert(retry_after(fixture) > 3.0 && retry_after(fixture) < 6.0, "%f", retry_after(fixture));
    }
    cr_assert(upstream.requests.size() == 1, "%zu", upstream.requests.size());
}

// Guards against callers that notice the pushback of one upstream while another one has capacity.
Test(upstream_statement, calls_go_elsewhere_while_one_upstream_pushes_back)
{
    gateway_fixture fixture;
    auto& first = fixture.add_upstream("bookings",
                                       [](taken_connection& connection) { connection.send(pushback_of_5s); });
    auto& second = fixture.add_upstream(
        "bookings", [](taken_connection& connection) { connection.send(complete_response("booked")); });
    fixture.start();
    for (std::size_t request = 1; request <= 10; ++request) {
        fixture.received.clear();
        fixture.send("POST", "/book/1");
        fixture.run_until_received("booked");
        cr_assert(second.requests.size() == request);
    }
    cr_assert(first.requests.size() <= 1);
}

// Guards against new calls to an upstream that has stated its drain in a response, though it is published as
// ready.
Test(upstream_statement, calls_go_elsewhere_once_an_upstream_states_its_drain)
{
    gateway_fixture fixture;
    const auto draining = [](taken_connection& connection) {
        connection.send(complete_response("booked", "Draining: 1\r\n"));
    };
    auto& first = fixture.add_upstream("bookings", draining);
    auto& second = fixture.add_upstream("bookings", draining);
    fixture.start();
    for (int request = 1; request <= 2; ++request) {
        fixture.received.clear();
        fixture.send("POST", "/book/1");
        fixture.run_until_received("booked");
    }
    cr_assert(first.requests.size() == 1 && second.requests.size() == 1);
    fixture.received.clear();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("\"ran\":\"no\"");
    cr_assert(retry_after(fixture) > 0.0);
    cr_assert(first.requests.size() == 1 && second.requests.size() == 1);
}

// Guards against a prompt whose memory is reserved at an engine that, in its response to the reservation,
// states its drain: the answer would be cut off when that engine exits.
Test(upstream_statement, prompt_is_planned_again_if_an_engine_drains_during_its_reservation)
{
    gateway_fixture fixture;
    fixture.engine_profile =
        direct::engine_profile{16, 45'000, 46, 0.925, 0.00483, 0.00254, 256.0, 0.0917, 2048};
    fixture.orders.reserve = [](const reserve_order& order) {
        return "POST /reserve HTTP/1.1\r\nHost: " + order.address + "\r\nContent-Length: 0\r\n\r\n";
    };
    fixture.orders.release = [](const release_order& order) {
        return "POST /release HTTP/1.1\r\nHost: " + order.address + "\r\nContent-Length: 0\r\n\r\n";
    };
    fixture.orders.encode_prefill_engines = [](const std::vector<prefill_engine_reference>& engines) {
        std::string list;
        for (const prefill_engine_reference& engine : engines) {
            list += engine.address + " ";
        }
        return list;
    };
    std::vector<standin_upstream*> engines;
    std::string draining_address;
    std::string sent;
    for (std::size_t i = 0; i < 6; ++i) {
        engines.push_back(&fixture.add_upstream("engines", [&, i](taken_connection& connection) {
            if (connection.received.starts_with("POST /chat/")) {
                sent = engines[i]->address() + "\r\n" + connection.received;
                connection.send(complete_stream("answered"));
                return;
            }
            if (draining_address.empty()) {
                draining_address = engines[i]->address();
            }
            const bool drains = draining_address == engines[i]->address();
            connection.send(std::string("HTTP/1.1 200 OK\r\n") + (drains ? "Draining: 1\r\n" : "") +
                            "Content-Length: 0\r\n\r\n");
        }));
    }
    fixture.start();
    fixture.send("POST", "/chat/1", "Tokens: 60000,100\r\n", "hello");
    fixture.run_until_received("answered");
    cr_assert(!draining_address.empty(), "no memory was reserved");
    cr_assert(sent.find(draining_address) == std::string::npos, "%s", sent.c_str());
}
