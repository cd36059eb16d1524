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

Test(subset, is_bounded_spread_over_domains_and_the_same_each_time)
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

Test(subset, every_upstream_is_tracked_by_some_gateway_of_many)
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

Test(subset, takes_the_own_region_first)
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
    // Each change of configuration empties the caches that a gateway's callers rely on. One upstream leaves
    // the bundle. Cause: the subset is dealt anew; only the place of the one that left may change.
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

Test(length_lanes, reserve_a_share_in_each_domain_and_never_all)
{
    auto all = make_upstreams(12);
    reserve_for_short(0.25, all);
    std::set<failure_domain_id> domains;
    for (const auto& each : all) {
        if (!each.takes_bulk) {
            cr_assert(domains.insert(each.failure_domain).second, "one of each domain");
        }
    }
    cr_assert(domains.size() == 3);
    auto single = make_upstreams(1);
    reserve_for_short(1.0, single);
    cr_assert(single.front().takes_bulk);
}
