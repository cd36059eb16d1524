#include "edge/loop_timers.h"

#include "dragonflymill/core/assert.h"
#include "runtime/clock.h"

#include <utility>

namespace dragonflymill::edge {

loop_timers::loop_timers(boost::asio::io_context& loop)
    : timer_(loop)
    , service_(capacity)
{
}

auto loop_timers::at(instant at, std::function<void()> action) -> timer_id
{
    auto subscribed = service_.subscribe(at, std::move(action));
    DRAGONFLYMILL_ASSERT(subscribed.has_value(), "pending timers are bounded by the number of connections");
    arm();
    return subscribed.value();
}

void loop_timers::cancel(timer_id id)
{
    service_.cancel(id);
}

void loop_timers::arm()
{
    const auto next = service_.next();
    // A timer whose callback was cancelled fires early, finds nothing due and is armed again. That is cheaper
    // than moving it at every cancellation.
    if (!next || *next >= armed_for_) {
        return;
    }
    armed_for_ = *next;
    timer_.expires_at(std::chrono::steady_clock::time_point(armed_for_.time_since_epoch()));
    timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed) {
            run_expired();
        }
    });
}

void loop_timers::run_expired()
{
    armed_for_ = instant::max();
    for (auto& expired : service_.advance(runtime::now())) {
        expired.key();
    }
    arm();
}

} // namespace dragonflymill::edge
