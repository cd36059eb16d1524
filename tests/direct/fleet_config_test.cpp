#include "dragonflymill/direct/fleet_config.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto route(const char* name, const char* host, const char* prefix, duration tbt_target = 0ms) -> route_rule
{
    route_rule rule;
    rule.name = name;
    rule.host = host;
    rule.path_prefix = prefix;
    rule.tbt_target = tbt_target;
    rule.services = {{"engines", 1}};
    return rule;
}

auto config() -> fleet_config
{
    fleet_config::parts parts;
    parts.version = 4;
    parts.routes = {route("whole", "a.example", "/", 500ms), route("deep", "a.example", "/x/y/", 200ms),
                    route("mid", "a.example", "/x/")};
    parts.services = {{"engines", 10, 3s, 38.0, std::nullopt}};
    parts.accounts = {{"acme", {"k1", "k2"}, 1}};
    parts.requires_api_key = true;
    return fleet_config(std::move(parts));
}

} // namespace

Test(fleet_config, matches_the_longest_path_prefix_of_the_host)
{
    const fleet_config fleet = config();
    cr_assert(fleet.match_route("a.example", "/x/y/z")->name == "deep");
    cr_assert(fleet.match_route("a.example", "/x/z")->name == "mid");
    cr_assert(fleet.match_route("a.example", "/x")->name == "whole");
    cr_assert(fleet.match_route("b.example", "/x/y/z") == nullptr);
}

Test(fleet_config, finds_accounts_by_key_and_services_by_name)
{
    const fleet_config fleet = config();
    cr_assert(fleet.find_account("k2")->name == "acme");
    cr_assert(fleet.find_account("k3") == nullptr);
    cr_assert(fleet.find_service("engines")->max_connections == 10);
    cr_assert(fleet.find_service("other") == nullptr);
}

Test(fleet_config, the_tightest_tbt_target_of_a_service_is_that_of_its_strictest_route)
{
    cr_assert(config().tightest_tbt_target("engines") == duration(200ms));
    cr_assert(!config().tightest_tbt_target("other"));
}

Test(fleet_config, a_stream_is_repeatable_only_if_it_is_resumable)
{
    route_rule rule = route("r", "h", "/");
    rule.kind = call_kind::streaming;
    cr_assert(!rule.repeatable());
    rule.resumable = true;
    cr_assert(rule.repeatable());
    rule.kind = call_kind::non_idempotent;
    cr_assert(!rule.repeatable());
}

// When a route is split between two services, a retry must go to the same service, at this gateway or
// another: the other service does not know what the first has done.
Test(fleet_config, selects_the_same_service_for_each_attempt_in_proportion_to_the_weights)
{
    route_rule route;
    route.services = {{"old", 1}, {"new", 3}};
    int fresh = 0;
    for (int i = 0; i < 400; ++i) {
        const std::string request = "request-" + std::to_string(i);
        cr_assert(route.service_for(request) == route.service_for(request));
        fresh += route.service_for(request) == "new" ? 1 : 0;
    }
    cr_assert(fresh > 260 && fresh < 340, "%d of 400 with three quarters of the weight", fresh);
    route.services = {{"only", 0}};
    cr_assert(route.service_for("request") == "only");
}
