#include "dragonflymill/direct/cold_start_limiter.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

constexpr double us_per_s = 1e6;
/// Calls per second; a very small configured rate must not exclude an upstream for good.
constexpr double min_rate = 0.1;

} // namespace

auto cold_start_limiter::take(instant now, double calls_per_s, int gateways) -> bool
{
    if (available_at(calls_per_s, gateways) > now) {
        return false;
    }
    last_ = now;
    used_ = true;
    return true;
}

auto cold_start_limiter::available_at(double calls_per_s, int gateways) const -> instant
{
    return used_ ? last_ + interval(calls_per_s, gateways) : instant{};
}

auto cold_start_limiter::interval(double calls_per_s, int gateways) const -> duration
{
    const double own_rate = std::max(calls_per_s / std::max(gateways, 1), min_rate);
    return duration(static_cast<duration::rep>(us_per_s / own_rate));
}

} // namespace dragonflymill::direct
