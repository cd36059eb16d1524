#pragma once

#include "dragonflymill/time/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace dragonflymill::edge {

/// The timer service of an event loop: parts subscribe actions to moments; one timer of the loop serves all.
class loop_timers
{
public:
    /// Runs on this loop.
    explicit loop_timers(boost::asio::io_context& loop);

    /// Calls `action` at `at`; later if the process was paused.
    auto at(instant at, std::function<void()> action) -> timer_id;
    /// Ends a subscription; harmless after it expired.
    void cancel(timer_id id);

private:
    void arm();
    void run_expired();

    /// Subscriptions at once: some four for each of the connections that the descriptors allow.
    static constexpr std::size_t capacity = 65'536;

    boost::asio::steady_timer timer_;
    timer_service<std::function<void()>> service_;
    instant armed_for_ = instant::max();
};

} // namespace dragonflymill::edge
