#include "edge/memory_reservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// A loopback address without a listener.
auto closed_address(boost::asio::io_context& loop) -> std::string
{
    using boost::asio::ip::tcp;
    const tcp::acceptor reserved(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(reserved.local_endpoint().port());
}

} // namespace

// Guards against planning prefill on an unreachable engine again and again: a failed reservation didn't
// report which engine couldn't be reached.
Test(memory_reservation, reports_unreachable_engines)
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    upstream_orders orders;
    orders.reserve = [](const reserve_order&) { return std::string("POST / HTTP/1.1\r\n\r\n"); };
    orders.release = [](const release_order&) { return std::string("POST / HTTP/1.1\r\n\r\n"); };
    const std::string unreachable = closed_address(loop);
    std::optional<memory_reservation::outcome> reported;
    const auto memory = std::make_shared<memory_reservation>(
        loop, timers, orders, "r1", std::vector<memory_reservation::piece>{{unreachable, 1000}},
        [](const std::string&, const http::response_head&, instant) {});
    memory->start([&](const memory_reservation::outcome& outcome) { reported = outcome; });
    loop.run();
    const memory_reservation::outcome expected{false, {unreachable}};
    cr_assert(reported == expected);
}
