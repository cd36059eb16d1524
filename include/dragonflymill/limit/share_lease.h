#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <map>

namespace dragonflymill {

/// A gateway asks the home of an account for a part of the account's limits.
struct share_request
{
    client_account_id account; ///< Whose limits.
    process_id gateway;        ///< Who asks.
    double demand = 0;         ///< What its callers ask for, as a multiple of the limit.
    double held = 0;           ///< Part that it holds by a lease that has not run out.

    friend auto operator==(const share_request&, const share_request&) -> bool = default;
};

/// The home's answer: a lease of a part of the limits.
struct share_grant
{
    client_account_id account; ///< Whose limits.
    process_id home;           ///< Who granted it.
    bool is_home = true;       ///< False if the one asked does not see itself as the home.
    double part = 0;           ///< Part of each limit, from 0 to 1.
    duration lease{0};         ///< How long it holds, from when it was asked for.

    friend auto operator==(const share_grant&, const share_grant&) -> bool = default;
};

/// How much a home may grant just now.
struct share_rules
{
    duration lease = 6s;   ///< How long a grant holds.
    double whole = 1;      ///< What may be granted in all: less than 1 in the smaller part of a partition.
    double equal_part = 1; ///< One gateway's part if all were equal.
    bool only_held_parts = false; ///< The home has moved: leases of the one before are still out.
};

/// The leases that this gateway, as their home, has granted on accounts' limits.
///
/// Bounds: `max_accounts` accounts, the one asked about longest ago goes; at most `max_holders` gateways
/// each, more are granted nothing.
class share_home
{
public:
    /// Most accounts.
    static constexpr std::size_t max_accounts = 4'096;
    /// Most gateways that hold shares of one account.
    static constexpr std::size_t max_holders = 1'024;

    /// Grants a part by demand; what is out on leases and the grant are never more than `rules.whole`.
    [[nodiscard]] auto grant(instant now, const share_request& request, const share_rules& rules)
        -> share_grant;

private:
    struct holder
    {
        double part = 0;
        double demand = 0;
        instant until{};
    };
    struct account_state
    {
        std::map<process_id, holder> holders;
        instant asked{};
    };

    [[nodiscard]] auto state_of(instant now, const client_account_id& account) -> account_state&;

    std::map<client_account_id, account_state> accounts_;
};

} // namespace dragonflymill
