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

/// Work in hand at one upstream, as one gateway reports it or summed over all.
struct upstream_load
{
    std::int32_t short_calls = 0;   ///< Calls with a short prompt, or plain calls.
    std::int32_t long_calls = 0;    ///< Calls with a long prompt that the upstream answers.
    std::int32_t unread_calls = 0;  ///< Of the long calls, the ones whose prompt isn't read yet.
    std::int32_t parts = 0;         ///< Prompts of others that it reads a part of.
    std::int64_t memory_tokens = 0; ///< Engine memory that these calls fill in the end.
    duration pending_prefill{};     ///< Reading that is still to be done, as far as is known.
    std::int32_t suspected_by = 0;  ///< Gateways that find it faulty now.
    duration tightest_tbt_target{}; ///< Shortest pause aim of the streams that it writes; 0: none has one.

    friend auto operator==(const upstream_load&, const upstream_load&) -> bool = default;
};

/// While a prompt isn't read, at least this part of its reading is taken to be still to do, however long ago
/// it was sent. Engines read the newest part first, so that one which is sent before the last is read delays
/// it.
inline constexpr double least_unread_share = 0.6;

/// Short name of an upstream in reports: its id's hash, a quarter of the id's bytes.
using upstream_key = std::uint64_t;

/// A gateway's report about its own work in hand.
struct load_report
{
    std::string gateway;        ///< Who.
    std::uint64_t sequence = 0; ///< Rises with each report of one start of a gateway.
    bool is_complete = true;    ///< Whether an upstream that isn't in `loads` has no work of it.
    std::map<upstream_key, upstream_load> loads; ///< All upstreams with work, or the ones that changed.

    friend auto operator==(const load_report&, const load_report&) -> bool = default;
};

/// An engine that reads a part of another one's prompt.
struct helper_share
{
    std::string upstream;             ///< Which.
    std::int64_t reserved_tokens = 0; ///< Of its memory, for the call; 0: it only reads.

    friend auto operator==(const helper_share&, const helper_share&) -> bool = default;
};

/// What a call takes up at the upstreams that it is sent to.
struct placement
{
    std::string upstream;              ///< Answers the call.
    std::vector<helper_share> helpers; ///< Read a part of the prompt each, until its first token.
    bool is_long = false;              ///< Whether the prompt is long.
    std::int64_t memory_tokens = 0;    ///< Engine memory filled at `upstream`.
    duration reading{};                ///< Reading at each of the upstreams.
    duration tbt_target{};             ///< Longest pause between the call's events that is on time; 0: none.

    friend auto operator==(const placement&, const placement&) -> bool = default;
};

/// Names a placement on the board.
using placement_id = std::uint64_t;

/// Work in hand at every upstream: this gateway's own, exactly, and the other gateways', as they reported it.
///
/// Gateways that don't know of each other's calls choose the same idle upstream at the same moment, so that
/// calls wait there while others stand idle.
class load_tracker
{
public:
    /// Notes a call that is being sent.
    auto place(placement call, instant now) -> placement_id;
    /// The first token of a call came: its reading is done.
    void reading_done(placement_id id, instant now);
    /// A call ended.
    void finish(placement_id id, instant now);
    /// Notes whether this gateway finds an upstream faulty, to be reported to the others.
    void set_suspect(upstream_key upstream, bool suspect);
    void set_suspect(std::string_view upstream, bool suspect) { set_suspect(stable_hash(upstream), suspect); }
    /// Takes another gateway's report; one that is older than the last of its start is left out.
    void apply_report(const load_report& report, instant now);
    /// Forgets what a gateway that is gone has reported.
    void remove_gateway(const std::string& gateway);

    /// All work in hand at an upstream.
    [[nodiscard]] auto load_of(upstream_key upstream, instant now) const -> upstream_load;
    [[nodiscard]] auto load_of(std::string_view upstream, instant now) const -> upstream_load
    {
        return load_of(stable_hash(upstream), now);
    }
    /// This gateway's own work, to be reported to the others: all of it, or what changed since `own_version`
    /// stood at `since`.
    [[nodiscard]] auto own_loads(instant now, std::optional<std::uint64_t> since = std::nullopt) const
        -> std::map<upstream_key, upstream_load>;
    /// Rises whenever own work changes.
    [[nodiscard]] auto own_version() const -> std::uint64_t { return own_changes_; }
    /// Own calls in hand at an upstream.
    [[nodiscard]] auto own_calls(upstream_key upstream) const -> int;
    [[nodiscard]] auto own_calls(std::string_view upstream) const -> int
    {
        return own_calls(stable_hash(upstream));
    }

private:
    /// One gateway's load at one upstream; reading shrinks with time.
    struct reported_load
    {
        upstream_load load;
        instant read_until{};
        std::map<duration, int> pauses; // calls by pause aim; own calls only
        std::uint64_t changed = 0;      // own_changes_ at the last change; own calls only

        [[nodiscard]] auto at(instant now) const -> upstream_load;
    };
    struct reported_loads
    {
        std::uint64_t sequence = 0;
        std::unordered_set<upstream_key> upstreams; // with an entry in others_loads_
    };
    /// What other gateways reported of one upstream, by gateway; only of those that have work there.
    using loads_by_gateway = std::map<std::string, reported_load, std::less<>>;

    struct placed_call
    {
        placement call;
        bool read = false;
    };

    void add(const placement& call, instant now);
    void forget_loads(const std::string& gateway, reported_loads& report);
    void remove_load(upstream_key upstream, const std::string& gateway);
    void end_reading(reported_load& reader, duration reading, instant now) const;
    [[nodiscard]] auto changing(upstream_key upstream) -> reported_load&;

    std::unordered_map<upstream_key, reported_load> own_;
    std::unordered_map<placement_id, placed_call> placed_;
    std::unordered_map<std::string, reported_loads> others_;
    /// By upstream, since each decision asks for all upstreams: summing over all gateways for each of them
    /// cost 3,000 times 300 look-ups a decision in a fleet of that size, of which nine in ten found nothing.
    std::unordered_map<upstream_key, loads_by_gateway> others_loads_;
    std::uint64_t next_id_ = 0;
    std::uint64_t own_changes_ = 0;
};

} // namespace dragonflymill::direct
