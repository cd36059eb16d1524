#include "gateway_fixture.h"

#include <filesystem>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr std::size_t kibibyte = 1024;

auto request_of(const std::string& fields, const std::string& body) -> std::string
{
    return "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nAuthorization: Bearer key1\r\n" +
           fields + "\r\n" + body;
}

auto own_descriptors() -> std::ptrdiff_t
{
    return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
}

} // namespace

// Guards against a body that is waited for byte by byte after the request's own deadline.
Test(caller_limits, body_must_arrive_before_the_deadline)
{
    gateway_fixture fixture;
    auto& upstream = fixture.add_upstream("bookings", [](taken_connection&) {});
    fixture.start();
    fixture.send_raw(request_of("Time-Left: 60\r\nContent-Length: 100\r\n", "x"));
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.received.starts_with("HTTP/1.1 408 "), "%s", fixture.received.c_str());
    cr_assert(upstream.requests.empty());
}

// Guards against a refusal for lack of memory that doesn't say that the request hasn't run, or that its
// caller never receives.
Test(caller_limits, stalled_request_is_refused_truthfully)
{
    gateway_fixture fixture;
    fixture.settings.capacity.memory_bytes = 700 * kibibyte;
    auto& upstream = fixture.add_upstream(
        "bookings", [](taken_connection& call) { call.send(complete_response("done")); });
    fixture.start();
    const std::string body(300 * kibibyte, 'x');
    fixture.send_raw(
        request_of("Content-Length: " + std::to_string(body.size() + 1) + "\r\nTime-Left: 9000\r\n", body));
    fixture.run_until([&] { return fixture.gateway->budget()->held() > body.size(); });
    fixture.connect_another_caller();
    fixture.send_raw(
        request_of("Content-Length: " + std::to_string(body.size()) + "\r\nTime-Left: 9000\r\n", body));
    // What either caller receives.
    fixture.run_until_received("done");
    fixture.run_until_received("HTTP/1.1 503 ");
    fixture.run_until_received("\"ran\":\"no\"");
    cr_assert(fixture.received.find("Retry-After: ") != std::string::npos, "%s", fixture.received.c_str());
    cr_assert(upstream.requests.size() == 1);
    cr_assert(fixture.gateway->budget()->counts().evicted_for_memory == 1);
}

// Guards against a response that is cut off because its caller has sent more ahead than is kept.
Test(caller_limits, response_is_whole_though_input_sent_ahead_was_discarded)
{
    gateway_fixture fixture;
    const std::string answer(900 * kibibyte, 'y');
    fixture.add_upstream("bookings", [&](taken_connection& call) { call.send(complete_response(answer)); });
    fixture.start();
    fixture.send_raw(request_of("Content-Length: 1\r\n", "x") +
                     "POST /book/2 HTTP/1.1\r\nA: " + std::string(40 * kibibyte, 'z'));
    fixture.run_until([&] { return fixture.caller_ended; });
    cr_assert(fixture.received.starts_with("HTTP/1.1 200 ") &&
                  fixture.received.ends_with("\r\n\r\n" + answer),
              "%zu bytes", fixture.received.size());
}

// Guards against descriptors of evicted connections that stay open while new ones take their places.
Test(caller_limits, evicted_connection_releases_its_descriptor)
{
    constexpr int callers = 40;
    gateway_fixture fixture;
    fixture.settings.capacity.connections = 2;
    fixture.start();
    const std::ptrdiff_t at_rest = own_descriptors();
    std::vector<boost::asio::ip::tcp::socket> incomplete;
    for (int count = 0; count < callers; ++count) {
        auto& socket = incomplete.emplace_back(fixture.loop);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.gateway->caller_port()});
        boost::asio::write(socket, boost::asio::buffer(request_of("Content-Length: 9\r\n", "x")));
        const auto taken = [&] { return fixture.gateway->budget()->held() > 2 * 4 * kibibyte; };
        fixture.run_until(taken);
        fixture.loop.run_for(std::chrono::milliseconds(2));
    }
    const auto evicted = fixture.gateway->budget()->counts().evicted_for_connections;
    cr_assert(evicted >= callers - 2, "%d evicted", static_cast<int>(evicted));
    // The test holds the other end of each connection.
    cr_assert(own_descriptors() - at_rest <= callers + 4, "%td descriptors", own_descriptors() - at_rest);
}
