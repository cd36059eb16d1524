#pragma once

#include "dragonflymill/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace dragonflymill::direct {

/// What a gateway would tell the others now.
struct tellable_state
{
    std::uint64_t load_changes = 0; ///< Rises whenever its own work in hand changes.
    std::uint64_t revision = 0;     ///< Newest change of the published records that it knows.
    int gateways = 1;               ///< Gateways that hear its words, itself included.

    friend auto operator==(const tellable_state&, const tellable_state&) -> bool = default;
};

/// A word that is to be sent now.
struct due_word
{
    bool whole = false;              ///< All work in hand and some peers; else what changed.
    std::uint64_t changes_since = 0; ///< Not whole: the load changes that it begins after.

    friend auto operator==(const due_word&, const due_word&) -> bool = default;
};

/// Decides when a gateway tells the others its state, and how much of it.
///
/// Too rarely, and other gateways choose the engines that this one has just filled; too often, and a small
/// host does nothing but listen.
class word_schedule
{
public:
    /// The word to be sent now; nothing if none is due. `at_once`: there is news that can't wait.
    [[nodiscard]] auto next(const tellable_state& state, bool at_once, instant now)
        -> std::optional<due_word>;

    /// Words about new work go out at most this often: within it another gateway may choose the same engine.
    static constexpr duration word_interval = 30ms;
    /// Beyond this many gateways words become rarer in proportion, so that listening stays below a hundredth
    /// of a small host's processor.
    static constexpr int gateways_at_full_rate = 64;
    /// A gateway that has nothing to tell says so this often.
    static constexpr duration idle_word_interval = 400ms;
    /// Only this often a word lists all work in hand and some peers; the others list what changed.
    static constexpr duration whole_word_interval = 1s;
    /// A change is told so many times, so that a lost datagram or two do no harm until the next whole word.
    static constexpr std::size_t times_told = 3;

private:
    tellable_state told_;
    instant told_at_{};
    instant told_whole_at_{};
    std::array<std::uint64_t, times_told> changes_before_{}; // at the last words, the oldest first
};

} // namespace dragonflymill::direct
