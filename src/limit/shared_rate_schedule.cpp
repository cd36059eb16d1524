#include "dragonflymill/limit/shared_rate_schedule.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr double us_per_s = 1e6;

auto interval_of(double calls_per_s) -> duration
{
    return duration(static_cast<duration::rep>(us_per_s / calls_per_s));
}

} // namespace

shared_rate_schedule::shared_rate_schedule(double calls_per_s, const gateway_reach& reach, instant now)
    : calls_per_s_(calls_per_s)
    , next_at_(now + interval_of(rate(reach)))
{
}

void shared_rate_schedule::set_rate(double calls_per_s, const gateway_reach& reach, instant now)
{
    const double before = rate(reach);
    calls_per_s_ = calls_per_s;
    if (next_at_ > now) {
        next_at_ = now + scaled(next_at_ - now, before / rate(reach));
    }
}

void shared_rate_schedule::advance(std::uint64_t calls, const gateway_reach& reach, instant now)
{
    const duration interval = interval_of(rate(reach));
    const auto counted = static_cast<duration::rep>(std::min(calls, max_debt_calls));
    calls_ += calls;
    next_at_ = std::max(next_at_, now - max_credit) + interval * counted;
    next_at_ = std::min(next_at_, now + interval * static_cast<duration::rep>(max_debt_calls));
}

auto shared_rate_schedule::available_at(const gateway_reach& reach, std::uint64_t seed) const -> instant
{
    if (reach.known <= 1) {
        return next_at_;
    }
    // The larger the limit, the fewer of its calls are the ones that gateways send unaware of each other.
    const double simultaneous = std::max(1.0, simultaneous_share * rate(reach));
    const duration window = std::max(
        scaled(std::max(window_per_gateway * reach.known, min_window), 1.0 / simultaneous), duration(1));
    // A new draw for each call: no gateway is the first one every time.
    const std::uint64_t draw = mix_bits(seed ^ mix_bits(calls_));
    return next_at_ + duration(static_cast<duration::rep>(draw % static_cast<std::uint64_t>(window.count())));
}

auto shared_rate_schedule::rate(const gateway_reach& reach) const -> double
{
    const double part = static_cast<double>(reach.reachable) / std::max({reach.known, reach.reachable, 1});
    return std::max(calls_per_s_ * part, min_calls_per_s);
}

} // namespace dragonflymill
