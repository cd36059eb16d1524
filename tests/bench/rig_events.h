#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <queue>
#include <tuple>
#include <vector>

namespace dragonflymill::rig {

/// What happens at a moment of the virtual clock.
enum class event_kind
{
    arrival, ///< A request comes.
    step,    ///< An engine ends a step.
    tick,    ///< Time passes for the gateway.
};

/// Something that happens at a moment.
struct event
{
    instant at;                         ///< The moment.
    std::uint64_t number = 0;           ///< Order among those of one moment.
    event_kind kind = event_kind::tick; ///< What happens.
    std::uint32_t index = 0;            ///< The request or engine.
};

/// What is still to happen, in order of time; what was pushed first comes first in one moment.
class event_queue
{
public:
    /// Adds what is to happen.
    void push(instant at, event_kind kind, std::uint32_t index)
    {
        events_.push({at, number_++, kind, index});
    }
    /// Takes out what comes next.
    auto pop() -> event
    {
        const event next = events_.top();
        events_.pop();
        return next;
    }
    /// Whether nothing is to come.
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
