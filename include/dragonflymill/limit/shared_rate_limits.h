#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/limit/rate_limit_beliefs.h"
#include "dragonflymill/limit/shared_rate_schedule.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill {

/// What a gateway reports to the others about the rate limit of one upstream.
struct rate_limit_report
{
    upstream_run upstream = 0;         ///< Run of the upstream.
    std::optional<double> calls_per_s; ///< For all gateways together; nothing: an earlier limit has ended.
    duration age{};                    ///< Time since the response that stated it was received.
    bool first_hand = false;           ///< Whether the reporting gateway received that response.
    std::uint64_t calls = 0;           ///< Calls that it has sent since it knows of the limit; only grows.

    friend auto operator==(const rate_limit_report&, const rate_limit_report&) -> bool = default;
};

/// Rate limits that upstreams state for all gateways together, as one gateway knows them from responses and
/// from the reports of the others, and when this gateway may send its next call under them.
class shared_rate_limits
{
public:
    /// `seed` must differ between gateways.
    explicit shared_rate_limits(std::uint64_t seed)
        : seed_(seed)
    {
    }

    /// Sets which gateways share the limits.
    void set_reach(const gateway_reach& reach) { reach_ = reach; }
    /// Records what a response to a call sent at `sent_at` says; returns whether the limit changed.
    auto record(upstream_run upstream, const rate_statement& statement, instant sent_at, instant now) -> bool;
    /// Applies another gateway's report; returns whether the limit changed.
    auto apply_report(const std::string& gateway, const rate_limit_report& report, instant now) -> bool;
    /// Removes the counts of a gateway that no longer runs.
    void remove_gateway(const std::string& gateway);
    /// Counts a call of this gateway to an upstream, if that is limited.
    void count_call(upstream_run upstream, instant now);
    /// Removes what is known about runs that have ended.
    void retain(const std::set<upstream_run>& known, instant now);

    /// Returns the belief about an upstream that is limited; null if it has no limit.
    [[nodiscard]] auto find(upstream_run upstream) const -> const rate_limit_belief*;
    /// Returns from when on this gateway may send a call; a time in the past if the upstream has no limit.
    [[nodiscard]] auto available_at(upstream_run upstream) const -> instant;
    /// Returns the calls per second that this gateway can expect to send: an equal part of the limit among
    /// the gateways that have sent calls recently, this one included. 0 if the upstream has no limit.
    [[nodiscard]] auto expected_rate(upstream_run upstream, instant now) const -> double;
    /// All beliefs.
    [[nodiscard]] auto beliefs() const -> const rate_limit_beliefs& { return beliefs_; }
    /// Number of calls that this gateway has sent to an upstream since it knows of its limit.
    [[nodiscard]] auto own_calls(upstream_run upstream) const -> std::uint64_t;
    /// The same, with the calls that the other gateways have reported.
    [[nodiscard]] auto all_calls(upstream_run upstream) const -> std::uint64_t;

    /// Returns the reports to the other gateways: all, or those that changed after version `since`. At most
    /// `max_reports`, of which `round` selects the first.
    [[nodiscard]] auto reports(instant now, std::uint64_t round,
                               std::optional<std::uint64_t> since = std::nullopt) const
        -> std::vector<rate_limit_report>;
    /// Increases with every change of the reports other than their age.
    [[nodiscard]] auto version() const -> std::uint64_t { return version_; }

    /// Maximum number of reports in a digest; keeps a relay's batch of digests within a datagram.
    static constexpr std::size_t max_reports = 32;
    /// Time after its last call for which a gateway counts as a user of an upstream.
    static constexpr duration user_timeout = 10s;

private:
    struct peer_calls
    {
        std::uint64_t count = 0;
        std::optional<instant> last_at;
    };
    struct upstream_calls
    {
        std::uint64_t own = 0;
        std::unordered_map<std::string, peer_calls> by_peer;
        std::uint64_t changed_version = 0;            // version_ at the last change of this gateway's report
        std::optional<shared_rate_schedule> schedule; // while the upstream is limited
    };

    void limit_changed(upstream_run upstream, instant now);
    void count_peer_calls(upstream_calls& calls, const std::string& gateway, std::uint64_t count,
                          instant now);

    std::uint64_t seed_;
    gateway_reach reach_;
    rate_limit_beliefs beliefs_;
    std::unordered_map<upstream_run, upstream_calls> calls_; // of each run that beliefs_ has
    std::uint64_t version_ = 0;
};

} // namespace dragonflymill
