#include "dragonflymill/direct/fleet_records.h"

#include <algorithm>
#include <set>

namespace dragonflymill::direct {

auto fleet_records::apply(const fleet_record& change) -> bool
{
    const auto found = records_.find(change.key);
    // All changes up to `revision_` are known: an unknown record with an older revision was removed.
    const std::uint64_t newest = found == records_.end() ? revision_ : found->second.revision;
    if (change.revision <= newest) {
        return false;
    }
    fleet_record& known = records_[change.key];
    if (known.removed) {
        tombstones_.erase({known.revision, change.key});
    }
    known = change;
    if (change.removed) {
        known.value.clear();
        tombstones_.insert({change.revision, change.key});
        drop_oldest_tombstones();
    }
    return true;
}

auto fleet_records::apply(const records_update& update) -> std::vector<fleet_record>
{
    std::vector<fleet_record> applied;
    std::set<std::string> present;
    for (const fleet_record& record : update.records) {
        present.insert(record.key);
        if (apply(record)) {
            applied.push_back(record);
        }
    }
    if (update.whole) {
        // A complete list does not show which records were removed before it that were never known here.
        dropped_through_ = std::max(dropped_through_, update.as_of);
        std::vector<std::string> missing;
        for (const auto& [key, record] : records_) {
            if (!record.removed && record.revision < update.as_of && !present.contains(key)) {
                missing.push_back(key);
            }
        }
        for (const std::string& key : missing) {
            // The exact revision of the removal is unknown; it is at most that of the list.
            const fleet_record removal{key, "", update.as_of, true};
            if (apply(removal)) {
                applied.push_back(removal);
            }
        }
    }
    advance(update.as_of);
    return applied;
}

void fleet_records::advance(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
}

auto fleet_records::since(std::uint64_t after) const -> records_update
{
    records_update update;
    update.as_of = revision_;
    // Removals up to `dropped_through_` are not all known here; only the complete list conveys them.
    update.whole = after == 0 || after < dropped_through_;
    for (const auto& [key, record] : records_) {
        const bool included = update.whole ? !record.removed : record.revision > after;
        if (included) {
            update.records.push_back(record);
        }
    }
    return update;
}

void fleet_records::drop_oldest_tombstones()
{
    while (tombstones_.size() > max_tombstones) {
        const auto oldest = tombstones_.begin();
        dropped_through_ = std::max(dropped_through_, oldest->first);
        records_.erase(oldest->second);
        tombstones_.erase(oldest);
    }
}

} // namespace dragonflymill::direct
