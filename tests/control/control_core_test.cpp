#include "control/control_core.h"

#include "bundle/signing.h"
#include "control/datagram_codec.h"
#include "control/platform_reader.h"

#include <criterion/criterion.h>

#include <map>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::control;

namespace {

constexpr std::size_t fleet = 30;

auto options_of(std::size_t number) -> control_core_options
{
    control_core_options options;
    auto& self = options.membership.self;
    self.id = process_id("p" + std::to_string(number));
    self.region = region_id("north");
    self.domain = failure_domain_id("d" + std::to_string(number % 3));
    self.host = host_id("h" + std::to_string(number));
    self.gossip_address = std::to_string(number);
    self.peer_address = self.gossip_address;
    options.membership.start = incarnation(1'000);
    options.membership.seeds = {"0"};
    options.bundle.trusted = test_partners();
    options.seal_keys = {"0123456789abcdef"};
    return options;
}

// Runs some processes whose datagrams and fetches arrive at once.
class core_fleet
{
public:
    core_fleet()
    {
        for (std::size_t at = 0; at < fleet; ++at) {
            cores.push_back(control_core::create(options_of(at), at, now).value());
        }
    }

    void run(duration time)
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (std::size_t at = 0; at < fleet; ++at) {
                carry_out(at, cores[at].tick(now, wall));
            }
        }
    }

    void carry_out(std::size_t at, const control_outputs& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* sent = std::get_if<send_bytes>(&output)) {
                const auto to = std::stoul(sent->address);
                carry_out(to, cores[to].datagram_arrived(now, sent->bytes, std::to_string(at)));
            }
            else if (const auto* manifest = std::get_if<fetch_peer_manifest>(&output)) {
                const auto& holder = cores[std::stoul(manifest->address)].keeper();
                carry_out(at, cores[at].manifest_arrived(now, {bundle_origin_kind::peer, manifest->peer},
                                                         holder.manifest_text()));
            }
            else if (const auto* sections = std::get_if<fetch_peer_sections>(&output)) {
                for (const auto& digest : sections->digests) {
                    const auto text = cores[std::stoul(sections->address)].keeper().section(digest);
                    carry_out(at, cores[at].section_arrived(now, *text));
                }
            }
        }
    }

    instant now{};
    wall_instant wall{};
    std::vector<control_core> cores;
};

} // namespace

Test(control_core, few_processes_watch_and_they_change)
{
    core_fleet world;
    world.run(20s);
    std::map<std::size_t, int> turns;
    for (int slot = 0; slot < 50; ++slot) {
        std::size_t watchers = 0;
        for (std::size_t at = 0; at < fleet; ++at) {
            const bool watches = world.cores[at].watches(world.now, wall_instant(1min * slot));
            watchers += watches ? 1 : 0;
            turns[at] += watches ? 1 : 0;
        }
        cr_assert(watchers == 3, "%zu", watchers);
    }
    cr_assert(turns.size() == fleet);
    for (const auto& [at, count] : turns) {
        cr_assert(count < 20);
    }
}

Test(control_core, a_bundle_given_to_one_is_in_force_at_all)
{
    core_fleet world;
    world.run(15s);
    const auto value = test_bundle(7);
    const bundle_origin origin{bundle_origin_kind::operator_push, {}};
    world.carry_out(
        4, world.cores[4].manifest_arrived(world.now, origin, encode_signed_manifest(test_signed(value))));
    for (const auto& text : section_texts(value)) {
        world.carry_out(4, world.cores[4].section_arrived(world.now, text));
    }
    world.run(5s);
    for (auto& core : world.cores) {
        const auto snapshot = core.take_snapshot(world.now);
        cr_assert(snapshot != nullptr && snapshot->word && snapshot->ready);
        cr_assert(core.take_snapshot(world.now) == nullptr, "nothing has changed since");
    }
}

Test(control_core, what_is_not_sealed_is_counted_and_dropped)
{
    auto core = control_core::create(options_of(0), 1, instant{}).value();
    cr_assert(core.datagram_arrived(instant{}, "no datagram", "x").empty());
    cr_assert(core.datagram_arrived(instant{}, "", "x").empty());
    cr_assert(core.refused_datagrams() == 2);
    auto nameless = options_of(0);
    nameless.membership.self.id = {};
    cr_assert(control_core::create(nameless, 1, instant{}).has_error());
}

Test(platform_reader, answers_are_read_or_refused)
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
