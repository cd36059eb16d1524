#include "dragonflymill/limit/share_lease.h"

#include <algorithm>

namespace dragonflymill {

namespace {

// Fraction of the limit that is shared equally among the holders, so that a gateway whose demand has just
// begun can admit requests and show its demand.
constexpr double equal_weight = 0.1;

} // namespace

auto share_home::state_of(instant now, const client_account_id& account) -> account_state&
{
    if (accounts_.size() >= max_accounts && !accounts_.contains(account)) {
        accounts_.erase(
            std::min_element(accounts_.begin(), accounts_.end(), [](const auto& a, const auto& b) {
                return a.second.requested_at < b.second.requested_at;
            }));
    }
    auto& state = accounts_[account];
    state.requested_at = now;
    std::erase_if(state.holders, [now](const auto& entry) { return entry.second.until <= now; });
    return state;
}

auto share_home::grant(instant now, const share_request& request, const share_rules& rules) -> share_grant
{
    auto& state = state_of(now, request.account);
    share_grant granted{request.account, {}, true, 0, rules.lease};
    if (state.holders.size() >= max_holders && !state.holders.contains(request.gateway)) {
        return granted;
    }
    double leased = 0;
    double demand = request.demand;
    std::size_t others = 0;
    for (const auto& [gateway, held] : state.holders) {
        if (gateway != request.gateway) {
            leased += held.part;
            demand += held.demand;
            ++others;
        }
    }
    const auto weight = demand > 0 ? request.demand / demand : 1.0 / static_cast<double>(others + 1);
    const auto target = (1 - equal_weight) * weight + equal_weight / static_cast<double>(others + 1);
    granted.part = std::clamp(target * rules.total, 0.0, std::max(0.0, rules.total - leased));
    if (rules.renewals_only) {
        // Leases of the previous home are still valid, and only it knew their holders. Granting each gateway
        // no more than it holds, or would use without a lease, bounds the sum until these leases have expired
        // or are renewed here.
        granted.part = std::min(granted.part, std::max(request.held, rules.equal_part));
    }
    state.holders[request.gateway] = {granted.part, request.demand, now + rules.lease};
    return granted;
}

} // namespace dragonflymill
