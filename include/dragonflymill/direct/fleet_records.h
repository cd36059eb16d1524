#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::direct {

/// A published record as it was read, not yet decoded.
struct fleet_record
{
    std::string key;            ///< Name of the record.
    std::string value;          ///< Its bytes; empty if it was removed.
    std::uint64_t revision = 0; ///< Number of its last change; rises over all records together.
    bool removed = false;       ///< Whether the last change removed it.

    friend auto operator==(const fleet_record&, const fleet_record&) -> bool = default;
};

/// A part of the records, as one process hands it to another.
struct records_update
{
    std::vector<fleet_record> records; ///< The records.
    std::uint64_t as_of = 0;           ///< All changes up to this revision are in `records` or were known.
    bool whole = false;                ///< Whether a record that isn't among them doesn't exist.

    friend auto operator==(const records_update&, const records_update&) -> bool = default;
};

/// The published records that this process knows, whatever source they came from. The newest revision of
/// each record wins, so that a source that lags (a peer, an old listing) can't bring back what was replaced.
class fleet_records
{
public:
    /// Takes one change; false if a change that is as new is known already.
    auto apply(const fleet_record& change) -> bool;
    /// Takes an extract; gives the changes that were news, removals by absence included.
    [[nodiscard]] auto apply(const records_update& extract) -> std::vector<fleet_record>;
    /// Notes that all changes up to `revision` have been taken.
    void advance(std::uint64_t revision);
    /// What a process that knows all up to `after` lacks.
    [[nodiscard]] auto since(std::uint64_t after) const -> records_update;

    /// All changes up to this revision are known; 0 before the first listing.
    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    /// All records, removed ones that are still remembered included.
    [[nodiscard]] auto all() const -> const std::map<std::string, fleet_record>& { return records_; }

    /// Removed records that are remembered; the ones removed longest ago go first. 600 upstreams replaced
    /// twice within the time in which a peer may lag stay below it.
    static constexpr std::size_t max_removed = 2048;

private:
    void forget_oldest_removed();

    std::map<std::string, fleet_record> records_;
    std::set<std::pair<std::uint64_t, std::string>> removed_;
    std::uint64_t revision_ = 0;
    std::uint64_t forgotten_to_ = 0;
};

} // namespace dragonflymill::direct
