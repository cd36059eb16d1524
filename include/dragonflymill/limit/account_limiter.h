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

/// Settings of an account limiter.
struct account_limiter_settings
{
    process_id self;                  ///< This gateway.
    duration lease_time = 6s;         ///< How long a granted share holds without being renewed.
    duration ask_interval = 2s;       ///< Shortest time between two asks for one share.
    double floor = 0.1;               ///< Part of each limit that is not leased: every gateway has its equal
                                      ///< part of it at any time.
    duration forget_after = 60s;      ///< An account without requests for so long is no longer tracked.
    duration burst = 1s;              ///< Unused rate that is kept, in time at the share.
    std::size_t max_accounts = 4'096; ///< Accounts tracked; at the bound the longest idle one is dropped.
};

/// Ask a gateway for shares of the limits of accounts whose home it is.
struct ask_shares
{
    process_id home;                     ///< Whom to ask; it may be this gateway itself.
    std::vector<share_request> requests; ///< What to ask, one request for each account.
    instant asked;                       ///< When, by the asker's clock; does not travel.

    friend auto operator==(const ask_shares&, const ask_shares&) -> bool = default;
};

/// Keeps client accounts within their limits over all gateways, without shared state.
///
/// Each account has a home among the live gateways, by rendezvous hash. Every gateway that serves the account
/// tells its demand to the home, and the home leases it a part of the limits by demand. A tenth of the limits
/// is not leased: each gateway has its equal part of that besides its lease. A gateway without a lease,
/// because it just began or can't reach the home, uses an equal part: the limit divided by the number of
/// gateways. A home that sees no more than half of the gateways grants no more than their equal parts.
///
/// Bound: whatever is cut off from whatever, all gateways together admit at a rate of at most 1.5 times the
/// limit, plus one request for each gateway and minute (docs/design/account-limits.md).
class account_limiter
{
public:
    /// A limiter that knows no account yet.
    account_limiter(account_limiter_settings settings, instant now);

    /// A bundle was put in force: limits change at once, shares are scaled to them.
    void bundle_adopted(instant now, const bundle& value);
    /// The gateways believed alive, this one included. `configured` is how many there are when all are well:
    /// a gateway cut off from the others must not take their absence for a larger share.
    void gateways_changed(instant now, std::vector<process_id> live, std::size_t configured);

    /// Admits a request of `tokens`, for which `done` is to be called at its end; or says why not, and when
    /// to come back.
    [[nodiscard]] auto admit(instant now, const client_account_id& account, token_count tokens)
        -> std::optional<refusal>;
    /// An admitted request ended, having taken `tokens` more (or, negative, fewer) than was said.
    void done(instant now, const client_account_id& account, token_count tokens);

    /// Requests for shares that are due, those to one home together.
    [[nodiscard]] auto tick(instant now) -> std::vector<ask_shares>;
    /// Another gateway (or this one) asks for a share of an account whose home this is.
    [[nodiscard]] auto share_asked(instant now, const share_request& request) -> share_grant;
    /// The home answered what was asked at `asked`; one that is not the home (any more) is not believed.
    void share_granted(instant now, const share_grant& grant, instant asked);

    /// The home of an account; empty while no gateway is known.
    [[nodiscard]] auto home(const client_account_id& account) const -> process_id;
    /// Part of the account's limit that this gateway may use now.
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
        std::optional<instant> asked;
        instant granted{}; // when the newest answer so far was asked for
        instant used{};
    };

    [[nodiscard]] auto entry_of(const client_account_id& account) const -> const account_entry*;
    [[nodiscard]] auto track(instant now, const account_entry& entry) -> tracked&;
    [[nodiscard]] auto home_of(const client_account_id& account, tracked& state) -> const process_id&;
    [[nodiscard]] auto ask_due(instant now, tracked& state) const -> bool;
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
