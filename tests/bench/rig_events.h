#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <queue>
#include <tuple>
#include <vector>

namespace dragonflymill::rig {

/// Kind of an event on the virtual clock.
enum class event_kind
{
    arrival, ///< A request arrives.
    step,    ///< An engine ends a step.
    tick,    ///< The gateway's periodic tick.
};

/// A scheduled event.
struct event
{
    instant at;                         ///< Virtual time of the event.
    std::uint64_t number = 0;           ///< Order among events of the same time.
    event_kind kind = event_kind::tick; ///< Kind of the event.
    std::uint32_t index = 0;            ///< Index of the request or engine.
};

/// Pending events in order of time; events of the same time keep the order in which they were pushed.
class event_queue
{
public:
    /// Schedules an event.
    void push(instant at, event_kind kind, std::uint32_t index)
    {
        events_.push({at, number_++, kind, index});
    }
    /// Removes and returns the next event.
    auto pop() -> event
    {
        const event next = events_.top();
        events_.pop();
        return next;
    }
    /// Whether no event is pending.
    [[nodiscard]] auto empty() const -> bool { return events_.empty(); }

private:
    struct later
    {
        auto operator()(const event& a, const event& b) const -> bool
        {
            return std::tie(a.at, a.number) > std::tie(b.at, b.number);
        }
    };

    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t number_ = 0;
};

} // namespace dragonflymill::rig
