#pragma once

#include "dragonflymill/core/time.h"

#include <compare>

namespace dragonflymill {

/// What is left of a request's time limit. Hops pass on the remaining time, never a moment: clocks of two
/// hosts are not compared.
class deadline_budget
{
public:
    /// The limit, as remaining when the request was received at `now`.
    deadline_budget(instant now, duration remaining)
        : end_(now + remaining)
    {
    }

    /// Time left; zero once it has run out, never negative.
    [[nodiscard]] auto remaining(instant now) const -> duration
    {
        return now >= end_ ? duration::zero() : end_ - now;
    }
    /// Whether it has run out. Asked again just before a send that can't be repeated, since a process may
    /// have been paused between its decision and the send.
    [[nodiscard]] auto expired(instant now) const -> bool { return now >= end_; }
    /// When it runs out on this process's clock.
    [[nodiscard]] auto end() const -> instant { return end_; }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const deadline_budget&, const deadline_budget&) -> std::strong_ordering = default;

private:
    instant end_;
};

} // namespace dragonflymill
