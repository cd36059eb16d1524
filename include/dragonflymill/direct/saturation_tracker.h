#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>

namespace dragonflymill::direct {

/// Measures how long calls have found no upstream with room.
class saturation_tracker
{
public:
    /// A call found no room.
    void no_room(instant now);
    /// How long there has been no room; zero if calls found room lately.
    [[nodiscard]] auto lasting(instant now) const -> duration;

    /// Room for so long ends a saturation: single calls find room between others that don't.
    static constexpr duration longest_gap = 500ms;

private:
    instant since_{};
    instant last_{};
};

/// When a refused caller is asked to come back: a saturation is taken to last as long again as it has lasted.
/// A caller that returns too early is refused for good, one that returns late is answered late. `draw`
/// spreads the returns, so that callers refused together don't meet again.
[[nodiscard]] auto return_time(duration saturated, duration time_left, std::uint64_t draw) -> duration;

} // namespace dragonflymill::direct
