#include "dragonflymill/limit/account_limiter.h"
#include "limiter_simulation.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr double limit = limiter_simulation::limit;

// The documented bound, with a tenth more for the bursts and first requests of each gateway in a short run.
constexpr double partition_bound = 1.5 * 1.1;

void exceed_limit(limiter_simulation& simulation)
{
    std::fill(simulation.demand.begin(), simulation.demand.end(),
              3 * limit / static_cast<double>(simulation.demand.size()));
}

} // namespace

Test(account_limiter, admits_the_limit_over_all_gateways)
{
    limiter_simulation simulation(10, 1);
    exceed_limit(simulation);
    simulation.run(20s);
    const auto rate = simulation.run(30s);
    cr_assert(rate > 0.9 * limit && rate < 1.02 * limit, "%f", rate);
}

Test(account_limiter, gives_the_share_to_the_gateway_with_the_demand)
{
    limiter_simulation simulation(10, 2);
    exceed_limit(simulation);
    std::fill(simulation.demand.begin() + 1, simulation.demand.end(), 1);
    simulation.demand[0] = 3 * limit;
    simulation.run(20s);
    const auto rate = simulation.run(30s);
    cr_assert(rate > 0.85 * limit && rate < 1.02 * limit, "%f", rate);
    cr_assert(simulation.admitted_at[0] > simulation.admitted * 8 / 10);
}

Test(account_limiter, admits_traffic_below_the_limit)
{
    limiter_simulation simulation(10, 3);
    std::fill(simulation.demand.begin(), simulation.demand.end(), 0.5 * limit / 10);
    simulation.run(20s);
    const auto rate = simulation.run(30s);
    cr_assert(rate > 0.47 * limit, "%f", rate);
}

Test(account_limiter, same_inputs_give_the_same_admissions)
{
    const auto counts = [] {
        limiter_simulation simulation(7, 4);
        simulation.loss = 0.2;
        exceed_limit(simulation);
        simulation.run(20s);
        return simulation.admitted_at;
    };
    cr_assert(counts() == counts());
}

