#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "dragonflymill/direct/peer_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Gateways of other cells, as far as this one knows them.
///
/// Cells exchange no load reports. Through their few contacts published records cross from cell to cell also
/// when the gateways of one cell can't read the source, and gateways that start find the others of their
/// cell. Each gateway sends one digest per second to another cell, and asks one of the seeds for members of
/// its own cell the less often the more cells there are. What a gateway sends and receives for this is
/// therefore independent of the size of the fleet; the seeds store an address of each gateway.
class cell_directory
{
public:
    /// `address` is that of this gateway.
    cell_directory(std::string address, std::vector<std::string> seeds);

    /// Applies the digest of a gateway of another cell.
    void take(const peer_digest& digest, instant now);
    /// Stores addresses of gateways of other cells, to be contacted; ignores those of the own cell.
    void learn(const fleet_cells& cells, const std::vector<std::string>& addresses, instant now);
    /// Removes gateways that are silent for long, and those that are in this cell.
    void expire(const fleet_cells& cells, instant now);
    /// Returns the addresses in other cells to which a digest is sent in a round. `is_alone` is set while the
    /// gateway knows no other one of its cell; it then asks all seeds.
    [[nodiscard]] auto targets(const fleet_cells& cells, std::uint64_t round, bool is_alone) const
        -> std::vector<std::string>;
    /// Returns the addresses to tell a gateway of a cell: up to `max_members` of its own cell, and a few of
    /// any cell. `round` selects the first of each. Names only gateways that were heard: an address that is
    /// passed on at second hand would never expire.
    [[nodiscard]] auto introductions(const fleet_cells& cells, cell_id cell, std::uint64_t round) const
        -> std::vector<std::string>;
    /// Returns a gateway heard within `peer_table::peer_timeout` that knows published changes after
    /// `revision`; nothing if none does.
    [[nodiscard]] auto select_newer(std::uint64_t revision, std::uint64_t attempt, instant now) const
        -> std::optional<std::string>;
    /// Returns whether a gateway may know published changes after `revision`.
    [[nodiscard]] auto has_newer(std::uint64_t revision) const -> bool { return newest_revision_ > revision; }
    /// Number of known gateways of other cells.
    [[nodiscard]] auto size() const -> std::size_t { return gateways_.size(); }
    /// Replaces the seed addresses when the settings change.
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Maximum number of known gateways.
    static constexpr std::size_t max_gateways = 4096;
    /// Maximum number of addresses of its own cell in the answer to a gateway that asks for them.
    static constexpr std::size_t max_members = 32;
    /// Number of further addresses in it. Without them all gateways would know the seeds only, and contact
    /// them in each round.
    static constexpr std::size_t further_contacts = 4;
    /// Rounds without a digest after which a gateway is removed, for each cell: each gateway sends to each of
    /// three seeds once in three rounds for each cell.
    static constexpr std::uint64_t rounds_until_expiry = 12;
    /// Length of a round.
    static constexpr duration round_length = 1s;
    /// The same while the gateway knows no other one of its cell. When all start at once, the seeds may not
    /// listen yet.
    static constexpr duration round_length_alone = 250ms;

private:
    /// Number of rounds over which the turns of gateways that start together are spread; more than cells
    /// times seeds of any fleet.
    static constexpr std::uint64_t turn_spread = 65'536;

    [[nodiscard]] auto is_seed(const std::string& address) const -> bool;

    struct known_gateway
    {
        std::uint64_t revision = 0;
        instant last_received_at{}; // if learned: when
        bool learned = false;       // named by others, not heard
    };

    std::string address_;
    std::vector<std::string> seeds_;
    std::map<std::string, known_gateway> gateways_; // by address
    std::uint64_t newest_revision_ = 0;
};

} // namespace dragonflymill::direct
