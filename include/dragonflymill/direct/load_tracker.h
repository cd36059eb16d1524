#pragma once

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dragonflymill::direct {

/// Load of one upstream, as one gateway reports it or summed over all gateways.
struct upstream_load
{
    std::int32_t short_calls = 0;   ///< Calls in flight with a short prompt, or to a plain service.
    std::int32_t long_calls = 0;    ///< Calls in flight with a long prompt that the upstream decodes.
    std::int32_t unread_calls = 0;  ///< Number of `long_calls` whose prompt is not yet prefilled.
    std::int32_t parts = 0;         ///< Prefill parts of prompts that other upstreams decode.
    std::int64_t memory_tokens = 0; ///< KV cache that these calls use once complete, in tokens.
    duration pending_prefill{};     ///< Predicted prefill time that remains.
    std::int32_t suspected_by = 0;  ///< Gateways that suspect it to be faulty.
    duration tightest_tbt_target{}; ///< Shortest time between tokens target of its streams; 0: none.

    friend auto operator==(const upstream_load&, const upstream_load&) -> bool = default;
};

/// Until a prompt's first token arrives, at least this share of its predicted prefill counts as pending,
/// however long ago it was sent: engines prefill the newest part first, which delays earlier ones.
inline constexpr double min_pending_prefill_share = 0.6;

/// Identifies an upstream in load reports: the hash of its id, which takes a quarter of the id's bytes.
using upstream_key = std::uint64_t;

/// The load that one gateway causes, as it reports it to the other gateways.
struct load_report
{
    std::string gateway;        ///< Reporting gateway.
    std::uint64_t sequence = 0; ///< Increases with each report during one run of the gateway.
    bool is_complete = true;    ///< Full snapshot: upstreams missing from `loads` have no load from it.
    std::map<upstream_key, upstream_load> loads; ///< All upstreams with load, or only the changed ones.

    friend auto operator==(const load_report&, const load_report&) -> bool = default;
};

/// An engine that takes a part of the prefill of a call that another engine decodes.
struct prefill_share
{
    std::string upstream;             ///< Engine.
    std::int64_t reserved_tokens = 0; ///< KV cache reserved there for the call; 0: prefill only.

    friend auto operator==(const prefill_share&, const prefill_share&) -> bool = default;
};

/// The resources that a call uses at the upstreams that it is sent to.
struct placement
{
    std::string upstream;                       ///< Answers the call.
    std::vector<prefill_share> prefill_engines; ///< Other engines with a prefill part, until the first token.
    bool is_long = false;                       ///< Whether the prompt counts as long.
    std::int64_t memory_tokens = 0;             ///< KV cache used at `upstream`, in tokens.
    duration prefill_time{};                    ///< Prefill time at each of the upstreams.
    duration tbt_target{};                      ///< Longest time between the call's events; 0: no target.

    friend auto operator==(const placement&, const placement&) -> bool = default;
};

/// Identifies a placement in the load tracker.
using placement_id = std::uint64_t;

/// Tracks the load of every upstream: exactly for this gateway's calls, as reported for other gateways'
/// calls.
///
/// Gateways that don't know of each other's calls choose the same idle upstream at the same moment; calls
/// then wait there while other upstreams are idle.
class load_tracker
{
public:
    /// Adds the load of a call that is being sent.
    auto place(placement call, instant now) -> placement_id;
    /// Removes the prefill load of a call whose first token arrived.
    void prefill_done(placement_id id, instant now);
    /// Removes the load of a call that ended.
    void finish(placement_id id, instant now);
    /// Sets whether this gateway suspects an upstream; reported to the other gateways.
    void set_suspect(upstream_key upstream, bool suspect);
    void set_suspect(std::string_view upstream, bool suspect) { set_suspect(stable_hash(upstream), suspect); }
    /// Applies another gateway's report; a report older than the last one of the same run is ignored.
    void apply_report(const load_report& report, instant now);
    /// Removes all load reported by a gateway that no longer runs.
    void remove_gateway(const std::string& gateway);

    /// Returns the load of an upstream, summed over all gateways.
    [[nodiscard]] auto load_of(upstream_key upstream, instant now) const -> upstream_load;
    [[nodiscard]] auto load_of(std::string_view upstream, instant now) const -> upstream_load
    {
        return load_of(stable_hash(upstream), now);
    }
    /// Returns the upstream that answers a placed call; nothing if the call has ended.
    [[nodiscard]] auto upstream_of(placement_id id) const -> std::optional<std::string_view>
    {
        const auto found = placed_.find(id);
        return found == placed_.end() ? std::nullopt
                                      : std::optional<std::string_view>(found->second.call.upstream);
    }
    /// Returns this gateway's own load for a report: all of it, or the changes after version `since`.
    [[nodiscard]] auto own_loads(instant now, std::optional<std::uint64_t> since = std::nullopt) const
        -> std::map<upstream_key, upstream_load>;
    /// Increases with every change of this gateway's own load.
    [[nodiscard]] auto own_version() const -> std::uint64_t { return own_version_; }
    /// Returns the number of this gateway's calls in flight at an upstream.
    [[nodiscard]] auto own_calls(upstream_key upstream) const -> int;
    [[nodiscard]] auto own_calls(std::string_view upstream) const -> int
    {
        return own_calls(stable_hash(upstream));
    }

private:
    /// One gateway's load at one upstream; its pending prefill decreases with time.
    struct reported_load
    {
        upstream_load load;
        instant prefill_until{};
        std::map<duration, int> tbt_targets; // calls by TBT target; own calls only
        std::uint64_t changed_version = 0;   // own_version_ at the last change; own calls only

        [[nodiscard]] auto at(instant now) const -> upstream_load;
    };
    struct reported_loads
    {
        std::uint64_t sequence = 0;
        std::unordered_set<upstream_key> upstreams; // with an entry in peer_loads_
    };
    /// Loads that other gateways reported for one upstream, by gateway; only gateways with load there.
    using loads_by_gateway = std::map<std::string, reported_load, std::less<>>;

    struct placed_call
    {
        placement call;
        bool prefilled = false;
    };

    void add(const placement& call, instant now);
    void remove_loads(const std::string& gateway, reported_loads& report);
    void remove_load(upstream_key upstream, const std::string& gateway);
    void subtract_prefill(reported_load& engine, duration prefill_time, instant now) const;
    [[nodiscard]] auto modify_own(upstream_key upstream) -> reported_load&;

    std::unordered_map<upstream_key, reported_load> own_;
    std::unordered_map<placement_id, placed_call> placed_;
    std::unordered_map<std::string, reported_loads> peers_;
    /// Indexed by upstream, because each decision needs the load of all upstreams. Indexed by gateway, a
    /// decision took 3,000 times 300 look-ups in a fleet of that size, of which nine in ten found nothing.
    std::unordered_map<upstream_key, loads_by_gateway> peer_loads_;
    std::uint64_t next_id_ = 0;
    std::uint64_t own_version_ = 0;
};

} // namespace dragonflymill::direct
