#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/limit/rate_share.h"
#include "dragonflymill/limit/share_lease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// Settings of `account_limiter`.
struct account_limiter_settings
{
    process_id self;                ///< Process id of this gateway.
    duration lease_time = 6s;       ///< Time that a granted share is valid without renewal.
    duration request_interval = 2s; ///< Minimum time between two requests for one share.
    double unleased_part = 0.1;     ///< Fraction of each limit that is not leased; every gateway may use its
                                    ///< equal part of it at any time.
    duration idle_timeout = 60s;    ///< An account without requests for this long is no longer tracked.
    duration burst = 1s;            ///< Size of the token buckets, as time at the share's rate.
    std::size_t max_accounts = 4'096; ///< Accounts tracked; the longest idle is dropped.
};

/// Request to the gateway that owns some accounts for shares of their limits.
struct ask_shares
{
    process_id home;                     ///< Gateway that owns the accounts; may be this gateway itself.
    std::vector<share_request> requests; ///< One request for each account.
    instant asked;                       ///< When, by the requester's clock; not sent.

    friend auto operator==(const ask_shares&, const ask_shares&) -> bool = default;
};

/// Keeps client accounts within their limits over all gateways, without shared state.
///
/// Each account is owned by one of the live gateways, its home, chosen by rendezvous hash. Every gateway that
/// serves the account reports its demand to the home, and the home leases it a part of the limits in
/// proportion to demand. A tenth of the limits is not leased: each gateway has its equal part of that in
/// addition to its lease. A gateway without a lease, because it has just started or can't reach the home,
/// uses an equal part: the limit divided by the number of gateways. A home that sees no more than half of the
/// gateways grants no more than their equal parts.
///
/// Bound: under any partition all gateways together admit at a rate of at most 1.5 times the limit, plus one
/// request for each gateway and minute (docs/design/account-limits.md).
class account_limiter
{
public:
    /// Creates a limiter without accounts.
    account_limiter(account_limiter_settings settings, instant now);

    /// Applies the limits of a new bundle at once; shares are scaled to them.
    void bundle_adopted(instant now, const bundle& value);
    /// Sets the gateways believed alive, this one included. `configured` is their number when all are alive:
    /// a gateway that is cut off must not take the absence of the others for a larger share.
    void gateways_changed(instant now, std::vector<process_id> live, std::size_t configured);

    /// Admits a request of `tokens`, for which `done` must be called at its end; otherwise returns the
    /// refusal with a time to retry after.
    [[nodiscard]] auto admit(instant now, const client_account_id& account, token_count tokens)
        -> std::optional<refusal>;
    /// Ends an admitted request that used `tokens` more (or, if negative, fewer) than `admit` was given.
    void done(instant now, const client_account_id& account, token_count tokens);

    /// Returns the requests for shares that are due, grouped by home.
    [[nodiscard]] auto tick(instant now) -> std::vector<ask_shares>;
    /// Decides on a gateway's request for a share of an account whose home this gateway is.
    [[nodiscard]] auto grant_share(instant now, const share_request& request) -> share_grant;
    /// Applies the answer to a request made at `asked`. An answer from a gateway that is not, or no longer,
    /// the home is ignored.
    void share_granted(instant now, const share_grant& grant, instant asked);

    /// Returns the home of an account; empty while no gateway is known.
    [[nodiscard]] auto home(const client_account_id& account) const -> process_id;
    /// Returns the fraction of the account's limit that this gateway may use now.
    [[nodiscard]] auto part(instant now, const client_account_id& account) const -> double;

private:
    struct tracked
    {
        rate_share requests;
        rate_share tokens;
        std::uint32_t in_flight = 0;
        demand_meter demand;
        double part = 0;
        instant lease_end{};
        instant renew_at{};
        process_id home; // empty until it is needed again
        std::optional<instant> requested_at;
        instant newest_answer{}; // request time of the newest answer so far
        instant last_used{};
    };

    [[nodiscard]] auto entry_of(const client_account_id& account) const -> const account_entry*;
    [[nodiscard]] auto track(instant now, const account_entry& entry) -> tracked&;
    [[nodiscard]] auto home_of(const client_account_id& account, tracked& state) -> const process_id&;
    [[nodiscard]] auto is_request_due(instant now, tracked& state) const -> bool;
    [[nodiscard]] auto equal_part() const -> double;
    [[nodiscard]] auto part_of(instant now, const tracked& state) const -> double;
    [[nodiscard]] auto rules(instant now, const client_account_id& account) const -> share_rules;
    void apply_part(instant now, const account_entry& entry, tracked& state);

    account_limiter_settings settings_;
    std::map<client_account_id, account_entry> accounts_;
    std::vector<process_id> gateways_;
    std::vector<process_id> gateways_before_;
    instant gateways_changed_;
    std::size_t configured_ = 1;
    std::map<client_account_id, tracked> tracked_;
    share_home home_;
};

} // namespace dragonflymill
