#include "stream_exchange.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Longer than what a gateway buffers of a response that is no stream.
constexpr std::size_t forwarded_bytes = 1'500'000;

/// Upstreams. The first request gets a long response that is truncated, each other one a complete response.
struct breaking_fixture : gateway_fixture
{
    breaking_fixture(const std::string& service, const std::string& status, const std::string& whole)
        : first("HTTP/1.1 " + status + "\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Length: 9000000\r\n\r\n" +
                std::string(forwarded_bytes, 'x'))
    {
        const auto answer = [this, whole](taken_connection& connection) {
            ++attempts;
            const auto kept = connection.shared_from_this();
            boost::asio::async_write(kept->socket, boost::asio::buffer(attempts == 1 ? first : whole),
                                     [kept](const auto&, std::size_t) { kept->close(); });
        };
        add_upstream(service, answer);
        add_upstream(service, answer);
        start();
    }

    std::string first;
    int attempts = 0;
};

} // namespace

// Guards against an answer that consists of the first part of a failure and of another upstream's stream.
Test(joined_attempts, a_stream_does_not_go_on_in_a_failure_that_has_begun)
{
    const std::string stream = chunked_head + chunk(events(1, event_count)) + chunk("");
    breaking_fixture fixture("engines", "500 Failed", stream);
    fixture.send("POST", "/chat/1", "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return fixture.caller_ended || fixture.received.ends_with("\r\n0\r\n\r\n"); });
    cr_assert(fixture.received.starts_with("HTTP/1.1 500 ") && fixture.caller_ended);
    cr_assert(fixture.attempts == 1 && fixture.received.find("id: 1") == std::string::npos);
}

// Guards against work for an answer that can't be forwarded any more.
Test(joined_attempts, a_lookup_is_not_repeated_once_its_answer_has_begun)
{
    breaking_fixture fixture("bookings", "200 OK", complete_response("found"));
    fixture.send("GET", "/find/1");
    fixture.run_until([&] { return fixture.caller_ended || fixture.received.ends_with("\r\n0\r\n\r\n"); });
    cr_assert(fixture.received.starts_with("HTTP/1.1 200 ") && fixture.caller_ended);
    cr_assert(fixture.attempts == 1 && fixture.received.find("found") == std::string::npos);
}
