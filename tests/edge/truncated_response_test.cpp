#include "gateway_fixture.h"

#include "http/response_parser.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// How an upstream shows the end of a body.
enum class framing
{
    length,
    chunks,
    connection,
};

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

auto make_response(framing how, const std::string& fields, const std::string& body) -> std::string
{
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\n" + fields;
    switch (how) {
    case framing::length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + chunk("");
    case framing::connection:
        return head + "\r\n" + body;
    }
    return head;
}

/// What a caller has received until its response was complete or its connection ended.
struct received_response
{
    bool complete = false;
    unsigned status = 0;
    std::string body;
};

/// Sends a request to a service whose first response breaks off after `cut` bytes, with an orderly close. Any
/// further one is `complete_response`.
auto call_cut_after(std::size_t cut, const std::string& service, const std::string& path,
                    const std::string& first, const std::string& complete_response) -> received_response
{
    gateway_fixture fixture;
    int attempts = 0;
    const auto answer = [&](taken_connection& connection) {
        connection.send(++attempts == 1 ? first.substr(0, cut) : complete_response);
        connection.close();
    };
    fixture.add_upstream(service, answer);
    fixture.add_upstream(service, answer);
    fixture.start();
    fixture.send("POST", path, service == "engines" ? "Tokens: 100,10\r\n" : "", "hello");
    received_response received;
    fixture.run_until([&] {
        http::response_parser parser(false);
        received.body.clear();
        received.complete = parser.take(fixture.received, received.body) == http::response_state::complete;
        received.status = parser.head().status;
        return received.complete || fixture.caller_ended;
    });
    return received;
}

constexpr std::array all_framings{framing::length, framing::chunks, framing::connection};

} // namespace

// Guards against an answer that an upstream has cut off in its head or body and that looks complete to the
// caller.
Test(truncated_response, of_a_booking_is_passed_on_only_if_it_is_complete)
{
    for (const framing how : all_framings) {
        const std::string whole = make_response(how, "", "booked");
        const std::size_t head = whole.find("\r\n\r\n") + 4;
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            const auto received = call_cut_after(cut, "bookings", "/book/1", whole, whole);
            // Without a length or chunks, an answer that breaks off in its body can't be told from a shorter
            // one.
            const bool looks_complete = cut == whole.size() || (how == framing::connection && cut > head);
            cr_assert(received.complete && received.status == (looks_complete ? 200 : 502),
                      "cut after %zu of %s", cut, whole.c_str());
            cr_assert(!looks_complete || received.body == whole.substr(head, cut - head) ||
                      received.body == "booked");
        }
    }
}

// Guards against a lookup that isn't repeated, or is answered with a part, after its answer was cut off.
Test(truncated_response, of_a_lookup_is_replaced_by_another_upstreams)
{
    for (const framing how : {framing::length, framing::chunks}) {
        const std::string whole = make_response(how, "", "found");
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            const auto received = call_cut_after(cut, "bookings", "/find/1", whole, whole);
            cr_assert(received.complete && received.status == 200 && received.body == "found",
                      "cut after %zu of %s", cut, whole.c_str());
        }
    }
    const std::string unframed = make_response(framing::connection, "", "found");
    for (std::size_t cut = 0; cut <= unframed.find("\r\n\r\n") + 4; ++cut) {
        const auto received = call_cut_after(cut, "bookings", "/find/1", unframed, unframed);
        cr_assert(received.complete && received.body == "found", "cut after %zu", cut);
    }
}

// Guards against a stream with a gap, a part of an event, or an end that it doesn't have, after it was cut
// off.
Test(truncated_response, of_a_stream_is_resumed_or_incomplete)
{
    const std::string events = event(1) + event(2);
    const std::string type = "Content-Type: text/event-stream\r\n";
    for (const framing how : all_framings) {
        const std::string whole = make_response(how, type, events);
        const std::size_t head = whole.find("\r\n\r\n") + 4;
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            const bool is_between_events = how == framing::connection && cut == head + event(1).size();
            // Resumes one event too early if the first upstream has sent any.
            const auto resumed = call_cut_after(cut, "engines", "/chat/1", whole, whole);
            cr_assert(resumed.complete && resumed.status == 200, "cut after %zu of %s", cut, whole.c_str());
            cr_assert(resumed.body == (is_between_events ? event(1) : events), "cut after %zu of %s", cut,
                      whole.c_str());
            const auto ended = call_cut_after(cut, "engines", "/tell/1", whole, whole);
            const bool complete = ended.complete && ended.status == 200;
            cr_assert(complete == (cut == whole.size() || is_between_events), "cut after %zu of %s", cut,
                      whole.c_str());
            cr_assert(ended.status == 502 || events.starts_with(ended.body), "cut after %zu of %s", cut,
                      whole.c_str());
        }
    }
}

// Guards against the part of an answer that arrives before a reset, passed on as the whole.
Test(truncated_response, after_a_reset_is_never_complete)
{
    const std::string whole = make_response(framing::connection, "", "booked");
    for (std::size_t cut = 1; cut <= whole.size(); ++cut) {
        gateway_fixture fixture;
        fixture.add_upstream("bookings", [&](taken_connection& connection) {
            connection.send(whole.substr(0, cut));
            fixture.loop.run_one_for(std::chrono::milliseconds(1));
            connection.reset();
        });
        fixture.start();
        fixture.send("POST", "/book/1");
        fixture.run_until_received("\r\n\r\n");
        cr_assert(fixture.received.starts_with("HTTP/1.1 502 "), "cut after %zu: %s", cut,
                  fixture.received.c_str());
    }
}
