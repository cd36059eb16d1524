#include "dragonflymill/overload/connection_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflymill {

namespace {

auto seconds(duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void connection_gate::count_arrival(instant now)
{
    const double window = seconds(rate_window);
    arrivals_per_s_ *= std::exp(-seconds(now - counted_at_) / window);
    arrivals_per_s_ += 1.0 / window;
    counted_at_ = now;
}

void connection_gate::record_lag(duration lag, instant now)
{
    if (lag < max_lag) {
        behind_since_.reset();
    }
    else if (!behind_since_) {
        // The event that was late has waited since then.
        behind_since_ = now;
    }
    const bool is_behind = behind_since_ && now - *behind_since_ >= min_overload;
    if (now - adjusted_at_ >= adjust_interval && (is_behind || limit_)) {
        adjusted_at_ = now;
        adjust(is_behind, now);
    }
}

void connection_gate::adjust(bool is_behind, instant now)
{
    if (is_behind) {
        limit_ = std::max(limit_.value_or(arrivals_per_s_) * decrease, min_limit);
        below_since_.reset();
        return;
    }
    *limit_ *= increase;
    const double arrivals = arrivals_per_s_ * std::exp(-seconds(now - counted_at_) / seconds(rate_window));
    if (arrivals > *limit_ * release_share) {
        below_since_.reset();
    }
    else if (!below_since_) {
        below_since_ = now;
    }
    else if (now - *below_since_ >= release_time) {
        limit_.reset();
        below_since_.reset();
    }
}

auto connection_gate::admit(instant now) -> bool
{
    count_arrival(now);
    const double refill = limit_.value_or(0.0) * seconds(std::min(now - refilled_at_, max_burst));
    const double most = std::max(limit_.value_or(0.0) * seconds(max_burst), 1.0);
    tokens_ = std::min(tokens_ + refill, most);
    refilled_at_ = now;
    if (!limit_) {
        return true;
    }
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace dragonflymill
