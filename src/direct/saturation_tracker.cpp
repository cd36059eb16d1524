#include "dragonflymill/direct/saturation_tracker.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// About the time in which a short answer ends and frees a place.
constexpr duration least_return = 400ms;
/// Callers come back within a third of the time that they have left.
constexpr double most_of_time_left = 0.3;
/// Returns are spread over this part of their time.
constexpr double spread = 0.4;

} // namespace

void saturation_tracker::no_room(instant now)
{
    if (now - last_ > longest_gap) {
        since_ = now;
    }
    last_ = now;
}

auto saturation_tracker::lasting(instant now) const -> duration
{
    return now - last_ > longest_gap ? duration::zero() : now - since_;
}

auto return_time(duration saturated, duration time_left, std::uint64_t draw) -> duration
{
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(draw % steps) / static_cast<double>(steps);
    const duration wanted = scaled(std::max(saturated, least_return), 1.0 + spread * (part - 0.5));
    return std::min(wanted, scaled(std::max(time_left, duration::zero()), most_of_time_left));
}

} // namespace dragonflymill::direct
