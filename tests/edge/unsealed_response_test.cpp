#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// Names its request, so that nothing but the seal is missing.
constexpr const char* page = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n"
                             "Content-Length: 20\r\n\r\nid: 1\ndata: a page\n\n";

/// A gateway whose upstreams seal their responses, but for the first one that answers.
struct unsealed_fixture : gateway_fixture
{
    explicit unsealed_fixture(const std::string& service)
    {
        seal_field = "Seal";
        const auto answer = [this](taken_connection& connection) {
            connection.send(++attempts == 1 ? page : complete_stream("sealed"));
        };
        add_upstream(service, answer);
        add_upstream(service, answer);
        start();
    }

    int attempts = 0;
};

} // namespace

// Guards against a page of a server that is no upstream, which a caller takes for the success of its booking.
Test(unsealed_response, of_a_booking_is_a_failure_that_promises_nothing)
{
    unsealed_fixture fixture("bookings");
    fixture.send("POST", "/book/1");
    fixture.run_until_received("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 502 "), "%s", fixture.received.c_str());
    cr_assert(fixture.attempts == 1 && fixture.received.find("page") == std::string::npos);
}

// Guards against such a page as the answer to a call that another upstream could answer.
Test(unsealed_response, is_replaced_where_the_call_may_be_repeated)
{
    for (const bool is_stream : {false, true}) {
        unsealed_fixture fixture(is_stream ? "engines" : "bookings");
        fixture.send(is_stream ? "POST" : "GET", is_stream ? "/chat/1" : "/find/1", "Tokens: 100,10\r\n",
                     "hello");
        fixture.run_until_received("sealed");
        cr_assert(fixture.attempts == 2 && fixture.received.find("page") == std::string::npos);
    }
}