Test(account_limiter, limits_tokens_and_requests_in_flight)
{
    account_limiter limiter({.self = limiter_simulation::name(0)}, instant{});
    auto value = limiter_simulation::sample();
    value.accounts.front().max_in_flight = 2;
    value.accounts.front().tokens_per_second = 1'000;
    limiter.bundle_adopted(instant{}, value);
    const auto account = limiter_simulation::account();
    cr_assert(!limiter.admit(instant{}, account, 900));
    cr_assert(!limiter.admit(instant{}, account, 5'000), "a prompt may exceed the bucket");
    cr_assert(limiter.admit(instant{}, account, 1)->code == refusal_code::account_limit,
              "two requests are in flight");
    limiter.done(instant{}, account, 0);
    const auto refused = limiter.admit(instant{}, account, 1);
    cr_assert(refused && refused->retry_after > 4s && refused->ran == ran_state::no);
    cr_assert(!limiter.admit(instant{} + refused->retry_after, account, 1));
    cr_assert(limiter.admit(instant{}, client_account_id("nobody"), 1));
}

Test(account_limiter, applies_a_new_bundle_at_once)
{
    limiter_simulation simulation(5, 5);
    exceed_limit(simulation);
    simulation.run(20s);
    for (auto& limiter : simulation.limiters) {
        limiter.bundle_adopted(simulation.now, limiter_simulation::sample(limit / 4));
    }
    const auto rate = simulation.run(20s);
    cr_assert(rate < 0.3 * limit, "%f", rate);
}

Test(account_limiter, groups_share_requests_by_home_and_skips_idle_accounts)
{
    constexpr std::size_t account_count = 300;
    constexpr std::size_t gateway_count = 4;
    account_limiter limiter({.self = limiter_simulation::name(0)}, instant{});
    bundle value;
    for (std::size_t at = 0; at < account_count; ++at) {
        value.accounts.push_back(limiter_simulation::sample().accounts.front());
        value.accounts.back().id = client_account_id("a" + std::to_string(at));
    }
    limiter.bundle_adopted(instant{}, value);
    std::vector<process_id> gateways;
    for (std::size_t at = 0; at < gateway_count; ++at) {
        gateways.push_back(limiter_simulation::name(at));
    }
    limiter.gateways_changed(instant{}, gateways, gateway_count);
    for (const auto& account : value.accounts) {
        cr_assert(!limiter.admit(instant{}, account.id, 1));
    }
    const auto asked = limiter.tick(instant{} + 10ms);
    cr_assert(asked.size() == gateway_count, "requests must be grouped by home");
    std::size_t requests = 0;
    for (const auto& each : asked) {
        for (const auto& request : each.requests) {
            cr_assert(limiter.home(request.account) == each.home);
        }
        requests += each.requests.size();
    }
    cr_assert(requests == account_count);
    cr_assert(limiter.tick(instant{} + 10s).empty(), "no demand is unreported");
}

Test(account_limiter, reports_steady_demand_once_in_half_a_lease)
{
    limiter_simulation simulation(2, 12);
    std::fill(simulation.demand.begin(), simulation.demand.end(), 0.4 * limit);
    simulation.run(20s);
    simulation.share_messages = 0;
    simulation.run(60s);
    cr_assert(simulation.share_messages <= 2 * 60 / 3 + 2, "%lu", simulation.share_messages);
}

FAULT_CELL_MORE(request_limit, same_twice, joins_late)
{
    // A gateway joins while another holds the whole limit on a lease. Without an unleased part it would be
    // granted nothing until that lease is assigned anew, and refuse an account that is far below its limit.
    limiter_simulation simulation(10, 13);
    const auto busy = simulation.home(0) == 3 ? 4U : 3U;
    const auto joining = simulation.home(0) == 5 ? 6U : 5U;
    simulation.demand[busy] = 3 * limit;
    simulation.run(20'500ms);
    simulation.demand[joining] = 0.02 * limit;
    for (int second = 0; second < 3; ++second) {
        const auto rate = simulation.run(1s);
        cr_assert(simulation.admitted_at[joining] >= 1, "second %d", second);
        cr_assert(rate < 1.1 * limit, "%f", rate);
    }
}

FAULT_CELL(request_limit, partition)
{
    // Four of ten gateways lose the others, at first only for requests for shares and later in the
    // membership, until the partition heals. An account must get at most 1.5 times its limit meanwhile:
    // leases expire, and the smaller part uses its equal parts only.
    limiter_simulation simulation(10, 6);
    exceed_limit(simulation);
    simulation.run(20s);
    std::fill_n(simulation.side.begin(), 4, 1);
    cr_assert(simulation.run(5s) < partition_bound * limit);
    simulation.spread_membership();
    cr_assert(simulation.run(8s) < partition_bound * limit);
    const auto apart = simulation.run(60s);
    cr_assert(apart < partition_bound * limit && apart > 0.9 * limit, "%f", apart);
    std::fill_n(simulation.side.begin(), 4, 0);
    simulation.spread_membership();
    cr_assert(simulation.run(8s) < partition_bound * limit);
    simulation.run(8s);
    const auto healed = simulation.run(30s);
    cr_assert(healed > 0.9 * limit && healed < 1.02 * limit, "%f", healed);
}

FAULT_CELL_MORE(request_limit, partition, halves)
{
    // The gateways are split in two halves, neither of which is a majority. An account must get its limit
    // once and not twice: each half knows the configured number of gateways and grants no more than its equal
    // parts.
    limiter_simulation simulation(10, 7);
    exceed_limit(simulation);
    simulation.run(20s);
    std::fill_n(simulation.side.begin(), 5, 1);
    simulation.spread_membership();
    cr_assert(simulation.run(8s) < partition_bound * limit);
    const auto apart = simulation.run(60s);
    cr_assert(apart < 1.05 * limit, "%f", apart);
}

FAULT_CELL(request_limit, partition_one_way)
{
    // A gateway sees every other gateway alive, but no answer from the home reaches it. After its lease has
    // expired it must use an equal part, no less and no more.
    limiter_simulation simulation(10, 8);
    exceed_limit(simulation);
    simulation.run(20s);
    const auto cut = simulation.home(0) == 3 ? 4U : 3U;
    simulation.side[cut] = 1;
    const auto rate = simulation.run(60s);
    cr_assert(rate < partition_bound * limit);
    const auto own = static_cast<double>(simulation.admitted_at[cut]) / 60;
    cr_assert(own > 0.8 * limit / 10 && own < 1.3 * limit / 10, "%f", own);
}

FAULT_CELL(request_limit, process_dies)
{
    // The home of an account dies while its leases are still valid. The next home doesn't know them and would
    // grant the whole limit a second time, so it must renew only held parts until they have expired.
    limiter_simulation simulation(10, 9);
    const auto home = simulation.home(0);
    const auto busy = home == 3 ? 4U : 3U;
    const auto next = home == 5 ? 6U : 5U;
    simulation.demand[busy] = 3 * limit;
    simulation.run(20'500ms);
    simulation.paused[home] = true;
    simulation.spread_membership();
    simulation.demand[next] = 30 * limit;
    const auto just_after = simulation.run(1s);
    cr_assert(just_after < 1.4 * limit, "%f", just_after);
    cr_assert(simulation.run(6s) < 1.3 * limit);
    exceed_limit(simulation);
    simulation.run(10s);
    const auto rate = simulation.run(30s);
    cr_assert(rate > 0.9 * limit && rate < 1.02 * limit, "%f", rate);
}

FAULT_CELL(request_limit, paused_wakes_late)
{
    // The gateway with most of the demand is paused beyond its lease, and others take its share. When it
    // wakes its lease has expired, and only its equal part may be used.
    limiter_simulation simulation(10, 10);
    exceed_limit(simulation);
    const auto paused_gateway = simulation.home(0) == 5 ? 6U : 5U;
    simulation.demand[paused_gateway] = 10 * limit;
    simulation.run(20s);
    simulation.paused[paused_gateway] = true;
    simulation.run(20s);
    simulation.paused[paused_gateway] = false;
    simulation.run(limiter_simulation::tick_length);
    cr_assert(simulation.admitted_at[paused_gateway] < 0.15 * limit, "at most the burst of an equal part");
    const auto rate = simulation.run(2s);
    cr_assert(rate < 1.3 * limit, "%f", rate);
}

FAULT_CELL(request_limit, message_lost)
{
    // A fifth of the requests for shares are lost at random. Callers must still get nearly the whole limit,
    // since a lease is valid for three request intervals.
    limiter_simulation simulation(10, 11);
    simulation.loss = 0.2;
    exceed_limit(simulation);
    simulation.run(20s);
    const auto rate = simulation.run(60s);
    cr_assert(rate > 0.85 * limit && rate < 1.05 * limit, "%f", rate);
}

FAULT_CELL(request_limit, message_late)
{
    // A gateway is granted the whole limit, and the answer arrives after the lease has expired because it
    // waited in a queue. The lease counts from the request, so the answer must not be used.
    account_limiter limiter({.self = limiter_simulation::name(0)}, instant{});
    limiter.bundle_adopted(instant{}, limiter_simulation::sample());
    limiter.gateways_changed(instant{}, {limiter_simulation::name(0), limiter_simulation::name(1)}, 2);
    const auto account = limiter_simulation::account();
    cr_assert(!limiter.admit(instant{}, account, 1));
    const auto asked = limiter.tick(instant{} + 1s);
    cr_assert(asked.size() == 1 && asked.front().requests.size() == 1);
    const share_grant grant{account, limiter.home(account), true, 1, 6s};
    limiter.share_granted(instant{} + 20s, grant, asked.front().asked);
    cr_assert(limiter.part(instant{} + 20s, account) == 0.5);
    limiter.share_granted(instant{} + 2s, grant, asked.front().asked);
    cr_assert(limiter.part(instant{} + 2s, account) == 1);
}

FAULT_CELL(request_limit, message_reordered)
{
    // A gateway requests a share twice; the home's second answer leaves it a tenth, and the first one, with
    // the whole limit, arrives last. Counting an answer from the newest request would keep the whole limit in
    // use after its lease.
    account_limiter limiter({.self = limiter_simulation::name(0)}, instant{});
    limiter.bundle_adopted(instant{}, limiter_simulation::sample());
    limiter.gateways_changed(instant{}, {limiter_simulation::name(0), limiter_simulation::name(1)}, 2);
    const auto account = limiter_simulation::account();
    const auto request_at = [&](instant now) {
        cr_assert(!limiter.admit(now, account, 1));
        const auto asked = limiter.tick(now);
        cr_assert(asked.size() == 1 && asked.front().asked == now);
        return now;
    };
    const auto granted = [&](double part) {
        return share_grant{account, limiter.home(account), true, part, 6s};
    };
    const auto first = request_at(instant{} + 1s);
    const auto second = request_at(instant{} + 4s);
    limiter.share_granted(instant{} + 5s, granted(1), first);
    cr_assert(limiter.part(instant{} + 6s, account) == 1);
    cr_assert(limiter.part(instant{} + 8s, account) == 0.5, "the first lease expires at 7 s");
    limiter.share_granted(instant{} + 8s, granted(0.1), second);
    const auto held = limiter.part(instant{} + 8s, account);
    limiter.share_granted(instant{} + 9s, granted(1), first);
    cr_assert(limiter.part(instant{} + 9s, account) == held && held < 0.2);
}

FAULT_CELL(request_limit, message_doubled)
{
    // The home receives the same request twice, duplicated by the network or repeated by the gateway. It must
    // grant the part once.
    share_home home;
    const share_rules rules{6s, 1, 0.5, false};
    const auto first =
        home.grant(instant{}, {limiter_simulation::account(), limiter_simulation::name(0), 1, 0}, rules);
    const auto second =
        home.grant(instant{}, {limiter_simulation::account(), limiter_simulation::name(0), 1, 0}, rules);
    cr_assert(first.part == 1 && second.part == 1);
    const auto other =
        home.grant(instant{}, {limiter_simulation::account(), limiter_simulation::name(1), 9, 0}, rules);
    cr_assert(other.part == 0, "the whole limit is leased");
    const auto later =
        home.grant(instant{} + 6s, {limiter_simulation::account(), limiter_simulation::name(1), 9, 0}, rules);
    cr_assert(later.part == 1);
}
