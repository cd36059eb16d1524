#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstddef>
#include <map>

namespace dragonflymill {

/// Settings of `fair_shares`.
struct fair_share_settings
{
    std::size_t max_accounts = 2'048; ///< Accounts tracked; the least active is dropped, with its weight.
    duration half_life{10'000'000};   ///< Half-life of requested cost.
    double slack = 1.2;               ///< An account above this multiple of its share counts as over it.

    friend auto operator==(const fair_share_settings&, const fair_share_settings&) -> bool = default;
};

/// Compares the recent cost that each client account requested with its weighted share of the total over all
/// active accounts.
///
/// It counts requested cost, not admitted cost. Under load shedding an account that requests far too much is
/// admitted no more than its share; by admitted cost it would look like the small accounts, and they would be
/// refused as often.
class fair_shares
{
public:
    /// Creates an empty table.
    explicit fair_shares(fair_share_settings settings = {})
        : settings_(settings)
    {
    }

    /// Sets an account's weight; the default is 1.
    void set_weight(const client_account_id& account, double weight);
    /// Adds the cost of a request to its account.
    void add_cost(instant now, const client_account_id& account, duration cost);
    /// Returns whether an account requested more than its share; false while it is the only active one.
    [[nodiscard]] auto over_share(instant now, const client_account_id& account) const -> bool;
    /// Returns the number of accounts tracked.
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
