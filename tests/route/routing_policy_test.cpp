#include "dragonflymill/route/baseline_policies.h"
#include "dragonflymill/route/length_lanes.h"
#include "dragonflymill/route/predicted_first_token.h"
#include "dragonflymill/route/router.h"
#include "route/route_fixture.h"
#include "support/fault_cell.h"

#include <numeric>
#include <set>

using namespace dragonflymill;
using namespace dragonflymill::test;

static_assert(routing_policy<round_robin>);
static_assert(routing_policy<least_outstanding>);
static_assert(routing_policy<power_of_two>);
static_assert(routing_policy<predicted_first_token>);

namespace {

auto chosen(const route_decision& decision) -> route_choice
{
    cr_assert(std::holds_alternative<route_choice>(decision));
    return std::get<route_choice>(decision);
}

/// Router over `count` idle upstreams that have all reported their load at the start.
template <typename Policy>
auto idle_router(Policy policy, std::size_t count) -> router<Policy>
{
    router<Policy> router_under_test(std::move(policy));
    cr_assert(router_under_test.table().configure(make_upstreams(count)).has_value());
    for (const auto& each : make_upstreams(count)) {
        router_under_test.report(at(0s), each.id, queued_load(length_class::interactive, 0));
    }
    return router_under_test;
}

/// Choices of a router for 100 requests that are sent one after the other.
template <typename Policy>
auto choose_for_100_requests(Policy policy) -> std::vector<route_choice>
{
    auto router_under_test = idle_router(std::move(policy), 5);
    std::vector<route_choice> choices;
    for (int i = 0; i < 100; ++i) {
        route_request request = make_request("r" + std::to_string(i), 500 + 700 * (i % 9));
        request.blocks = {static_cast<block_hash>(i % 4), 5, 6, static_cast<block_hash>(i % 4)};
        choices.push_back(chosen(router_under_test.choose(at(1ms * i), request)));
        cr_assert(router_under_test.sent(at(1ms * i), request, attempt_number(1), choices.back()));
    }
    return choices;
}

} // namespace

Test(routing_policy, same_inputs_give_the_same_choices)
{
    cr_assert(choose_for_100_requests(round_robin()) == choose_for_100_requests(round_robin()));
    cr_assert(choose_for_100_requests(least_outstanding()) == choose_for_100_requests(least_outstanding()));
    cr_assert(choose_for_100_requests(power_of_two(3)) == choose_for_100_requests(power_of_two(3)));
    cr_assert(choose_for_100_requests(predicted_first_token()) ==
              choose_for_100_requests(predicted_first_token()));
}

