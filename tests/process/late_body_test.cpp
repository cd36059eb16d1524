#include "process/process_fleet.h"
#include "settings/socket_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::test;
using boost::asio::ip::tcp;

namespace {

auto accepts_connections(const std::string& address) -> bool
{
    boost::asio::io_context io;
    tcp::socket probe(io);
    boost::system::error_code refused;
    probe.connect(parse_tcp_endpoint(address).value(), refused);
    return !refused;
}

} // namespace

// Guards against a booking that is passed on though its body arrives after the gateway's last request, and is
// cut without an answer when the process ends.
Test(late_body, is_refused_by_a_gateway_that_stops)
{
    process_fleet fleet;
    fleet.wait_until_keys_run();
    fleet.fault("booking-1", R"({"latency_ms":15000})");
    const std::string key = process_fleet::new_key(1);
    const auto booking = fleet.booking("gateway-1", key);
    std::string head = booking.method + " " + booking.target + " HTTP/1.1\r\nHost: a\r\n";
    for (const auto& [name, value] : booking.headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    head += "Content-Length: " + std::to_string(booking.body.size()) + "\r\n\r\n";
    boost::asio::io_context io;
    tcp::socket caller(io);
    caller.connect(parse_tcp_endpoint(fleet.gateway("gateway-1")).value());
    boost::asio::write(caller, boost::asio::buffer(head + booking.body.substr(0, 1)));

    fleet.process("gateway-1").signal(SIGTERM);
    cr_assert(comes_true([&] { return !accepts_connections(fleet.gateway("gateway-1")); }));
    boost::asio::write(caller, boost::asio::buffer(booking.body.substr(1)));
    std::string received;
    boost::system::error_code ended;
    boost::asio::read(caller, boost::asio::dynamic_buffer(received), ended);

    cr_expect(received.starts_with("HTTP/1.1 503 "), "received: %s", received.c_str());
    cr_expect(received.find(R"("ran":"no")") != std::string::npos, "%s", received.c_str());
    cr_expect(fleet.waiting("booking-1") == 0 && fleet.executions(key) == 0, "the booking was passed on");
    cr_assert(fleet.process("gateway-1").wait(generous) == 0);
}
