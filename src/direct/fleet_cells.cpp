#include "dragonflymill/direct/fleet_cells.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <bit>

namespace dragonflymill::direct {

namespace {

/// Differs from the seeds of other uses of the hash, so that cells are independent of those.
constexpr std::uint64_t cell_seed = 0xce11;

auto hash_of(std::string_view address) -> cell_id
{
    return static_cast<cell_id>(stable_hash(address, cell_seed));
}

} // namespace

fleet_cells::fleet_cells(std::string_view address)
    : hash_(hash_of(address))
{
}

auto fleet_cells::update(std::size_t largest_service, instant now) -> bool
{
    const cell_id wanted = count_for(largest_service);
    if (wanted == count_) {
        differs_since_.reset();
        return false;
    }
    if (!differs_since_) {
        differs_since_ = now;
    }
    if (count_ && now - *differs_since_ < settle_time) {
        return false;
    }
    const bool changed = wanted != count();
    count_ = wanted;
    differs_since_.reset();
    return changed;
}

auto fleet_cells::cell_of(std::string_view address) const -> cell_id
{
    return hash_of(address) & (count() - 1);
}

auto fleet_cells::parts_of(std::size_t upstreams) const -> cell_id
{
    return std::min(count(), count_for(upstreams));
}

auto fleet_cells::in_own_part(std::uint64_t upstream_key, std::size_t upstreams) const -> bool
{
    const auto part = static_cast<cell_id>(mix_bits(upstream_key ^ cell_seed));
    return ((part ^ own()) & (parts_of(upstreams) - 1)) == 0;
}

auto fleet_cells::count_for(std::size_t upstreams) -> cell_id
{
    return std::bit_floor(static_cast<cell_id>(std::max<std::size_t>(upstreams / min_part_size, 1)));
}

} // namespace dragonflymill::direct
