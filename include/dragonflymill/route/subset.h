#pragma once

#include "dragonflymill/route/upstream_description.h"

#include <cstddef>
#include <span>
#include <vector>

namespace dragonflymill {

/// Settings of the upstream subset of a gateway.
struct subset_settings
{
    process_id gateway; ///< Id of this gateway; each gateway gets a different subset.
    region_id region; ///< Region of this gateway; upstreams of other regions are used only if it has too few.
    std::size_t per_model = 16;      ///< Upstreams per model.
    std::size_t max_upstreams = 640; ///< Upstreams in total.

    friend auto operator==(const subset_settings&, const subset_settings&) -> bool = default;
};

/// Returns the upstreams that a gateway tracks in detail, sorted by id: for each model those with the highest
/// rendezvous scores, taken round-robin from the failure domains of its own region and then from the other
/// regions. The result depends only on the bundle and the gateway; adding or removing one upstream changes at
/// most one entry per model. If `max_upstreams` is reached, models late in name order get fewer.
[[nodiscard]] auto choose_subset(const subset_settings& settings,
                                 std::span<const upstream_description> upstreams)
    -> std::vector<upstream_description>;

} // namespace dragonflymill
