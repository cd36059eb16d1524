#pragma once

#include "dragonflymill/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace dragonflymill::direct {

/// What the next digest of a gateway would state.
struct digest_state
{
    std::uint64_t load_changes = 0; ///< Rises whenever its own work in hand changes.
    std::uint64_t revision = 0;     ///< Newest change of the published records that it knows.
    int gateways = 1;               ///< Gateways of the fleet, itself included.
    bool relayed = false;           ///< A relay forwards its digests.

    friend auto operator==(const digest_state&, const digest_state&) -> bool = default;
};

/// A digest that is to be sent now.
struct due_digest
{
    bool whole = false;              ///< All work in hand and some peers; else what changed.
    std::uint64_t changes_since = 0; ///< Not whole: the load changes that it begins after.

    friend auto operator==(const due_digest&, const due_digest&) -> bool = default;
};

/// Decides when a gateway sends the others its state, and how much of it.
///
/// Too rarely, and other gateways choose the engines that this one has just filled; too often, and a small
/// host does nothing but listen.
class gossip_schedule
{
public:
    /// The digest to be sent now; nothing if none is due. `at_once`: there is news that can't wait.
    [[nodiscard]] auto next(const digest_state& state, bool at_once, instant now)
        -> std::optional<due_digest>;

    /// Digests about new work go out at most this often: within it another gateway may choose the same
    /// engine.
    static constexpr duration gossip_interval = 30ms;
    /// The same through a relay, which costs one datagram each and holds them back for some milliseconds
    /// more.
    static constexpr duration relayed_gossip_interval = 10ms;
    /// Beyond this many gateways digests become rarer in proportion, so that listening stays below a
    /// hundredth of a small host's processor.
    static constexpr int gateways_at_full_rate = 64;
    /// A gateway without changes sends a digest this often.
    static constexpr duration idle_gossip_interval = 400ms;
    /// Only this often a digest lists all work in hand and some peers; the others list what changed.
    static constexpr duration full_digest_interval = 1s;
    /// A change is sent so many times, so that a lost datagram or two do no harm until the next whole digest.
    static constexpr std::size_t repeats_of_change = 3;

private:
    digest_state sent_;
    instant sent_at_{};
    instant full_sent_at_{};
    std::array<std::uint64_t, repeats_of_change> changes_before_{}; // at the last digests, the oldest first
};

} // namespace dragonflymill::direct
