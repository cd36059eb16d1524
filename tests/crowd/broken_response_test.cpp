#include "crowd/caller_crowd.h"
#include "crowd/crowd_gateway.h"
#include "support/early_responder.h"

#include <criterion/criterion.h>

using namespace dragonflymill::crowd;
using dragonflymill::test_support::early_responder;
using dragonflymill::test_support::early_response;
using ending = early_response::ending;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// More than the socket buffers of both sides hold.
constexpr std::size_t long_upload = 6 * mebibyte;
constexpr std::size_t part_bytes = 20'000;
constexpr int uploads = 20;

auto bounds() -> gateway_bounds
{
    return {.memory_mb = 160, .body_bytes = 2 * long_upload};
}

auto head_of(const std::string& status_line, const std::string& fields) -> std::string
{
    return "HTTP/1.1 " + status_line +
           "\r\nDragonflymill-Attempt-Id: c\r\nDragonflymill-Server-Seal: o1\r\n" + fields + "\r\n";
}

auto request_with(std::size_t body_bytes) -> std::string
{
    return crowd_gateway::request_head("/custom/x", "25000") +
           "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'u');
}

/// Number of complete responses with `status` to `uploads` long uploads, each answered with `response`.
auto complete_responses(const early_response& response, unsigned status) -> int
{
    crowd_gateway gateway(bounds());
    early_responder upstream(gateway.loop(), response);
    gateway.add_custom_upstream(upstream.address());
    int complete = 0;
    for (int count = 0; count < uploads; ++count) {
        const received_response received = gateway.whole_response_to(request_with(long_upload));
        complete += received.complete && received.status == status ? 1 : 0;
    }
    gateway.check_bounds();
    return complete;
}

/// Checks that a request that is answered with `bytes`, on a connection that stays open, fails at once.
void check_failed(crowd_gateway& gateway, const std::string& bytes)
{
    early_responder upstream(gateway.loop(), {{bytes}, ending::stay_open, 1, 0, false});
    gateway.add_custom_upstream(upstream.address());
    const received_response received = gateway.whole_response_to(request_with(2));
    cr_assert(received.complete && received.status == 502, "%s: status %u", bytes.c_str(), received.status);
}

} // namespace

// Guards against a part of a response without a length that reaches callers as complete, after a reset while
// the gateway is still sending the request.
Test(broken_response, after_a_reset_is_never_complete, .timeout = 250)
{
    for (const char* status_line : {"200 OK", "404 Not Found"}) {
        const std::string part = head_of(status_line, "") + std::string(part_bytes, 'p');
        const auto status = static_cast<unsigned>(std::stoi(status_line));
        const std::string first_half = part.substr(0, part_bytes / 2);
        const std::string second_half = part.substr(part_bytes / 2);
        for (const early_response& response :
             {early_response{{part}}, early_response{{part}, ending::reset, mebibyte},
              early_response{{first_half, second_half}}}) {
            const int complete = complete_responses(response, status);
            cr_expect(complete == 0, "%d of %d with status %u", complete, uploads, status);
        }
    }
}

// Guards against the loss of a response that shows its own end, though its connection is reset behind it.
Test(broken_response, with_a_length_is_complete, .timeout = 250)
{
    const std::string whole = head_of("200 OK", "Content-Length: " + std::to_string(part_bytes) + "\r\n") +
                              std::string(part_bytes, 'p');
    cr_assert(complete_responses({{whole}}, 200) == uploads);
}

// Guards against statuses that don't exist, which reach callers or hold them until their deadline.
Test(broken_response, with_a_status_that_does_not_exist_fails_at_once, .timeout = 250)
{
    crowd_gateway gateway(bounds());
    for (const char* status_line :
         {"000 Trouble", "099 Trouble", "101 Trouble", "600 Trouble", "999 Trouble"}) {
        check_failed(gateway, head_of(status_line, "Content-Length: 2\r\n") + "ok");
        check_failed(gateway, std::string("HTTP/1.1 ") + status_line + "\r\nContent-Length: 2\r\n\r\nok");
    }
}

