#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/membership/member.h"
#include "dragonflymill/membership/replay_window.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace dragonflymill {

/// A member and since when it is what it is.
struct member_record
{
    member_update update;     ///< What is believed.
    instant since{};          ///< Since when.
    bool silent = false;      ///< Whether it is suspect because it did not answer this process itself.
    bool second_hand = false; ///< First heard of as leaving: remembered, but not told to others.
    replay_window window;     ///< Datagrams already heard from it.
};

/// What this process believes about every other.
///
/// Bound: `max_members`; when full, the one dead or leaving for longest goes, and a new member is refused if
/// there is none. Dead and leaving members are forgotten after `retention`.
class member_table
{
public:
    /// An empty table.
    member_table(std::size_t max_members, duration retention);

    /// Takes over an update if it is news. A member first heard of as dead is not taken up: there is nothing
    /// to end. One first heard of as leaving is remembered, since its older "alive" may still be under way,
    /// but not told to others, or forgotten ones would come back for ever.
    [[nodiscard]] auto merge(instant now, const member_update& update) -> bool;
    /// The record of a member; null if unknown.
    [[nodiscard]] auto find(const process_id& id) -> member_record*;
    /// The record of a member; null if unknown.
    [[nodiscard]] auto find(const process_id& id) const -> const member_record*;
    /// Every member, sorted by name.
    [[nodiscard]] auto records() const -> const std::map<process_id, member_record>& { return records_; }
    /// Digest of the members believed alive or suspect, for comparing two tables.
    [[nodiscard]] auto digest() const -> std::uint64_t { return digest_; }
    /// Members believed alive or suspect.
    [[nodiscard]] auto live_count() const -> std::size_t { return live_count_; }
    /// Forgets dead and leaving members that are past retention.
    void forget(instant now);

    /// Up to `count` different random members that `wanted(record)` is true for.
    template <typename Wanted>
    [[nodiscard]] auto sample(random_source& random, std::size_t count, Wanted wanted) const
        -> std::vector<const member_record*>
    {
        std::vector<const member_record*> found;
        for (const auto& [id, record] : records_) {
            if (wanted(record)) {
                found.push_back(&record);
            }
        }
        const auto wanted_count = std::min(count, found.size());
        for (std::size_t at = 0; at < wanted_count; ++at) {
            std::swap(found[at], found[at + random.below(found.size() - at)]);
        }
        found.resize(wanted_count);
        return found;
    }

private:
    void count(const member_update& update, bool added);
    [[nodiscard]] auto make_room() -> bool;

    std::size_t max_members_;
    duration retention_;
    std::map<process_id, member_record> records_;
    std::uint64_t digest_ = 0;
    std::size_t live_count_ = 0;
};

/// Whether a member may be asked and may take work: alive, or suspected but not yet given up.
[[nodiscard]] auto is_live(const member_record& record) -> bool;

} // namespace dragonflymill
