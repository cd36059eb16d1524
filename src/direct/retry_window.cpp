#include "dragonflymill/direct/retry_window.h"

#include <algorithm>
#include <cmath>

namespace dragonflymill::direct {

void retry_window::count_first_attempt(instant now)
{
    ++current(now, window_).first_attempts;
}

auto retry_window::available(instant now, const retry_budget_limits& bounds, int gateways, int rank) -> bool
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
    const double allowance = safety * bounds.share * first_attempts +
                             slack_part(number, safety * bounds.slack, std::max(gateways, 1), rank);
    return retries + 1 <= allowance;
}

auto retry_window::slack_part(std::int64_t slice_number, double slack, int gateways, int rank) -> double
{
    const double equal = slack / gateways;
    if (equal >= 1.0 || slack <= 0.0) {
        return equal;
    }
    const auto turns = static_cast<std::int64_t>(std::ceil(1.0 / (turn_share * equal)));
    const std::int64_t turn = slice_number / static_cast<std::int64_t>(slices);
    return (turn + rank) % turns == 0 ? 1.0 : 0.0;
}

auto retry_window::take(instant now, const retry_budget_limits& bounds, int gateways, int rank) -> bool
{
    if (!available(now, bounds, gateways, rank)) {
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
