#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr const char* begin = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\n";
constexpr const char* chunked_body = "6\r\nbooked\r\n0\r\n\r\n";

/// Sends a booking that is answered with `response` on a connection that then closes.
auto booking_answered(const std::string& response) -> std::string
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings", [&](taken_connection& connection) {
        connection.send(response);
        connection.close();
    });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("\r\n\r\n");
    return fixture.received;
}

void check_rejected(const std::string& response)
{
    const std::string received = booking_answered(response);
    cr_assert(received.starts_with("HTTP/1.1 502 "), "%s got %s", response.c_str(), received.c_str());
}

} // namespace

// Guards against a head that is passed on, or frames its body, though the name of a field holds a blank or a
// control byte.
Test(response_field, with_a_spoiled_name_fails_a_booking)
{
    for (const std::string byte : {" ", "\t", "\x01", "\x1f", "\x7f", "\xe9", "\r", "\n", "\v", "(", "/"}) {
        check_rejected(begin + std::string("X") + byte + "Y: 1\r\nContent-Length: 6\r\n\r\nbooked");
        check_rejected(begin + std::string("XY") + byte + ": 1\r\nContent-Length: 6\r\n\r\nbooked");
        check_rejected(begin + std::string("Content") + byte + "Length: 6\r\n\r\nbooked");
        check_rejected(begin + std::string("Transfer-Encoding") + byte + ": chunked\r\n\r\n" + chunked_body);
    }
}

// Guards against a field whose name begins with a blank, which is taken for the rest of the field before it:
// a body in chunks is then passed on with their framing.
Test(response_field, with_a_blank_before_its_name_fails_a_booking)
{
    for (const std::string blank : {" ", "\t", "  "}) {
        check_rejected(begin + blank + "Transfer-Encoding: chunked\r\n\r\n" + chunked_body);
        check_rejected(begin + blank + "Content-Length: 6\r\n\r\nbooked and more");
        check_rejected(begin + blank + "X: 1\r\nContent-Length: 6\r\n\r\nbooked");
        check_rejected("HTTP/1.1 200 OK\r\n" + blank +
                       "Request-Id: r1\r\nSeal: s1\r\nContent-Length: 6\r\n\r\nbooked");
        check_rejected(begin + std::string("Content-Length: 6\r\n") + blank + "\r\n\r\nbooked");
    }
}

// Guards against control bytes in the value of a field or in the reason, which clients read in different
// ways.
Test(response_field, with_a_control_byte_in_its_value_fails_a_booking)
{
    for (const std::string byte : {"\x01", "\x1f", "\x7f", "\r", "\n"}) {
        check_rejected(begin + std::string("X: a") + byte + "b\r\nContent-Length: 6\r\n\r\nbooked");
        check_rejected("HTTP/1.1 200 O" + byte +
                       "K\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Length: 6\r\n\r\nbooked");
    }
    check_rejected(begin + std::string("X: a") + std::string(1, '\0') +
                   "b\r\nContent-Length: 6\r\n\r\nbooked");
}
