#include "dragonflymill/route/length_lanes.h"
#include "dragonflymill/route/subset.h"
#include "route/route_fixture.h"
#include "support/fault_cell.h"

#include <algorithm>
#include <map>
#include <set>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

auto settings_of(std::size_t gateway, std::size_t per_model) -> subset_settings
{
    return {process_id("g" + std::to_string(gateway)), region_id("r"), per_model, 640};
}

auto names(const std::vector<upstream_description>& upstreams) -> std::set<std::string>
{
    std::set<std::string> found;
    for (const auto& each : upstreams) {
        found.insert(each.id.text());
    }
    return found;
}

} // namespace

Test(subset, is_bounded_deterministic_and_spread_over_domains)
{
    const auto all = make_upstreams(600);
    const auto subset = choose_subset(settings_of(1, 16), all);
    cr_assert(subset.size() == 16);
    cr_assert(subset == choose_subset(settings_of(1, 16), all));
    std::map<failure_domain_id, int> domains;
    for (const auto& each : subset) {
        ++domains[each.failure_domain];
    }
    for (const auto& [domain, count] : domains) {
        cr_assert(count >= 5);
    }
}

Test(subset, every_upstream_is_tracked_by_at_least_one_gateway)
{
    const auto all = make_upstreams(600);
    std::map<std::string, int> trackers;
    for (std::size_t gateway = 0; gateway < 410; ++gateway) {
        for (const auto& name : names(choose_subset(settings_of(gateway, 16), all))) {
            ++trackers[name];
        }
    }
    cr_assert(trackers.size() == 600);
}

Test(subset, prefers_the_gateways_own_region)
{
    auto all = make_upstreams(12);
    for (std::size_t i = 0; i < 8; ++i) {
        all[i].region = region_id("far");
    }
    const auto subset = names(choose_subset(settings_of(1, 6), all));
    for (const char* near : {"u08", "u09", "u10", "u11"}) {
        cr_assert(subset.count(near) == 1);
    }
    cr_assert(subset.size() == 6);
}

FAULT_CELL(request_route, config_stale)
{
    // Guards against losing prefix cache locality on every configuration change: when one upstream leaves the
    // bundle, at most its own entry in the subset may change.
    const auto all = make_upstreams(100);
    for (std::size_t gone = 0; gone < all.size(); ++gone) {
        auto fewer = all;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        const auto before = names(choose_subset(settings_of(1, 16), all));
        const auto after = names(choose_subset(settings_of(1, 16), fewer));
        std::vector<std::string> kept;
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                              std::back_inserter(kept));
        cr_assert(kept.size() >= 15);
    }
}

Test(length_lanes, reserves_a_share_in_each_domain_but_never_all_upstreams)
{
    auto all = make_upstreams(12);
    reserve_for_short(0.25, all);
    std::set<failure_domain_id> domains;
    for (const auto& each : all) {
        if (!each.takes_bulk) {
            cr_assert(domains.insert(each.failure_domain).second,
                      "at most one reserved upstream per failure domain");
        }
    }
    cr_assert(domains.size() == 3);
    auto single = make_upstreams(1);
    reserve_for_short(1.0, single);
    cr_assert(single.front().takes_bulk);
}
