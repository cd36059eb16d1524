#pragma once

#include "dragonflymill/time/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace dragonflymill::edge {

/// Timer service of an event loop. Multiplexes all callbacks onto a single timer of the loop.
class loop_timers
{
public:
    explicit loop_timers(boost::asio::io_context& loop);

    /// Calls `action` at `at`, or later if the loop was busy or the process paused.
    auto at(instant at, std::function<void()> action) -> timer_id;
    /// Cancels a callback; no effect if it has already run.
    void cancel(timer_id id);

private:
    void arm();
    void run_expired();

    /// Maximum number of pending callbacks: about four per connection at the limit of file descriptors.
    static constexpr std::size_t capacity = 65'536;

    boost::asio::steady_timer timer_;
    timer_service<std::function<void()>> service_;
    instant armed_for_ = instant::max();
};

} // namespace dragonflymill::edge
