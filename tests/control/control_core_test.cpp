#include "control/control_core.h"

#include "control/platform_reader.h"
#include "core_fleet.h"

#include <criterion/criterion.h>

#include <map>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::control;
using namespace dragonflymill::test;

namespace {

constexpr std::size_t fleet_size = 30;

} // namespace

Test(control_core, only_three_processes_watch_and_watchers_rotate)
{
    core_fleet world(fleet_size);
    world.run(20s);
    std::map<std::size_t, int> watch_counts;
    for (int slot = 0; slot < 50; ++slot) {
        std::size_t watchers = 0;
        for (std::size_t at = 0; at < fleet_size; ++at) {
            const bool watches = world.cores[at]->watches(world.now, wall_instant(1min * slot));
            watchers += watches ? 1 : 0;
            watch_counts[at] += watches ? 1 : 0;
        }
        cr_assert(watchers == 3, "%zu", watchers);
    }
    cr_assert(watch_counts.size() == fleet_size);
    for (const auto& [at, count] : watch_counts) {
        cr_assert(count < 20);
    }
}

Test(control_core, a_bundle_pushed_to_one_process_reaches_all)
{
    core_fleet world(fleet_size);
    world.run(15s);
    world.push(4, test_bundle(7));
    world.run(5s);
    for (auto& core : world.cores) {
        const auto snapshot = core->take_snapshot(world.now);
        cr_assert(snapshot != nullptr && snapshot->word && snapshot->ready);
        cr_assert(core->take_snapshot(world.now) == nullptr, "nothing has changed since");
    }
}

Test(control_core, drops_and_counts_unsealed_datagrams)
{
    auto core = control_core::create(core_options(0), 1, instant{}).value();
    cr_assert(core.datagram_arrived(instant{}, "no datagram", "x").empty());
    cr_assert(core.datagram_arrived(instant{}, "", "x").empty());
    cr_assert(core.refused_datagrams() == 2);
    auto nameless = core_options(0);
    nameless.membership.self.id = {};
    cr_assert(control_core::create(nameless, 1, instant{}).has_error());
}

Test(platform_reader, parses_valid_responses_and_rejects_malformed_ones)
{
    const auto read = parse_config_value(200, R"({"revision":3,"value":"aGVsbG8="})");
    cr_assert(read.end == read_end::value && read.revision == 3 && read.value == "hello");
    cr_assert(parse_config_value(200, R"({"revision":3,"value":""})").value.empty());
    cr_assert(parse_config_value(404, "").end == read_end::none);
    cr_assert(parse_config_value(429, "").end == read_end::over_budget);
    for (const auto* wrong :
         {"", "{", "[]", R"({"revision":"x"})", R"({"revision":-1,"value":"aGVsbG8="})"}) {
        cr_assert(parse_config_value(200, wrong).end == read_end::failed, "%s", wrong);
    }
    const auto hosts = parse_host_list(
        200,
        R"({"hosts":[{"host":"h1","address":"1.2.3.4","state":"leaving"},{"host":"h2","state":"live"},{}]})");
    cr_assert(hosts.hosts.size() == 2 && hosts.hosts[0].leaving && !hosts.hosts[1].leaving);
    cr_assert(parse_host_list(200, "{}").end == read_end::failed);
}
