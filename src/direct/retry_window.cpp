#include "dragonflymill/direct/retry_window.h"

#include <algorithm>

namespace dragonflymill::direct {

void retry_window::count_first_attempt(instant now)
{
    ++current(now, window_).first_attempts;
}

auto retry_window::available(instant now, const retry_budget_limits& bounds, int gateways) -> bool
{
    const std::int64_t number = current(now, bounds.window).number;
    double first_attempts = 0;
    double retries = 0;
    for (const slice& part : ring_) {
        if (part.number >= 0 && number - part.number <= static_cast<std::int64_t>(slices)) {
            first_attempts += part.first_attempts;
            retries += part.retries;
        }
    }
    const double allowance = bounds.share * first_attempts + bounds.slack / std::max(gateways, 1);
    return retries + 1 <= safety * allowance;
}

auto retry_window::take(instant now, const retry_budget_limits& bounds, int gateways) -> bool
{
    if (!available(now, bounds, gateways)) {
        return false;
    }
    ++current(now, bounds.window).retries;
    return true;
}

auto retry_window::current(instant now, duration window) -> slice&
{
    if (window != window_) {
        window_ = window;
        ring_ = {};
    }
    const duration length = std::max(window_ / static_cast<int>(slices), duration(1));
    const std::int64_t number = now.time_since_epoch() / length;
    slice& found = ring_[static_cast<std::size_t>(number) % ring_.size()];
    if (found.number != number) {
        found = slice{number, 0, 0};
    }
    return found;
}

} // namespace dragonflymill::direct
