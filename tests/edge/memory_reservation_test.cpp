#include "edge/memory_reservation.h"

#include "support/early_responder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::edge;
using test_support::early_responder;
using test_support::early_response;
using ending = early_response::ending;

namespace {

/// A loopback address without a listener.
auto closed_address(boost::asio::io_context& loop) -> std::string
{
    using boost::asio::ip::tcp;
    const tcp::acceptor reserved(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(reserved.local_endpoint().port());
}

/// Reserves memory at an engine that answers the order with `response`; returns whether it was reserved.
auto is_reserved(const early_response& response) -> bool
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    early_responder engine(loop, response);
    upstream_orders orders;
    orders.reserve = [](const reserve_order&) { return std::string("POST / HTTP/1.1\r\n\r\n"); };
    orders.release = [](const release_order&) { return std::string("POST / HTTP/1.1\r\n\r\n"); };
    std::optional<memory_reservation::outcome> reported;
    const auto memory = std::make_shared<memory_reservation>(
        loop, timers, orders, "r1", std::vector<memory_reservation::piece>{{engine.address(), 1000}},
        [](const std::string&, const http::response_head&, instant) {});
    memory->start([&](const memory_reservation::outcome& outcome) { reported = outcome; });
    while (!reported) {
        loop.run_one();
    }
    return reported->succeeded;
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

// Guards against memory that is taken for reserved though the engine's answer is none, is cut off or has no
// end.
Test(memory_reservation, is_not_made_by_a_broken_answer)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string filler(65'536, 'x');
    cr_assert(is_reserved({{ok + "Content-Length: 2\r\n\r\nok"}, ending::stay_open, 1, 0, false}));
    cr_assert(is_reserved({{ok + "\r\nok"}, ending::half_close, 1, 0, false}));
    const std::vector<early_response> broken = {
        {{"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"}, ending::stay_open, 1, 0, false},
        {{"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"}, ending::stay_open, 1, 0, false},
        {{ok + "X: y\r\n Content-Length: 0\r\n\r\n"}, ending::stay_open, 1, 0, false},
        {{ok + "Content Length: 0\r\n\r\n"}, ending::stay_open, 1, 0, false},
        {{ok + "\r\nok"}, ending::reset, 1, 0, false},
        {{ok + "X: ", filler}, ending::repeat, 1, 0, false},
        {{ok + "\r\n", filler}, ending::repeat, 1, 0, false},
    };
    for (const early_response& response : broken) {
        cr_assert(!is_reserved(response), "%s", response.parts.front().c_str());
    }
}
