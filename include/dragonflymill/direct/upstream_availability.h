#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/cold_start_limiter.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/direct/upstream_statements.h"
#include "dragonflymill/limit/shared_rate_limits.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// Decides which upstreams take calls of this gateway, and from when on.
///
/// Combines what is published about an upstream with what it states in its responses, and owns the latter.
/// Every path that sends a call asks here: new calls, retries and parts of prompts, in the gateway's own part
/// of a service and in others.
class upstream_availability
{
public:
    /// `seed` must differ between gateways.
    explicit upstream_availability(std::uint64_t seed)
        : rate_limits_(seed)
    {
    }

    /// Sets the gateways of the cell, with which this one shares the limits of upstreams. `cell` may count
    /// gateways that aren't known yet, `known_cell` doesn't.
    void set_gateways(const gateway_reach& cell, const gateway_reach& known_cell);
    /// Sets the division of the fleet into cells.
    void set_cells(const fleet_cells& cells) { cells_ = cells; }

    /// Records what an upstream states in its response to a call.
    auto record(const upstream_entry& upstream, const upstream_statement& statement,
                const response_times& times) -> statement_changes;
    /// Applies another gateway's report about a rate limit; returns whether the limit changed.
    auto apply_rate_limit_report(const std::string& gateway, const rate_limit_report& report, instant now)
        -> bool;
    /// Removes the counts of a gateway that no longer runs.
    void remove_gateway(const std::string& gateway) { rate_limits_.remove_gateway(gateway); }
    /// Removes statements that are over, and the rate limits of upstreams that no longer run.
    void expire(const upstream_list& fleet, instant now);
    /// Counts a call that is sent to an upstream under its rate limits.
    void count_call(const upstream_list& fleet, const std::string& upstream, instant now);

    /// Returns whether any upstream of a service accepts work, now or later.
    [[nodiscard]] auto has_upstream(const upstream_list& fleet, const std::string& service, instant now) const
        -> bool;
    /// Returns the upstreams of a service that accept work, now or later: those in this cell's part of the
    /// service, or all others.
    [[nodiscard]] auto accepting_upstreams(const upstream_list& fleet, const std::string& service,
                                           bool own_part, instant now) const
        -> std::vector<const upstream_state*>;
    /// Returns from when on the pushback of an upstream and its rate limits, stated or of a cold start, allow
    /// a call; `instant::max()` if its limit is left to the gateways of other cells.
    [[nodiscard]] auto available_at(const upstream_list& fleet, const upstream_state& upstream,
                                    instant now) const -> instant;
    /// Returns whether a service has upstreams that accept work, and all of them push back now.
    [[nodiscard]] auto all_push_back(const upstream_list& fleet, const std::string& service,
                                     instant now) const -> bool;
    /// Returns whether a call that has been assigned to an upstream, and counted under its rate limits, may
    /// still be sent there.
    [[nodiscard]] auto may_still_send(const upstream_list& fleet, const std::string& upstream,
                                      instant now) const -> bool;
    /// Returns the rate at which this gateway can expect to send calls to a limited upstream, in calls per
    /// second; 0 without a limit.
    [[nodiscard]] auto expected_rate(const upstream_list& fleet, const upstream_state& upstream,
                                     instant now) const -> double;

    /// Rate limits that upstreams state.
    [[nodiscard]] auto rate_limits() const -> const shared_rate_limits& { return rate_limits_; }
    /// Pushbacks and drains that upstreams state.
    [[nodiscard]] auto statements() const -> const upstream_statements& { return statements_; }
    /// Services of which an upstream states a rate limit.
    [[nodiscard]] auto rate_limited_services(const upstream_list& fleet) const -> std::set<std::string>;

private:
    /// Returns whether an upstream accepts work, by what is published about it and by its own statements.
    [[nodiscard]] auto accepts_work(const upstream_list& fleet, const upstream_state& upstream,
                                    instant now) const -> bool;
    [[nodiscard]] auto in_own_part(const upstream_list& fleet, const upstream_state& upstream) const -> bool;
    /// Returns the gateways that share the cold start limits of a service.
    [[nodiscard]] auto reach_for(const upstream_list& fleet, const std::string& service) const
        -> gateway_reach;
    /// Returns the limit of an upstream in cold start; nothing if it isn't, or if it has no limit.
    [[nodiscard]] static auto cold_limit_of(const upstream_list& fleet, const upstream_state& upstream,
                                            instant now) -> std::optional<cold_start_limit>;

    shared_rate_limits rate_limits_;
    upstream_statements statements_;
    std::unordered_map<std::string, cold_start_limiter> cold_limiters_;
    fleet_cells cells_{""};
    gateway_reach gateways_; // of the cell
};

} // namespace dragonflymill::direct
