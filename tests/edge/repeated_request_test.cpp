#include "gateway_fixture.h"

#include <set>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Ends under one request, over all repetitions by its caller.
constexpr int allowed_ends = 3;
constexpr int repetitions = 6;

/// Upstreams of a service that crash as soon as they get a request that contains `fatal`.
class crashing_upstreams
{
public:
    crashing_upstreams(gateway_fixture& fixture, const std::string& service, const std::string& fatal)
    {
        for (int number = 0; number < repetitions * 2; ++number) {
            upstreams_.push_back(&fixture.add_upstream(service, [this, service, fatal,
                                                                 number](taken_connection& call) {
                if (call.received.find(fatal) == std::string::npos) {
                    call.send(service == "engines" ? complete_stream("served") : complete_response("served"));
                    return;
                }
                ++crashes;
                upstreams_[static_cast<std::size_t>(number)]->crash();
            }));
        }
    }

    int crashes = 0;

private:
    std::vector<standin_upstream*> upstreams_;
};

/// Sends a request and waits for the end of its answer's head.
void send_and_wait(gateway_fixture& fixture, const std::string& method, const std::string& path,
                   const std::string& fields = "")
{
    fixture.received.clear();
    fixture.send(method, path, fields);
    fixture.run_until_received("\r\n\r\n");
}

} // namespace

// Guards against a plain call that ends two upstreams for each repetition by its caller, as each one has an
// id of its own.
Test(repeated_request, ends_no_fourth_upstream_of_a_plain_service)
{
    gateway_fixture fixture;
    crashing_upstreams upstreams(fixture, "bookings", "GET /find/bad ");
    fixture.start();
    for (int sent = 0; sent < repetitions; ++sent) {
        send_and_wait(fixture, "GET", "/find/bad");
        cr_assert(!fixture.received.starts_with("HTTP/1.1 200 "));
        cr_assert(upstreams.crashes <= allowed_ends, "%d upstreams ended", upstreams.crashes);
    }
    cr_assert(fixture.received.starts_with("HTTP/1.1 503 "), "it isn't held, and certainly not run");
    send_and_wait(fixture, "GET", "/find/good");
    fixture.run_until_received("served");
}

// Guards against a call to engines that is repeated at once: its ends within a tenth of a second counted as
// one. Calls that share its first part are sound and must be served.
Test(repeated_request, ends_no_fourth_engine_and_blocks_no_other_call)
{
    gateway_fixture fixture;
    crashing_upstreams engines(fixture, "engines", "Parts: a1:40,bad7:30");
    fixture.start();
    for (int sent = 0; sent < repetitions; ++sent) {
        send_and_wait(fixture, "POST", "/chat/1", "Tokens: 70,10\r\nParts: a1:40,bad7:30\r\n");
        cr_assert(engines.crashes <= allowed_ends, "%d engines ended", engines.crashes);
    }
    send_and_wait(fixture, "POST", "/chat/1", "Tokens: 70,10\r\nParts: a1:40,c7:30\r\n");
    fixture.run_until_received("served");
}

// Guards against a stream under which engines reset the connection after its first event, each time again.
Test(repeated_request, ends_no_fourth_engine_after_its_first_event)
{
    gateway_fixture fixture;
    int resets = 0;
    for (int number = 0; number < repetitions * 2; ++number) {
        fixture.add_upstream("engines", [&resets](taken_connection& call) {
            call.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\r\n");
            ++resets;
            call.reset();
        });
    }
    fixture.start();
    const gateway_metrics& metrics = fixture.gateway->metrics();
    for (int sent = 0; sent < repetitions; ++sent) {
        const auto ended = [&] { return metrics.aborted.value() + metrics.refused.value(); };
        const auto before = ended();
        fixture.connect_another_caller();
        fixture.send("POST", "/chat/1", "Tokens: 70,10\r\nParts: a1:40,bad7:30\r\n");
        fixture.run_until([&] { return ended() > before; });
        cr_assert(resets <= allowed_ends, "%d engines ended", resets);
    }
    cr_assert(resets == allowed_ends);
}

// Guards against a sound request that is blocked though an upstream has answered it meanwhile, with whatever
// status.
Test(repeated_request, is_cleared_by_an_answer_with_a_failure)
{
    gateway_fixture fixture;
    int sent = 0;
    for (int number = 0; number < repetitions * 2; ++number) {
        fixture.add_upstream("bookings", [&sent](taken_connection& call) {
            if (++sent % 3 == 0) {
                call.send("HTTP/1.1 404 N\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            call.close();
        });
    }
    fixture.start();
    for (int repeated = 0; repeated < repetitions; ++repeated) {
        send_and_wait(fixture, "GET", "/find/1");
        cr_assert(!fixture.received.starts_with("HTTP/1.1 503 "));
    }
}

// Guards against a plain call under which upstreams fall silent: its caller's time is over before the gateway
// would try another one, so that it took one of them for each repetition.
Test(repeated_request, makes_no_fourth_upstream_fall_silent)
{
    gateway_fixture fixture;
    std::set<int> silent;
    for (int number = 0; number < repetitions; ++number) {
        fixture.add_upstream("bookings", [&silent, number](taken_connection&) { silent.insert(number); });
    }
    fixture.start();
    for (int sent = 0; sent < 2 * repetitions; ++sent) {
        fixture.received.clear();
        fixture.send_raw("GET /find/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nTime-Left: 200\r\n"
                         "Authorization: Bearer key1\r\n\r\n");
        fixture.run_until_received("\r\n\r\n");
        cr_assert(silent.size() <= allowed_ends, "%zu upstreams fell silent", silent.size());
    }
}

// Guards against a call that is sent again and again without a pause while the only upstream that is left
// refuses connections.
Test(repeated_request, pauses_between_attempts_at_an_upstream_that_refuses_connections)
{
    constexpr std::uint64_t allowed_attempts = 16;
    gateway_fixture fixture;
    standin_upstream& upstream = fixture.add_upstream("bookings", [](taken_connection&) {});
    upstream.crash();
    fixture.start();
    fixture.send_raw("GET /find/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nTime-Left: 600\r\n"
                     "Authorization: Bearer key1\r\n\r\n");
    fixture.run_until_received("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 503 "));
    const auto attempts = static_cast<std::uint64_t>(fixture.gateway->metrics().attempts.value());
    cr_assert(attempts <= allowed_attempts, "%d attempts", static_cast<int>(attempts));
}
