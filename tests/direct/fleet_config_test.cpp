#include "dragonflymill/direct/fleet_config.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto route(const char* name, const char* host, const char* prefix, duration pause = 0ms) -> route_rule
{
    route_rule rule;
    rule.name = name;
    rule.host = host;
    rule.path_prefix = prefix;
    rule.tbt_target = pause;
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

Test(fleet_config, the_longest_prefix_of_the_host_wins)
{
    const fleet_config whole = config();
    cr_assert(whole.match_route("a.example", "/x/y/z")->name == "deep");
    cr_assert(whole.match_route("a.example", "/x/z")->name == "mid");
    cr_assert(whole.match_route("a.example", "/x")->name == "whole");
    cr_assert(whole.match_route("b.example", "/x/y/z") == nullptr);
}

Test(fleet_config, a_key_belongs_to_its_account)
{
    const fleet_config whole = config();
    cr_assert(whole.find_account("k2")->name == "acme");
    cr_assert(whole.find_account("k3") == nullptr);
    cr_assert(whole.find_service("engines")->max_connections == 10);
    cr_assert(whole.find_service("other") == nullptr);
}

Test(fleet_config, the_tightest_pause_of_a_service_is_that_of_its_strictest_route)
{
    cr_assert(config().tightest_tbt_target("engines") == duration(200ms));
    cr_assert(!config().tightest_tbt_target("other"));
}

Test(fleet_config, a_stream_may_be_repeated_only_if_it_may_be_resumed)
{
    route_rule rule = route("r", "h", "/");
    rule.kind = call_kind::streaming;
    cr_assert(!rule.repeatable());
    rule.resumable = true;
    cr_assert(rule.repeatable());
    rule.kind = call_kind::non_idempotent;
    cr_assert(!rule.repeatable());
}

// Half of a route's calls go to a new service. A call that is tried again, at this gateway or another, must
// meet the same service: the other may not know what the first has done.
Test(fleet_config, a_request_goes_to_the_same_service_each_time_by_weight)
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
