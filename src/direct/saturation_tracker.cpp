#include "dragonflymill/direct/saturation_tracker.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// Typical time until a short answer ends and frees a slot.
constexpr duration min_retry_after = 400ms;
/// Width of the jitter, relative to the time until the retry.
constexpr double jitter = 0.4;

} // namespace

void saturation_tracker::record_no_capacity(instant now)
{
    if (now - last_ > max_gap) {
        since_ = now;
    }
    last_ = now;
}

auto saturation_tracker::saturated_for(instant now) const -> duration
{
    return now - last_ > max_gap ? duration::zero() : now - since_;
}

auto retry_after_for(duration saturated, duration time_left, std::uint64_t random) -> duration
{
    constexpr std::uint64_t steps = 1000;
    const double fraction = static_cast<double>(random % steps) / static_cast<double>(steps);
    const duration wanted = scaled(std::max(saturated, min_retry_after), 1.0 + jitter * (fraction - 0.5));
    return std::min(wanted, scaled(std::max(time_left, duration::zero()), max_retry_share_of_time_left));
}

} // namespace dragonflymill::direct
