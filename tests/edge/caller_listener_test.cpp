#include "edge/caller_listener.h"
#include "runtime/clock.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::edge;
using tcp = boost::asio::ip::tcp;

namespace {

/// A gate of a process whose event loop is far behind.
auto overloaded_gate() -> connection_gate
{
    connection_gate gate;
    const instant now = runtime::now();
    gate.record_lag(10s, now - 1s);
    gate.record_lag(10s, now);
    return gate;
}

/// Callers that connect to a listener and notice when their connection is closed.
class connecting_callers
{
public:
    connecting_callers(boost::asio::io_context& loop, std::uint16_t port)
        : loop_(loop)
        , port_(port)
    {
    }

    void connect(int count)
    {
        for (int caller = 0; caller < count; ++caller) {
            const auto socket = std::make_shared<tcp::socket>(loop_);
            sockets_.push_back(socket);
            socket->connect({boost::asio::ip::make_address("127.0.0.1"), port_});
            socket->async_read_some(
                boost::asio::buffer(buffer_),
                [this, socket](const auto& failed, std::size_t /*bytes*/) { closed += failed ? 1 : 0; });
        }
    }

    int closed = 0;

private:
    boost::asio::io_context& loop_;
    std::uint16_t port_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::array<char, 16> buffer_{};
};

void run_until(boost::asio::io_context& loop, const std::function<bool()>& done)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done()) {
        cr_assert(std::chrono::steady_clock::now() < end, "timed out");
        loop.run_one_for(std::chrono::milliseconds(20));
    }
}

} // namespace

// Guards against callers that wait in the backlog of a gateway which can't serve them: the excess is closed
// unread, and those that come once the gateway keeps up are accepted.
Test(caller_listener, closes_the_excess_and_accepts_again)
{
    boost::asio::io_context loop{1};
    loop_timers timers(loop);
    gateway_metrics metrics;
    std::vector<tcp::socket> accepted;
    caller_listener listener(
        loop, timers, metrics, [&](tcp::socket socket) { accepted.push_back(std::move(socket)); },
        overloaded_gate());
    cr_assert(listener.open({"127.0.0.1", 0}).has_value());
    connecting_callers callers(loop, listener.port());
    constexpr int count = 40;
    callers.connect(count);
    listener.start();
    run_until(loop, [&] { return callers.closed + static_cast<int>(accepted.size()) == count; });
    cr_assert(callers.closed > 0 &&
              metrics.turned_away.value() == static_cast<std::uint64_t>(callers.closed));
    const std::size_t before = accepted.size();
    // The loop has no work, so that the limit rises and ends.
    while (accepted.size() < before + 5) {
        const std::size_t handled = accepted.size() + static_cast<std::size_t>(callers.closed);
        callers.connect(1);
        run_until(loop, [&] { return accepted.size() + static_cast<std::size_t>(callers.closed) > handled; });
    }
}
