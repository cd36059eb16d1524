#include "dragonflymill/direct/cold_start_limiter.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

constexpr double us_per_s = 1e6;
constexpr double slowest_rate = 0.1; // calls a second; a stated rate of 0 would mean never

} // namespace

auto cold_start_limiter::take(instant now, double calls_per_s, int gateways) -> bool
{
    if (!available(now, calls_per_s, gateways)) {
        return false;
    }
    last_ = now;
    any_ = true;
    return true;
}

auto cold_start_limiter::available(instant now, double calls_per_s, int gateways) const -> bool
{
    return !any_ || now - last_ >= next_at(calls_per_s, gateways);
}

auto cold_start_limiter::next_at(double calls_per_s, int gateways) const -> duration
{
    const double own_rate = std::max(calls_per_s / std::max(gateways, 1), slowest_rate);
    return duration(static_cast<duration::rep>(us_per_s / own_rate));
}

} // namespace dragonflymill::direct
