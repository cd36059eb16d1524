#include "dragonflymill/once/key_home.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/once/call_digest.h"

#include <algorithm>

namespace dragonflymill {

auto home_hash(const route_id& route, const client_account_id& account, std::string_view key) -> std::uint64_t
{
    return digest_of({account.text(), route.text(), key}).high;
}

auto home_of(std::uint64_t key, const std::vector<upstream_id>& configured) -> std::optional<upstream_id>
{
    const upstream_id* best = nullptr;
    std::uint64_t best_score = 0;
    for (const upstream_id& candidate : configured) {
        const std::uint64_t score = rendezvous_score(key, candidate.text());
        const bool tie = best != nullptr && score == best_score;
        if (best == nullptr || score > best_score || (tie && candidate < *best)) {
            best = &candidate;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

key_home::key_home(key_home_options options)
    : options_(std::move(options))
{
}

void key_home::adopt(instant now, const route_id& route, std::vector<upstream_id> configured)
{
    std::sort(configured.begin(), configured.end());
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        // The bundles in force before this process started are unknown: other upstreams may have been the
        // home until now.
        if (routes_.size() < options_.max_routes) {
            routes_[route] = {std::move(configured), {}, now + options_.propagation_time};
        }
        return;
    }
    route_views& views = found->second;
    if (views.configured == configured) {
        return;
    }
    views.earlier.push_back({std::exchange(views.configured, std::move(configured)), now});
    prune(now, views);
}

void key_home::prune(instant now, route_views& views) const
{
    // An upstream set that was replaced before the oldest remembered outcome is no longer relevant.
    const duration kept = options_.propagation_time + options_.remember_for;
    std::erase_if(views.earlier, [&](const view& earlier) { return earlier.ended + kept < now; });
    while (views.earlier.size() > options_.max_views) {
        views.unknown_until =
            std::max(views.unknown_until, views.earlier.front().ended + options_.propagation_time);
        views.earlier.erase(views.earlier.begin());
    }
}

auto key_home::is_home(const route_id& route, std::uint64_t key) const -> bool
{
    const auto found = routes_.find(route);
    return found != routes_.end() && home_of(key, found->second.configured) == options_.self;
}

auto key_home::other_home_until(const route_id& route, std::uint64_t key) const -> std::optional<instant>
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return std::nullopt;
    }
    instant until = found->second.unknown_until;
    for (const view& earlier : found->second.earlier) {
        if (home_of(key, earlier.configured) != options_.self) {
            until = std::max(until, earlier.ended + options_.propagation_time);
        }
    }
    return until;
}

} // namespace dragonflymill
