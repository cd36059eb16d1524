#include "dragonflymill/direct/domain_outages.h"
#include "outage_world.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr std::int64_t short_prompt = 500;
constexpr std::int64_t long_prompt = 60'000;
constexpr duration loss_at = 1s;
/// From the loss until calls avoid the domain: a connect timeout and the digests.
constexpr duration avoided_after = outage_world::connect_timeout + 100ms;
/// Calls that a gateway may send to a lost domain until its entries are gone: two first probes and late ones.
constexpr int allowed_per_gateway = 3;

/// A domain that loses its power: its upstreams and gateways.
auto lost_domain(int domain, std::int64_t prompt_tokens) -> outage_scenario
{
    outage_scenario scenario;
    scenario.prompt_tokens = prompt_tokens;
    scenario.calls_per_s = prompt_tokens == short_prompt ? 900.0 : 60.0;
    scenario.length = loss_at + 3s;
    scenario.reaches = [domain](int, int upstream, duration at) {
        return at < loss_at || upstream % 3 != domain;
    };
    scenario.runs = [domain](int gateway, duration at) { return at < loss_at || gateway % 3 != domain; };
    return scenario;
}

} // namespace

// Guards against each gateway finding out by itself, call by call, that a domain is lost.
Test(domain_outages, short_calls_avoid_a_lost_domain)
{
    outage_world world(lost_domain(2, short_prompt));
    world.run();
    const int late = world.sent_to(2, loss_at + avoided_after, loss_at + 3s);
    cr_log_info("early %d late %d", world.sent_to(2, loss_at, loss_at + avoided_after), late);
    cr_assert(late <= 4 * allowed_per_gateway, "%d calls", late);
    cr_assert(world.believers(2) == 4, "%d", world.believers(2));
}

// Guards against long prompts that place parts in a lost domain until each of its engines was named.
Test(domain_outages, long_prompts_place_no_parts_in_a_lost_domain)
{
    outage_world world(lost_domain(2, long_prompt));
    world.run();
    const int late = world.sent_to(2, loss_at + avoided_after, loss_at + 3s);
    cr_log_info("early %d late %d", world.sent_to(2, loss_at, loss_at + avoided_after), late);
    cr_assert(late <= 4 * allowed_per_gateway, "%d parts", late);
    cr_assert(world.believers(2) == 4, "%d", world.believers(2));
}

// Guards against a gateway's broken link to a domain that all others then avoid.
Test(domain_outages, broken_link_of_one_gateway_binds_that_one_only)
{
    outage_scenario scenario;
    scenario.reaches = [](int gateway, int upstream, duration at) {
        return at < loss_at || gateway != 0 || upstream % 3 != 2;
    };
    outage_world world(scenario);
    world.run();
    cr_assert(world.believers(2) == 1);
    cr_assert(world.gateways[0]->dispatcher.domains().is_out("d2"));
    const int own = world.sent_to(2, loss_at + avoided_after, 3s, 0);
    const int all = world.sent_to(2, loss_at + avoided_after, 3s);
    cr_log_info("own %d all %d", own, all);
    cr_assert(own <= allowed_per_gateway, "%d calls", own);
    cr_assert(all > 20 * allowed_per_gateway, "the others still use it: %d", all);
}

// Guards against a gateway that is cut off taking its own fault for that of the domains.
Test(domain_outages, gateway_that_is_cut_off_believes_no_domain_out)
{
    outage_scenario scenario;
    scenario.reaches = [](int gateway, int, duration at) { return at < loss_at || gateway != 0; };
    outage_world world(scenario);
    world.run();
    cr_assert(world.gateways[0]->dispatcher.domains().count() == 0);
    for (int domain = 0; domain < 3; ++domain) {
        cr_assert(world.believers(domain) <= 1, "only the gateway itself, before it knew of the others");
    }
}

// Guards against a crashed upstream, found by all gateways, that costs the service its whole domain.
Test(domain_outages, crashed_upstream_is_no_outage)
{
    outage_scenario scenario;
    scenario.reaches = [](int, int upstream, duration at) { return at < loss_at || upstream != 5; };
    outage_world world(scenario);
    world.run();
    cr_assert(world.believers(2) == 0);
}

// Guards against capacity that stays unused after a domain is back, whether its entries say so or not.
Test(domain_outages, domain_that_comes_back_is_used_again)
{
    for (const bool published : {false, true}) {
        outage_scenario scenario = lost_domain(2, short_prompt);
        scenario.length = 10s;
        scenario.runs = [](int, duration) { return true; };
        const duration back_at = loss_at + 2s;
        scenario.reaches = [back_at](int, int upstream, duration at) {
            return at < loss_at || at >= back_at || upstream % 3 != 2;
        };
        outage_scenario calm = scenario;
        calm.reaches = [](int, int, duration) { return true; };
        outage_world undisturbed(calm);
        undisturbed.run();
        outage_world* running = nullptr;
        scenario.publish = [&](upstream_list&, duration at) {
            for (int i = 2; published && at == back_at + 500ms && i < 54; i += 3) {
                running->publish(i, 2, outage_world::start + at);
            }
        };
        outage_world world(scenario);
        running = &world;
        world.run();
        const duration used_from = back_at + (published ? 700ms : domain_outages::max_probe_delay + 1500ms);
        const int used = world.sent_to(2, used_from, used_from + 1s);
        const int usual = undisturbed.sent_to(2, used_from, used_from + 1s);
        cr_log_info("usual %d used %d", usual, used);
        cr_assert(used * 3 > usual * 2, "%d calls, usually %d, published %d", used, usual,
                  static_cast<int>(published));
        for (const auto& each : world.gateways) {
            cr_assert(each->dispatcher.domains().count() == 0);
        }
    }
}

// Guards against all gateways probing a domain at once, over and over, while its entries can't be read.
Test(domain_outages, probes_are_few_while_the_records_are_away)
{
    outage_scenario scenario = lost_domain(2, short_prompt);
    scenario.length = loss_at + 20s;
    outage_world world(scenario);
    world.run();
    const int probes = world.sent_to(2, loss_at + avoided_after, scenario.length);
    cr_log_info("%d probes", probes);
    cr_assert(probes >= 4 && probes <= 4 * 20 / 4 * 2, "%d", probes);
}

// Guards against calls that are refused or wait because the only domain is avoided.
Test(domain_outages, only_domain_is_never_out)
{
    outage_scenario scenario = lost_domain(0, short_prompt);
    scenario.domains = 1;
    scenario.runs = [](int, duration) { return true; };
    scenario.reaches = [](int, int upstream, duration at) { return at < loss_at || upstream % 3 != 2; };
    outage_world world(scenario);
    world.run();
    for (const auto& each : world.gateways) {
        cr_assert(each->dispatcher.domains().count() == 0);
    }
}

// Guards against costs that grow by the square of the gateways: calls lost to the domain, and digests told at
// once.
Test(domain_outages, losses_grow_no_faster_than_the_gateways)
{
    for (const int factor : {1, 2, 4}) {
        outage_scenario scenario = lost_domain(2, short_prompt);
        scenario.gateways = 6 * factor;
        scenario.upstreams = 54 * factor;
        scenario.calls_per_s = 900.0 * factor;
        outage_world world(scenario);
        world.run();
        const int late = world.sent_to(2, loss_at + avoided_after, loss_at + 3s);
        cr_log_info("factor %d: early %d late %d", factor, world.sent_to(2, loss_at, loss_at + avoided_after),
                    late);
        cr_assert(late <= 4 * factor * allowed_per_gateway, "%d calls", late);
        cr_assert(world.believers(2) == 4 * factor);
    }
}
