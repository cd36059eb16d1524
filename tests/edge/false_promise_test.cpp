#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Answers with a status by which callers know that a request wasn't run, but without the field that says so.
auto plain_failure(unsigned status, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) +
           " F\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace

// Guards against bookings that are made twice: an upstream runs one and answers 503, which a caller reads as
// "not run", so that it books again.
Test(false_promise, of_an_upstream_that_ran_a_booking_is_not_forwarded)
{
    for (const unsigned status : {408U, 429U, 503U}) {
        for (const std::string& body : {std::string("later"), std::string(3'000'000, 'x')}) {
            gateway_fixture fixture;
            const std::string response = plain_failure(status, body);
            auto& upstream = fixture.add_upstream("bookings", [&](taken_connection& connection) {
                boost::asio::async_write(connection.socket, boost::asio::buffer(response),
                                         [kept = connection.shared_from_this()](const auto&, std::size_t) {});
            });
            fixture.start();
            fixture.send("POST", "/book/1");
            fixture.run_until_received("\r\n\r\n");
            cr_assert(fixture.received.starts_with("HTTP/1.1 502 "), "%u: %s", status,
                      fixture.received.substr(0, 200).c_str());
            cr_assert(upstream.requests.size() == 1);
        }
    }
}

// Guards against callers of lookups and streams that are told "not run" of what upstreams have run.
Test(false_promise, is_followed_by_another_attempt_where_the_call_may_be_repeated)
{
    for (const bool is_stream : {false, true}) {
        gateway_fixture fixture;
        int attempts = 0;
        const auto answer = [&](taken_connection& connection) {
            connection.send(++attempts == 1 ? plain_failure(503, "later")
                            : is_stream     ? complete_stream("found")
                                            : complete_response("found"));
        };
        fixture.add_upstream(is_stream ? "engines" : "bookings", answer);
        fixture.add_upstream(is_stream ? "engines" : "bookings", answer);
        fixture.start();
        fixture.send(is_stream ? "POST" : "GET", is_stream ? "/chat/1" : "/find/1", "Tokens: 100,10\r\n",
                     "hello");
        fixture.run_until_received("found");
        cr_assert(attempts == 2);
    }
}

// Guards against a failure of an upstream that is hidden from callers though it promises nothing.
Test(false_promise, other_failures_are_forwarded)
{
    gateway_fixture fixture;
    fixture.add_upstream("bookings",
                         [](taken_connection& connection) { connection.send(plain_failure(500, "no")); });
    fixture.start();
    fixture.send("POST", "/book/1");
    fixture.run_until_received("no");
    cr_assert(fixture.received.starts_with("HTTP/1.1 500 "));
}

// Guards against a booking that is made twice because a response of unknown origin says that its call was
// misdirected.
Test(false_promise, that_a_call_was_misdirected_has_to_name_it)
{
    for (const std::string id : {"", "Request-Id: r1\r\n"}) {
        gateway_fixture fixture;
        int attempts = 0;
        const auto answer = [&](taken_connection& connection) {
            connection.send(++attempts == 1 ? "HTTP/1.1 421 M\r\n" + id + "Content-Length: 0\r\n\r\n"
                                            : complete_response("booked"));
        };
        fixture.add_upstream("bookings", answer);
        fixture.add_upstream("bookings", answer);
        fixture.start();
        fixture.send("POST", "/book/1");
        fixture.run_until_received("\r\n\r\n");
        const bool is_named = !id.empty();
        cr_assert(fixture.received.starts_with(is_named ? "HTTP/1.1 200 " : "HTTP/1.1 502 "), "%s",
                  fixture.received.c_str());
        cr_assert(attempts == (is_named ? 2 : 1));
    }
}
