#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::direct {

/// A published record in its encoded form.
struct fleet_record
{
    std::string key;   ///< Name of the record.
    std::string value; ///< Its bytes; empty if it was removed.
    std::uint64_t revision =
        0;                ///< Revision of its last change; revisions increase over all records together.
    bool removed = false; ///< Whether the last change removed it.

    friend auto operator==(const fleet_record&, const fleet_record&) -> bool = default;
};

/// Records sent from one process to another: a difference or the complete list.
struct records_update
{
    std::vector<fleet_record> records; ///< The records.
    std::uint64_t as_of = 0;           ///< The receiver then has all changes up to this revision.
    bool whole = false;                ///< Whether the list is complete: other records do not exist.

    friend auto operator==(const records_update&, const records_update&) -> bool = default;
};

/// The published records known to this process, merged from any number of sources. The newest revision of
/// each record wins, so a lagging source (a peer, an old listing) cannot restore replaced records.
class fleet_records
{
public:
    /// Applies one change; returns false if the record is already known at this revision or a newer one.
    auto apply(const fleet_record& change) -> bool;
    /// Applies an update; returns the changes that were new, including records removed by absence from a
    /// complete list.
    [[nodiscard]] auto apply(const records_update& update) -> std::vector<fleet_record>;
    /// Records that all changes up to `revision` have been applied.
    void advance(std::uint64_t revision);
    /// Returns the update for a process that has all changes up to `after`.
    [[nodiscard]] auto since(std::uint64_t after) const -> records_update;

    /// Revision up to which all changes are known; 0 before the first listing.
    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    /// All records by key, including the tombstones of removed ones.
    [[nodiscard]] auto all() const -> const std::map<std::string, fleet_record>& { return records_; }

    /// Maximum number of tombstones; the oldest are dropped first. 600 upstreams replaced twice within the
    /// time that a peer may lag stay below it.
    static constexpr std::size_t max_tombstones = 2048;

private:
    void drop_oldest_tombstones();

    std::map<std::string, fleet_record> records_;
    std::set<std::pair<std::uint64_t, std::string>> tombstones_;
    std::uint64_t revision_ = 0;
    std::uint64_t dropped_through_ = 0;
};

} // namespace dragonflymill::direct
