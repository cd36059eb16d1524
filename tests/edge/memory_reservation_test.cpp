#include "edge/memory_reservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// An address of this host at which nobody listens.
auto closed_address(boost::asio::io_context& loop) -> std::string
{
    using boost::asio::ip::tcp;
    const tcp::acceptor taken(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
}

} // namespace

// An engine that is gone holds a part of a document's memory in one plan after the other: nobody was told
// that it could not be reached.
Test(memory_reservation, an_engine_that_is_gone_is_named)
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    upstream_orders orders;
    orders.reserve = [](const reserve_order&) { return std::string("POST / HTTP/1.1\r\n\r\n"); };
    orders.release = [](const release_order&) { return std::string("POST / HTTP/1.1\r\n\r\n"); };
    const std::string gone = closed_address(loop);
    std::optional<memory_reservation::outcome> ended;
    const auto memory = std::make_shared<memory_reservation>(
        loop, timers, orders, "r1", std::vector<memory_reservation::piece>{{gone, 1000}});
    memory->start([&](const memory_reservation::outcome& outcome) { ended = outcome; });
    loop.run();
    const memory_reservation::outcome expected{false, {gone}};
    cr_assert(ended == expected);
}
