// Measures a direct gateway's decisions in fleets of several sizes, in microseconds: placing a short and a
// long prompt, a round of long calls for which no engine has capacity, and applying another gateway's digest.
// Prints Markdown.
#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/peer_message.h"
#include "edge/peer_codec.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);
constexpr const char* service_name = "engines";
constexpr int slots_each = 10;

auto engine_id(int number) -> std::string
{
    return "i-" + std::to_string(stable_hash("engine", static_cast<std::uint64_t>(number)));
}

auto fleet_of(int engines) -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    route_rule route;
    route.name = "chat";
    route.kind = call_kind::streaming;
    route.services = {{service_name, 1}};
    route.tbt_target = 250ms;
    parts.routes = {route};
    const engine_profile figures{slots_each, 450'000, 73, 0.925, 0.00483, 0.00254, 256.0, 0.0917, 2048};
    parts.services = {{service_name, 50, 3s, 18.0, figures}};
    fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
    for (int i = 0; i < engines; ++i) {
        upstream_entry entry;
        entry.id = engine_id(i);
        entry.service = service_name;
        entry.failure_domain = "domain-" + std::to_string(i % 5);
        entry.slots = slots_each;
        fleet.take("upstream " + entry.id, entry, start);
    }
    return fleet;
}

/// Load report of one gateway with `calls_each` calls at every 25th engine, or every 100th if the report is
/// not complete.
auto report_of(int gateway, std::uint64_t sequence, int engines, int calls_each, bool whole) -> load_report
{
    load_report report{"gateway-" + std::to_string(gateway) + "#1764756138000000", sequence, whole, {}};
    for (int i = gateway % 25; i < engines; i += whole ? 25 : 100) {
        upstream_load& load = report.loads[stable_hash(engine_id(i))];
        load.short_calls = calls_each;
        load.memory_tokens = calls_each * 6'600;
        load.tightest_tbt_target = 250ms;
    }
    return report;
}

auto call(std::uint64_t id, std::int64_t prompt, duration latency_target, duration tbt_target) -> waiting_call
{
    waiting_call made;
    made.id = id;
    made.service = service_name;
    made.prompt_tokens = prompt;
    made.answer_tokens = 1'600;
    made.tbt_target = tbt_target;
    made.latency_target_at = start + latency_target;
    made.aim = latency_target;
    made.client_timeout_at = start + 10s;
    made.deadline_at = start + 15s;
    made.queue_timeout_at = start + 10s;
    return made;
}

template <typename Work>
auto microseconds(int rounds, const Work& work) -> double
{
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work(i);
    }
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begun;
    return taken.count() / rounds;
}

void measure(int gateways, int engines)
{
    const upstream_list fleet = fleet_of(engines);
    const auto dispatcher_with = [&](int calls_each) {
        call_dispatcher made({"domain-1", {0.2, 276.0, 10s}, 1});
        made.set_gateways(gateways);
        for (int i = 0; i < gateways; ++i) {
            made.loads().apply_report(report_of(i, 1, engines, calls_each, true), start);
        }
        return made;
    };
    call_dispatcher usual = dispatcher_with(1);
    const auto place = [&](std::int64_t prompt, duration latency_target, duration tbt_target) {
        return microseconds(300, [&](int i) {
            usual.add(call(static_cast<std::uint64_t>(i), prompt, latency_target, tbt_target));
            const dispatch_round round = usual.decide(fleet, start);
            for (const dispatch_assignment& order : round.orders) {
                usual.finish(order.placed, start);
            }
        });
    };
    const double short_us = place(5'000, 300ms, 250ms);
    const double long_us = place(300'000, 4s, 1s);
    call_dispatcher full = dispatcher_with(4);
    for (std::uint64_t id = 0; id < 8; ++id) {
        full.add(call(id, id % 2 == 0 ? 300'000 : 45'000, 4s, id % 2 == 0 ? 1s : 600ms));
    }
    const double waiting_us = microseconds(100, [&](int) { (void)full.decide(fleet, start); });

    peer_table peers("self", "10.0.0.1:1", {});
    const double digest_us = microseconds(20'000, [&](int i) {
        peer_message message;
        const auto sequence = static_cast<std::uint64_t>(i) + 2;
        message.report = report_of(i % gateways, sequence, engines, 1, false);
        message.digest.gateway = message.report.gateway;
        message.digest.sequence = message.report.sequence;
        message.digest.address = "10.2.0.1:7340";
        const auto taken = edge::decode_datagram(edge::encode_datagram({"", false, {message}}));
        (void)peers.take(taken->messages.front().digest, start);
        usual.loads().apply_report(taken->messages.front().report, start);
    });
    const double tick_us = microseconds(300, [&](int) {
        usual.report_suspects(fleet, start);
        (void)peers.expire_peers(start);
        (void)peers.targets();
    });
    std::printf("| %d | %d | %.0f | %.0f | %.0f | %.1f | %.1f |\n", gateways, engines, short_us, long_us,
                waiting_us, digest_us, tick_us);
}

} // namespace

auto main() -> int
{
    std::printf("| gateways | engines | short prompt, us | long prompt, us | eight that wait, us | digest, "
                "us | tick, us "
                "|\n|--:|--:|--:|--:|--:|--:|--:|\n");
    measure(3, 16);
    measure(32, 54);
    measure(103, 135);
    measure(410, 600);
    return 0;
}
