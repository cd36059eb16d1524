#include "dragonflymill/direct/fleet_records.h"

#include <algorithm>
#include <set>

namespace dragonflymill::direct {

auto fleet_records::apply(const fleet_record& change) -> bool
{
    const auto found = records_.find(change.key);
    // All changes up to `revision_` are known: a record that isn't there and claims to be older was removed.
    const std::uint64_t newest = found == records_.end() ? revision_ : found->second.revision;
    if (change.revision <= newest) {
        return false;
    }
    fleet_record& known = records_[change.key];
    if (known.removed) {
        removed_.erase({known.revision, change.key});
    }
    known = change;
    if (change.removed) {
        known.value.clear();
        removed_.insert({change.revision, change.key});
        forget_oldest_removed();
    }
    return true;
}

auto fleet_records::apply(const records_update& extract) -> std::vector<fleet_record>
{
    std::vector<fleet_record> news;
    std::set<std::string> present;
    for (const fleet_record& record : extract.records) {
        present.insert(record.key);
        if (apply(record)) {
            news.push_back(record);
        }
    }
    if (extract.whole) {
        // A listing doesn't tell of records that were removed before it and were never known here.
        forgotten_to_ = std::max(forgotten_to_, extract.as_of);
        std::vector<std::string> missing;
        for (const auto& [key, record] : records_) {
            if (!record.removed && record.revision < extract.as_of && !present.contains(key)) {
                missing.push_back(key);
            }
        }
        for (const std::string& key : missing) {
            // The revision of the removal isn't known, only that it was not later than the listing.
            const fleet_record removal{key, "", extract.as_of, true};
            if (apply(removal)) {
                news.push_back(removal);
            }
        }
    }
    advance(extract.as_of);
    return news;
}

void fleet_records::advance(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
}

auto fleet_records::since(std::uint64_t after) const -> records_update
{
    records_update extract;
    extract.as_of = revision_;
    // Removals up to `forgotten_to_` aren't all known here, so that only the whole list tells of them.
    extract.whole = after == 0 || after < forgotten_to_;
    for (const auto& [key, record] : records_) {
        const bool wanted = extract.whole ? !record.removed : record.revision > after;
        if (wanted) {
            extract.records.push_back(record);
        }
    }
    return extract;
}

void fleet_records::forget_oldest_removed()
{
    while (removed_.size() > max_removed) {
        const auto oldest = removed_.begin();
        forgotten_to_ = std::max(forgotten_to_, oldest->first);
        records_.erase(oldest->second);
        removed_.erase(oldest);
    }
}

} // namespace dragonflymill::direct
