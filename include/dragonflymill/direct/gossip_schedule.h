#pragma once

#include "dragonflymill/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace dragonflymill::direct {

/// State that the next digest of a gateway would report.
struct digest_state
{
    std::uint64_t load_changes = 0;       ///< Increases with each change of the gateway's own work in flight.
    std::uint64_t revision = 0;           ///< Newest revision of the published records that it knows.
    int gateways = 1;                     ///< Gateways of the fleet, including itself.
    bool relayed = false;                 ///< Whether a relay forwards its digests.
    std::uint64_t rate_limit_changes = 0; ///< Increases with each change of its rate limit reports.
    std::uint64_t slowdown_changes = 0;   ///< Increases with each change of its slowdown reports.
    std::uint64_t evidence_changes = 0;   ///< Increases with each change of its evidence of crashes.

    friend auto operator==(const digest_state&, const digest_state&) -> bool = default;
};

/// A digest that is due.
struct due_digest
{
    bool whole = false;              ///< Lists all work in flight and some peers; otherwise only changes.
    std::uint64_t changes_since = 0; ///< Otherwise: lists the load changes after this one.
    std::uint64_t rate_limit_changes_since = 0; ///< Otherwise: lists the rate limit changes after this one.
    std::uint64_t slowdown_changes_since = 0;   ///< Otherwise: lists the slowdown changes after this one.
    std::uint64_t evidence_changes_since = 0;   ///< Otherwise: lists the evidence after this change.

    friend auto operator==(const due_digest&, const due_digest&) -> bool = default;
};

/// Decides when a gateway sends its state to the others, and whether a full digest or only the changes.
///
/// If digests are too rare, other gateways choose engines that this one has just filled; if they are too
/// frequent, receiving them takes up the processor of a small host.
class gossip_schedule
{
public:
    /// Returns the digest to be sent now; nothing if none is due. `at_once` sends one regardless of the
    /// interval.
    [[nodiscard]] auto next(const digest_state& state, bool at_once, instant now)
        -> std::optional<due_digest>;
    /// Returns when evidence that wasn't sent yet is due; nothing if all of it was sent.
    [[nodiscard]] auto evidence_due_at(const digest_state& state) const -> std::optional<instant>;

    /// Minimum interval between digests that report changes. Within it another gateway may choose the same
    /// engine.
    static constexpr duration gossip_interval = 30ms;
    /// Minimum interval when digests go through a relay. It is shorter because a digest then costs a single
    /// datagram and the relay delays it by a few milliseconds.
    static constexpr duration relayed_gossip_interval = 10ms;
    /// Minimum interval between digests that report evidence of crashes. A caller comes back at another
    /// gateway a round trip after the failure of its call.
    static constexpr duration evidence_gossip_interval = 10ms;
    /// Number of gateways above which intervals grow in proportion, to keep receiving digests below one
    /// percent of a small host's processor.
    static constexpr int gateways_at_full_rate = 64;
    /// Interval of a gateway without changes.
    static constexpr duration idle_gossip_interval = 400ms;
    /// Interval of full digests, which list all work in flight and some peers. Digests in between list
    /// changes.
    static constexpr duration full_digest_interval = 1s;
    /// Number of digests in which each change is sent, to tolerate two lost datagrams before the next full
    /// digest.
    static constexpr std::size_t change_transmissions = 3;

private:
    [[nodiscard]] static auto interval_of(const digest_state& state, bool reports_evidence) -> duration;

    struct sent_changes
    {
        std::uint64_t loads = 0;
        std::uint64_t rate_limits = 0;
        std::uint64_t slowdowns = 0;
        std::uint64_t evidence = 0;
    };

    digest_state sent_;
    instant sent_at_{};
    instant full_sent_at_{};
    std::array<sent_changes, change_transmissions> previous_changes_{}; // per digest, oldest first
};

} // namespace dragonflymill::direct
