#include "dragonflymill/overload/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace dragonflymill {

namespace {

/// Accounts with less recent cost than this, in microseconds of engine time, don't count as active.
constexpr double min_active_cost = 1'000.0;

} // namespace

void fair_shares::set_weight(const client_account_id& account, double weight)
{
    entry_for(instant{}, account).weight = std::max(weight, 1e-6);
}

void fair_shares::add_cost(instant now, const client_account_id& account, duration cost)
{
    auto& use = entry_for(now, account);
    use.cost = decayed(now, use) + static_cast<double>(cost.count());
    use.at = now;
}

auto fair_shares::over_share(instant now, const client_account_id& account) const -> bool
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return false;
    }
    double all = 0.0;
    double weights = 0.0;
    std::size_t active = 0;
    for (const auto& [id, use] : accounts_) {
        const double cost = decayed(now, use);
        if (cost >= min_active_cost) {
            all += cost;
            weights += use.weight;
            ++active;
        }
    }
    const double share = weights > 0.0 ? all * found->second.weight / weights : 0.0;
    return active > 1 && decayed(now, found->second) > settings_.slack * share;
}

auto fair_shares::decayed(instant now, const account_use& use) const -> double
{
    const double half_lives =
        static_cast<double>((now - use.at).count()) / static_cast<double>(settings_.half_life.count());
    return use.cost * std::exp2(-std::max(0.0, half_lives));
}

auto fair_shares::entry_for(instant now, const client_account_id& account) -> account_use&
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        return found->second;
    }
    if (accounts_.size() >= settings_.max_accounts) {
        const auto less = [this, now](const auto& a, const auto& b) {
            return decayed(now, a.second) < decayed(now, b.second);
        };
        accounts_.erase(std::min_element(accounts_.begin(), accounts_.end(), less));
    }
    return accounts_[account];
}

} // namespace dragonflymill
