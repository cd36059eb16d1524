#include "dragonflymill/direct/call_attempts.h"

#include <algorithm>

namespace dragonflymill::direct {

void call_attempts::ended(attempt_end end, const attempted_upstream& attempted, instant now)
{
    tried_.push_back(attempted.upstream);
    arrivals_ += end == attempt_end::not_sent ? 0 : 1;
    run_ += may_have_run(end) ? 1 : 0;
    rejections_ += end == attempt_end::rejected || end == attempt_end::misdirected ? 1 : 0;
    disconnects_ += end == attempt_end::disconnected ? 1 : 0;
    if (direct::is_unreachable(end)) {
        record_unreachable(attempted, now);
    }
}

void call_attempts::record_unreachable(const attempted_upstream& attempted, instant now)
{
    const auto same = [&](const unreachable_upstream& other) { return other.attempted == attempted; };
    std::erase_if(unreachable_, same);
    unreachable_.push_back({attempted, now});
}

auto call_attempts::tried(std::string_view upstream) const -> bool
{
    return std::find(tried_.begin(), tried_.end(), upstream) != tried_.end();
}

auto call_attempts::retry_delay() const -> duration
{
    if (tried_.empty()) {
        return duration::zero();
    }
    const auto at_last = static_cast<std::uint64_t>(std::count(tried_.begin(), tried_.end(), tried_.back()));
    const std::uint64_t repeated = at_last - 1;
    const std::uint64_t delayed =
        std::max(repeated, dispatched_ - std::min(dispatched_, undelayed_attempts - 1));
    if (delayed == 0) {
        return duration::zero();
    }
    constexpr std::uint64_t max_doublings = 5;
    return std::min(first_retry_delay * (1 << std::min(delayed - 1, max_doublings)), max_retry_delay);
}

auto call_attempts::is_unreachable(std::string_view upstream, instant now) const -> bool
{
    return std::any_of(unreachable_.begin(), unreachable_.end(), [&](const unreachable_upstream& other) {
        return other.attempted.upstream == upstream && now < other.seen_at + domain_avoidance;
    });
}

auto call_attempts::avoids(std::string_view failure_domain, instant now) const -> bool
{
    const auto found = std::count_if(unreachable_.begin(), unreachable_.end(), [&](const auto& upstream) {
        return upstream.attempted.failure_domain == failure_domain &&
               now < upstream.seen_at + domain_avoidance;
    });
    return found >= domain_avoidance_threshold;
}

auto call_attempts::avoids_any(instant now) const -> bool
{
    return std::any_of(unreachable_.begin(), unreachable_.end(),
                       [&](const auto& upstream) { return avoids(upstream.attempted.failure_domain, now); });
}

} // namespace dragonflymill::direct
