#include "dragonflymill/direct/cold_start_limiter.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

constexpr double us_per_s = 1e6;

auto time_for(double calls, double calls_per_s) -> duration
{
    return duration(static_cast<duration::rep>(us_per_s * calls / calls_per_s));
}

} // namespace

auto cold_start_limiter::take(instant now, const cold_start_limit& limit, const gateway_reach& reach) -> bool
{
    if (available_at(limit, reach) > now) {
        return false;
    }
    last_ = now;
    used_ = true;
    return true;
}

auto cold_start_limiter::available_at(const cold_start_limit& limit, const gateway_reach& reach) const
    -> instant
{
    const instant first_turn = limit.since + time_for(reach.rank, limit.calls_per_s);
    return used_ ? std::max(first_turn, last_ + time_for(std::max(reach.known, 1), limit.calls_per_s))
                 : first_turn;
}

} // namespace dragonflymill::direct
