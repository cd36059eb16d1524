#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstddef>
#include <map>

namespace dragonflymill {

/// Bounds of the fair shares.
struct fair_share_settings
{
    std::size_t max_accounts =
        2'048; ///< Accounts remembered; the one that asked least is forgotten, with its weight.
    duration half_life{10'000'000}; ///< What was asked counts half after this time.
    double slack = 1.2;             ///< An account over this many times its share counts as over it.

    friend auto operator==(const fair_share_settings&, const fair_share_settings&) -> bool = default;
};

/// What each client account asked for of late, against its weighted share of what all active accounts asked.
///
/// It goes by what was asked, not by what was given. Under refusal an account that asks for far too much is
/// given no more than its share; judged by that it would look like the small ones beside it, and they would
/// be refused as often as it.
class fair_shares
{
public:
    /// Nothing used so far.
    explicit fair_shares(fair_share_settings settings = {})
        : settings_(settings)
    {
    }

    /// Sets an account's weight; 1 if never set.
    void set_weight(const client_account_id& account, double weight);
    /// Notes that an account asked for work of this cost.
    void asked(instant now, const client_account_id& account, duration cost);
    /// Whether an account asked for more than its share; false while it is the only one.
    [[nodiscard]] auto over_share(instant now, const client_account_id& account) const -> bool;
    /// Accounts remembered.
    [[nodiscard]] auto size() const -> std::size_t { return accounts_.size(); }

private:
    struct account_use
    {
        double weight = 1.0;
        double cost = 0.0; // as of `at`
        instant at;
    };

    [[nodiscard]] auto decayed(instant now, const account_use& use) const -> double;
    auto entry_for(instant now, const client_account_id& account) -> account_use&;

    fair_share_settings settings_;
    std::map<client_account_id, account_use> accounts_; // at most max_accounts
};

} // namespace dragonflymill
