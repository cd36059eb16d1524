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

/// A member with its state and replay window.
struct member_record
{
    member_update update;     ///< Newest update about the member.
    instant since{};          ///< When it got its current state and number.
    bool silent = false;      ///< Whether this process itself suspects it after a failed probe.
    bool second_hand = false; ///< First known as leaving: stored but not propagated.
    replay_window window;     ///< Detects replayed datagrams of this member.
};

/// State of every other member as seen by this process.
///
/// Holds at most `max_members`. When full, the member that has been dead or leaving for longest is evicted;
/// without one, a new member is rejected. Dead and leaving members are removed after `retention`.
class member_table
{
public:
    /// Limits the number of members and how long dead and leaving ones are kept.
    member_table(std::size_t max_members, duration retention);

    /// Applies an update and returns true if it is new. An unknown member that is reported dead is ignored,
    /// since there is no state to end. An unknown member that is reported leaving is stored, since an older
    /// "alive" may still arrive, but not propagated; otherwise removed members would be reintroduced for
    /// ever.
    [[nodiscard]] auto merge(instant now, const member_update& update) -> bool;
    /// Record of a member; null if unknown.
    [[nodiscard]] auto find(const process_id& id) -> member_record*;
    /// Record of a member; null if unknown.
    [[nodiscard]] auto find(const process_id& id) const -> const member_record*;
    /// All members, sorted by id.
    [[nodiscard]] auto records() const -> const std::map<process_id, member_record>& { return records_; }
    /// Digest of the members that are alive or suspect, for comparing two tables.
    [[nodiscard]] auto digest() const -> std::uint64_t { return digest_; }
    /// Number of members that are alive or suspect.
    [[nodiscard]] auto live_count() const -> std::size_t { return live_count_; }
    /// Removes dead and leaving members past their retention.
    void forget(instant now);

    /// Returns up to `count` distinct random members for which `wanted(record)` is true.
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

/// Whether a member may be probed and may receive work: alive, or suspect but not yet dead.
[[nodiscard]] auto is_live(const member_record& record) -> bool;

} // namespace dragonflymill
