#pragma once

#include "dragonflymill/core/time.h"

#include <algorithm>

namespace dragonflymill::direct {

/// Spaces the reads of changes from the record source. A read ends with the first change, so without a pause
/// a reader makes one read for each change, and the changes grow with the fleet: hundreds of upstreams that
/// register one after the other. A change that comes after a quiet time isn't delayed.
class read_pacer
{
public:
    /// Records that a read begins.
    void begin(instant now) { begun_at_ = now; }
    /// Returns when the next read may begin.
    [[nodiscard]] auto next_at(instant now) const -> instant
    {
        return std::max(now, begun_at_ + min_interval);
    }

    /// Minimum time between the beginnings of two reads; the longest delay of a change by it.
    static constexpr duration min_interval = 100ms;

private:
    instant begun_at_{};
};

} // namespace dragonflymill::direct
