#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflymill::direct {

/// Identifies a cell: less than the number of cells.
using cell_id = std::uint32_t;

/// Division of a large fleet into cells, each of which has a part of the gateways and a part of the upstreams
/// of each large service.
///
/// Without cells, each gateway receives the load reports of all gateways and examines all upstreams for each
/// call, so the cost of a gateway grows with the fleet, and that of the whole fleet with its square. A cell
/// has the size of a medium fleet, whatever the size of the whole.
///
/// Gateways and upstreams belong to cells by their hash, and the number of cells follows from the number of
/// upstreams, so all gateways agree without coordination. The number is a power of two: when it doubles, each
/// cell is split and nothing moves between the others.
class fleet_cells
{
public:
    /// `address` is that of this gateway.
    explicit fleet_cells(std::string_view address);

    /// Sets the number of upstreams of the largest service; returns true if the number of cells changed. The
    /// first call takes effect at once, later ones after `settle_time`.
    auto update(std::size_t largest_service, instant now) -> bool;
    /// Whether the number of cells is known, which takes the published records.
    [[nodiscard]] auto known() const -> bool { return count_.has_value(); }
    /// Number of cells; 1 while it isn't known.
    [[nodiscard]] auto count() const -> cell_id { return count_.value_or(1); }
    /// Cell of this gateway.
    [[nodiscard]] auto own() const -> cell_id { return hash_ & (count() - 1); }
    /// Cell of the gateway at an address.
    [[nodiscard]] auto cell_of(std::string_view address) const -> cell_id;
    /// Whether the gateway at an address is in the cell of this one.
    [[nodiscard]] auto is_own(std::string_view address) const -> bool { return cell_of(address) == own(); }

    /// Number of parts into which the upstreams of a service are divided. The cells share the parts of a
    /// service that has fewer parts than there are cells.
    [[nodiscard]] auto parts_of(std::size_t upstreams) const -> cell_id;
    /// Whether an upstream is in this gateway's part of a service with so many upstreams.
    [[nodiscard]] auto in_own_part(std::uint64_t upstream_key, std::size_t upstreams) const -> bool;

    /// Number of cells for so many upstreams of one service.
    [[nodiscard]] static auto count_for(std::size_t upstreams) -> cell_id;

    /// Minimum mean number of upstreams in a part. A prompt of a million tokens takes sixteen engines at
    /// once, and in a smaller part a few of them would take most engines from all other calls.
    static constexpr std::size_t min_part_size = 96;
    /// Time for which the records must call for another number of cells: the number of upstreams varies
    /// around a limit while they are replaced one after the other.
    static constexpr duration settle_time = 5s;

private:
    cell_id hash_;
    std::optional<cell_id> count_;
    std::optional<instant> differs_since_;
};

} // namespace dragonflymill::direct
