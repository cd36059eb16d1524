#include "dragonflymill/direct/first_token_times.h"

namespace dragonflymill::direct {

void first_token_times::dispatched(placement_id placed, const call_class& of_class, instant now)
{
    open_.emplace(placed, open_call{of_class, now});
}

void first_token_times::first_token(placement_id placed, instant now)
{
    const auto found = open_.find(placed);
    if (found == open_.end()) {
        return;
    }
    const duration took = now - found->second.since;
    const auto [average, is_first] = averages_.try_emplace(found->second.of_class, took);
    if (!is_first) {
        average->second += scaled(took - average->second, newest_weight);
    }
    open_.erase(found);
}

auto first_token_times::expected(const call_class& of_class) const -> duration
{
    const auto found = averages_.find(of_class);
    return found == averages_.end() ? duration::zero() : found->second;
}

} // namespace dragonflymill::direct
