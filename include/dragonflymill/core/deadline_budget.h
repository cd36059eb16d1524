#pragma once

#include "dragonflymill/core/time.h"

#include <compare>

namespace dragonflymill {

/// Remaining time of a request. Hops forward the remaining duration rather than an absolute deadline, since
/// clocks of different hosts are not comparable.
class deadline_budget
{
public:
    /// Starts the budget for a request received at `now` with `remaining` time left.
    deadline_budget(instant now, duration remaining)
        : end_(now + remaining)
    {
    }

    /// Time left until the deadline; zero after it.
    [[nodiscard]] auto remaining(instant now) const -> duration
    {
        return now >= end_ ? duration::zero() : end_ - now;
    }
    /// Whether the deadline has passed. Must be checked again immediately before a send that is not
    /// idempotent, since the process may have been paused between the decision and the send.
    [[nodiscard]] auto expired(instant now) const -> bool { return now >= end_; }
    /// Deadline on this process's monotonic clock.
    [[nodiscard]] auto end() const -> instant { return end_; }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const deadline_budget&, const deadline_budget&) -> std::strong_ordering = default;

private:
    instant end_;
};

} // namespace dragonflymill