// Guards against a head with a spoiled field name that reaches callers, or frames the body.
Test(broken_response, with_a_spoiled_field_name_fails_at_once, .timeout = 250)
{
    crowd_gateway gateway(bounds());
    for (const char* field : {"Content Length: 2", "Content\x01Length: 2", " Content-Length: 2",
                              "\tContent-Length: 2", "X\x7f: 1", "X : 1"}) {
        check_failed(gateway, head_of("200 OK", std::string(field) + "\r\n") + "ok");
    }
}

// Guards against memory that grows with what upstreams send without end, and requests of others that end with
// the process.
Test(broken_response, without_end_does_not_use_up_memory, .timeout = 250)
{
    const std::string filler(65'536, 'x');
    const std::string chunks = head_of("200 OK", "Transfer-Encoding: chunked\r\n");
    const std::vector<std::vector<std::string>> endless = {
        {"HTTP/1.1 200 OK\r\nX: ", filler},      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        {head_of("200 OK", ""), filler},         {head_of("500 Trouble", ""), filler},
        {chunks, "10000\r\n" + filler + "\r\n"}, {chunks + "1;x=", filler},
    };
    constexpr std::size_t members = 60;
    for (const auto& parts : endless) {
        crowd_gateway gateway({});
        early_responder upstream(gateway.loop(), {parts, ending::repeat, 1, 0, false});
        gateway.add_custom_upstream(upstream.address());
        caller_crowd crowd(gateway.loop(), gateway.callers(), members, {request_with(2), "", 0, "", false});
        crowd.run_until_sent();
        cr_expect(gateway.comes_true([&] { return upstream.connections() >= members; }));
        cr_expect(gateway.answers(), "no ordinary request is answered beside %s", parts.front().c_str());
        gateway.check_bounds();
        crowd.leave();
        gateway.check_released();
    }
}

// Guards against memory for many streams, each of which stalls in an event just short of the size allowed.
Test(broken_response, that_stalls_in_a_long_event_does_not_use_up_memory, .timeout = 250)
{
    crowd_gateway gateway({});
    const std::string head = head_of("200 OK", "Content-Type: text/event-stream\r\n");
    early_responder upstream(
        gateway.loop(),
        {{head + "data: " + std::string(mebibyte - 20'000, 'x')}, ending::stay_open, 1, 0, false});
    gateway.add_custom_upstream(upstream.address());
    constexpr std::size_t members = 200;
    caller_crowd crowd(gateway.loop(), gateway.callers(), members,
                       {crowd_gateway::request_head("/stream/x", "25000") + "Content-Length: 2\r\n\r\nhi", "",
                        0, "", false});
    crowd.run_until_sent();
    cr_expect(gateway.comes_true([&] { return upstream.connections() >= members; }));
    cr_expect(gateway.answers(), "no ordinary request is answered");
    gateway.check_bounds();
    crowd.leave();
    gateway.check_released();
}

// Guards against memory that is used up by a store whose answer doesn't end, beside callers that fill theirs.
Test(broken_response, of_the_store_without_end_does_not_use_up_memory, .timeout = 250)
{
    crowd_gateway gateway({});
    constexpr std::size_t members = 28;
    caller_crowd crowd(gateway.loop(), gateway.callers(), members,
                       {crowd_gateway::request_head("/book/hang") +
                            "Content-Length: " + std::to_string(mebibyte) + "\r\n\r\n",
                        std::string(mebibyte, 'u'), 1});
    crowd.run_until_sent();
    gateway.store().set_mood(dragonflymill::soak::store_standin::mood::endless);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    while (std::chrono::steady_clock::now() < end) {
        cr_assert(gateway.answers(), "no ordinary request is answered");
    }
    gateway.check_bounds();
}
