#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>

namespace dragonflymill::direct {

/// Measures how long calls have found no upstream with free capacity.
class saturation_tracker
{
public:
    /// Records that a call found no capacity.
    void record_no_capacity(instant now);
    /// Returns the duration of the current saturation; zero if calls found capacity recently.
    [[nodiscard]] auto saturated_for(instant now) const -> duration;

    /// A saturation ends after this time without a call that found no capacity. A shorter gap doesn't end it,
    /// because single calls find capacity between others that don't.
    static constexpr duration max_gap = 500ms;

private:
    instant since_{};
    instant last_{};
};

/// Clients retry within about a third of their remaining time, whatever they are told; the rest is enough for
/// an answer.
inline constexpr double max_retry_share_of_time_left = 0.3;

/// Returns when a refused client should retry. The saturation is expected to last as long again as it has
/// lasted: a client that retries too early is refused for good, one that retries late is answered late.
/// `random` adds jitter, because clients that were refused together must not retry together.
[[nodiscard]] auto retry_after_for(duration saturated, duration time_left, std::uint64_t random) -> duration;

} // namespace dragonflymill::direct
