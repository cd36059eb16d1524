#include "gateway_fixture.h"

#include <array>
#include <cstdio>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Statuses that no response may have; 101 would need a request for another protocol.
constexpr std::array unknown_statuses{0, 1, 20, 99, 101, 600, 601, 799, 999};

auto three_digits(int status) -> std::string
{
    std::array<char, 8> text{};
    (void)std::snprintf(text.data(), text.size(), "%03d", status);
    return text.data();
}

auto response_with(int status, bool named) -> std::string
{
    return "HTTP/1.1 " + three_digits(status) + " Trouble\r\n" +
           (named ? "Request-Id: r1\r\nSeal: s1\r\n" : "") + "Content-Length: 7\r\n\r\ntrouble";
}

struct call_result
{
    std::string received;
    int attempts = 0;
};

/// Sends a request whose first response is `first`, after which the upstream keeps its connection open; a
/// further one is `second`.
auto call(const std::string& service, const std::string& path, const std::string& first,
          const std::string& second) -> call_result
{
    gateway_fixture fixture;
    call_result result;
    const auto answer = [&](taken_connection& connection) {
        connection.send(++result.attempts == 1 ? first : second);
    };
    fixture.add_upstream(service, answer);
    fixture.add_upstream(service, answer);
    fixture.start();
    fixture.send("POST", path, service == "engines" ? "Tokens: 100,10\r\n" : "", "hello");
    fixture.run_until_received("\r\n\r\n");
    result.received = fixture.received;
    return result;
}

} // namespace

// Guards against a response with a status that doesn't exist, which is passed on (600, 999) or holds its
// caller until the deadline (000).
Test(response_status, that_does_not_exist_fails_a_booking_at_once)
{
    for (const int status : unknown_statuses) {
        for (const bool named : {true, false}) {
            const call_result result = call("bookings", "/book/1", response_with(status, named), "");
            cr_assert(result.received.starts_with("HTTP/1.1 502 "), "%d: %s", status,
                      result.received.c_str());
            cr_assert(result.attempts == 1, "%d: a booking was sent %d times", status, result.attempts);
        }
    }
}

// Guards against a status that doesn't exist behind an interim response.
Test(response_status, that_does_not_exist_fails_a_booking_behind_an_interim_response)
{
    for (const int status : {0, 101, 600}) {
        const call_result result =
            call("bookings", "/book/1",
                 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response_with(status, true), "");
        cr_assert(result.received.starts_with("HTTP/1.1 502 "), "%d: %s", status, result.received.c_str());
    }
}

// Guards against a lookup or a stream that isn't repeated at another upstream.
Test(response_status, that_does_not_exist_is_replaced_where_a_request_may_be_repeated)
{
    for (const int status : unknown_statuses) {
        const call_result found =
            call("bookings", "/find/1", response_with(status, true), complete_response("found"));
        cr_assert(found.received.starts_with("HTTP/1.1 200 ") && found.attempts == 2, "%d: %s", status,
                  found.received.c_str());
        const call_result stream =
            call("engines", "/chat/1", response_with(status, true), complete_stream("x"));
        cr_assert(stream.received.starts_with("HTTP/1.1 200 ") && stream.attempts == 2, "%d: %s", status,
                  stream.received.c_str());
    }
}

// Guards against the loss of responses at the limits of what is allowed.
Test(response_status, that_exists_is_passed_on)
{
    for (const int status : {200, 299, 300, 404, 499, 500, 599}) {
        const call_result result = call("bookings", "/book/1", response_with(status, true), "");
        cr_assert(result.received.starts_with("HTTP/1.1 " + std::to_string(status) + " "), "%d: %s", status,
                  result.received.c_str());
    }
}