Test(predicted_first_token, considers_queues_of_the_same_and_shorter_classes_only)
{
    auto router_under_test = idle_router(predicted_first_token(), 2);
    router_under_test.report(at(1ms), upstream_id("u00"), queued_load(length_class::interactive, 8'000));
    cr_assert(chosen(router_under_test.choose(at(2ms), make_request("r", 1'000))).upstream ==
              upstream_id("u01"));
    router_under_test.report(at(3ms), upstream_id("u00"), queued_load(length_class::bulk, 8'000));
    router_under_test.report(at(3ms), upstream_id("u01"), queued_load(length_class::interactive, 8'000));
    cr_assert(chosen(router_under_test.choose(at(4ms), make_request("r", 1'000))).upstream ==
              upstream_id("u00"));
}

Test(predicted_first_token, prefers_a_cached_prefix_unless_its_queue_costs_more)
{
    auto router_under_test = idle_router(predicted_first_token(), 4);
    route_request request = make_request("r", 20'000);
    request.blocks.resize(70);
    std::iota(request.blocks.begin(), request.blocks.end(), block_hash(1));
    router_under_test.prefixes().sent(upstream_id("u02"), request.blocks);
    const auto choice = chosen(router_under_test.choose(at(1ms), request));
    cr_assert(choice.upstream == upstream_id("u02"));
    cr_assert(choice.reason == route_reason::prefix_cached);
    cr_assert(choice.prefill == 20'000 - 70 * block_tokens);
    router_under_test.report(at(2ms), upstream_id("u02"), queued_load(length_class::interactive, 100'000));
    cr_assert(chosen(router_under_test.choose(at(3ms), request)).upstream != upstream_id("u02"));
}

Test(predicted_first_token, gateways_agree_on_the_preferred_upstream_and_avoid_it_when_overloaded)
{
    route_request request = make_request("r", 2'000);
    request.blocks = {11, 12, 13, 14, 15};
    auto one = idle_router(predicted_first_token(), 8);
    auto other = idle_router(predicted_first_token(), 8);
    const auto home = chosen(one.choose(at(1ms), request));
    request.id = request_id("another");
    cr_assert(chosen(other.choose(at(1ms), request)).upstream == home.upstream);
    cr_assert(home.reason == route_reason::prefix_home);
    one.report(at(2ms), home.upstream, queued_load(length_class::interactive, 50'000));
    const auto next = chosen(one.choose(at(3ms), request));
    cr_assert(next.upstream != home.upstream);
    cr_assert(next.reason == route_reason::left_home);
}

Test(predicted_first_token, long_prompts_use_reserved_upstreams_only_for_large_savings)
{
    auto upstreams = make_upstreams(8);
    reserve_for_short(0.25, upstreams);
    for (const token_count prompt : {16'000, 200'000}) {
        const double prefill = static_cast<double>(prompt) / upstreams.front().prefill_rate;
        for (const bool saves_much : {false, true}) {
            router<predicted_first_token> router_under_test{predicted_first_token()};
            cr_assert(router_under_test.table().configure(upstreams).has_value());
            // A third of the queueing time is decode steps, so the two cases are clearly below and above the
            // reserved_weight of 12 prefill times.
            const double wait = prefill * (saves_much ? 16.0 : 6.0);
            const auto queue = static_cast<token_count>(wait * upstreams.front().prefill_rate);
            for (const auto& each : upstreams) {
                router_under_test.report(at(0s), each.id,
                                         queued_load(length_class::medium, each.takes_bulk ? queue : 0));
            }
            const auto choice = chosen(router_under_test.choose(at(1ms), make_request("r", prompt)));
            cr_assert(router_under_test.table().find(choice.upstream)->description().takes_bulk !=
                      saves_much);
        }
    }
}

FAULT_CELL_MORE(request_route, partition, herd)
{
    // Guards against herding: many gateways with the same stale load reports, because newer ones don't
    // arrive, would all choose the same least loaded engine and flood it. Equal costs must be spread over
    // several engines.
    std::set<upstream_id> used;
    auto router_under_test = idle_router(predicted_first_token(), 8);
    for (int i = 0; i < 64; ++i) {
        used.insert(
            chosen(router_under_test.choose(at(1ms), make_request("r" + std::to_string(i), 1'000))).upstream);
    }
    cr_assert(used.size() >= 3,
              "requests must be spread over at least the engines of the gateway's own domain");
}

FAULT_CELL_MORE(request_route, domain_out, every_policy)
{
    // Guards against a policy that ignores a drained failure domain because it keeps its own list of
    // upstreams. Every policy makes 100 choices after the drain.
    const auto check_avoids_domain_a = [](auto policy) {
        auto router_under_test = idle_router(std::move(policy), 6);
        router_under_test.table().set_drained(failure_domain_id("a"), true);
        for (int i = 0; i < 100; ++i) {
            const route_request request = make_request("r" + std::to_string(i), 1'000);
            const auto choice = chosen(router_under_test.choose(at(1ms), request));
            cr_assert(router_under_test.table().find(choice.upstream)->description().failure_domain !=
                      failure_domain_id("a"));
        }
    };
    check_avoids_domain_a(round_robin());
    check_avoids_domain_a(least_outstanding());
    check_avoids_domain_a(power_of_two(1));
    check_avoids_domain_a(predicted_first_token());
}

FAULT_CELL_MORE(request_route, upstream_cold, all_full)
{
    // Guards against a final refusal ("no route") while the only engines are warming up with full ramps: the
    // refusal must name the temporary reason and a retry delay.
    auto router_under_test = idle_router(predicted_first_token(), 2);
    for (const char* name : {"u00", "u01"}) {
        upstream_load cold = queued_load(length_class::interactive, 0);
        cold.cold = true;
        cold.allowed = 100;
        cold.outstanding = 100;
        router_under_test.report(at(1ms), upstream_id(name), cold);
    }
    const auto decision = router_under_test.choose(at(2ms), make_request("r", 1'000));
    const auto* refused = std::get_if<route_refusal>(&decision);
    cr_assert(refused != nullptr);
    cr_assert(refused->code == refusal_code::upstream_cold);
    cr_assert(refused->retry_after > duration::zero());
}

FAULT_CELL_MORE(request_route, two_faults, restart)
{
    // Guards against routing to a cache lost in an engine restart whose cache events were lost too: a load
    // report of the new incarnation must clear the prefix map's entries.
    auto router_under_test = idle_router(predicted_first_token(), 3);
    route_request request = make_request("r", 2'000);
    request.blocks = {1, 2, 3, 4, 5, 6, 7};
    router_under_test.prefixes().sent(upstream_id("u01"), request.blocks);
    cr_assert(chosen(router_under_test.choose(at(1ms), request)).reason == route_reason::prefix_cached);
    upstream_load restarted = queued_load(length_class::interactive, 0);
    restarted.start = incarnation(2);
    router_under_test.report(at(2ms), upstream_id("u01"), restarted);
    cr_assert(chosen(router_under_test.choose(at(3ms), request)).reason != route_reason::prefix_cached);
}
