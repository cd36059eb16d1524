#pragma once

#include "dragonflymill/route/upstream_description.h"

#include <cstddef>
#include <span>
#include <vector>

namespace dragonflymill {

/// How a gateway's subset of the upstreams is chosen.
struct subset_settings
{
    process_id gateway;              ///< This gateway; another one gets another subset.
    region_id region;                ///< Its region; upstreams of others only fill up.
    std::size_t per_model = 16;      ///< Upstreams of each model.
    std::size_t max_upstreams = 640; ///< Upstreams in all.

    friend auto operator==(const subset_settings&, const subset_settings&) -> bool = default;
};

/// The upstreams that a gateway tracks in detail, by name: for each model the ones with the highest
/// rendezvous score, taken in turn from each failure domain of the own region and then from the other
/// regions. The same bundle gives the same subset; one upstream more or less moves at most one place a model.
/// Models at the end of the name order get fewer if `max_upstreams` is reached.
[[nodiscard]] auto choose_subset(const subset_settings& settings,
                                 std::span<const upstream_description> upstreams)
    -> std::vector<upstream_description>;

} // namespace dragonflymill
