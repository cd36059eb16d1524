#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <map>

namespace dragonflymill {

/// Request of a gateway to an account's home for a part of the account's limits.
struct share_request
{
    client_account_id account;
    process_id gateway; ///< Gateway that requests the share.
    double demand = 0;  ///< Demand of its callers, as a multiple of the limit.
    double held = 0;    ///< Part that it holds by an unexpired lease.

    friend auto operator==(const share_request&, const share_request&) -> bool = default;
};

/// Answer of the home: a lease of a part of the limits.
struct share_grant
{
    client_account_id account;
    process_id home;     ///< Gateway that granted it.
    bool is_home = true; ///< False if the gateway that was asked does not consider itself the home.
    double part = 0;     ///< Part of each limit, from 0 to 1.
    duration lease{0};   ///< Validity, from when the share was requested.

    friend auto operator==(const share_grant&, const share_grant&) -> bool = default;
};

/// Limits on what a home may grant at the moment.
struct share_rules
{
    duration lease = 6s;   ///< Validity of a grant.
    double total = 1;      ///< Total that may be granted; less than 1 in the minority part of a partition.
    double equal_part = 1; ///< One gateway's part if all had the same.
    bool renewals_only = false; ///< The home has moved: leases of the previous home are still valid.
};

/// The leases on account limits that this gateway, as their home, has granted.
///
/// Bounds: `max_accounts` accounts, of which the one requested least recently is dropped; at most
/// `max_holders` gateways each, and further ones are granted nothing.
class share_home
{
public:
    /// Maximum accounts.
    static constexpr std::size_t max_accounts = 4'096;
    /// Maximum gateways that hold shares of one account.
    static constexpr std::size_t max_holders = 1'024;

    /// Grants a part in proportion to demand; the parts leased, this grant included, never exceed the total
    /// in `rules`.
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
        instant requested_at{};
    };

    [[nodiscard]] auto state_of(instant now, const client_account_id& account) -> account_state&;

    std::map<client_account_id, account_state> accounts_;
};

} // namespace dragonflymill
