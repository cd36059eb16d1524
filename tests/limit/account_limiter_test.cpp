#include "dragonflymill/limit/account_limiter.h"
#include "limiter_simulation.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr double limit = limiter_simulation::limit;

// The stated bound, with what a burst and a first request at each gateway add in a short run.
constexpr double partition_bound = 1.5 * 1.1;

void ask_too_much(limiter_simulation& world)
{
    std::fill(world.demand.begin(), world.demand.end(), 3 * limit / static_cast<double>(world.demand.size()));
}

} // namespace

Test(account_limiter, all_gateways_together_admit_the_limit)
{
    limiter_simulation world(10, 1);
    ask_too_much(world);
    world.run(20s);
    const auto rate = world.run(30s);
    cr_assert(rate > 0.9 * limit && rate < 1.02 * limit, "%f", rate);
}

Test(account_limiter, the_gateway_with_the_demand_gets_the_share)
{
    limiter_simulation world(10, 2);
    ask_too_much(world);
    std::fill(world.demand.begin() + 1, world.demand.end(), 1);
    world.demand[0] = 3 * limit;
    world.run(20s);
    const auto rate = world.run(30s);
    cr_assert(rate > 0.85 * limit && rate < 1.02 * limit, "%f", rate);
    cr_assert(world.admitted_at[0] > world.admitted * 8 / 10);
}

Test(account_limiter, what_stays_below_the_limit_is_never_refused)
{
    limiter_simulation world(10, 3);
    std::fill(world.demand.begin(), world.demand.end(), 0.5 * limit / 10);
    world.run(20s);
    const auto rate = world.run(30s);
    cr_assert(rate > 0.47 * limit, "%f", rate);
}

Test(account_limiter, same_inputs_give_the_same_admissions)
{
    const auto counts = [] {
        limiter_simulation world(7, 4);
        world.loss = 0.2;
        ask_too_much(world);
        world.run(20s);
        return world.admitted_at;
    };
    cr_assert(counts() == counts());
}

Test(account_limiter, tokens_and_requests_under_way_are_limited_too)
{
    account_limiter limiter({.self = limiter_simulation::name(0)}, instant{});
    auto value = limiter_simulation::sample();
    value.accounts.front().max_in_flight = 2;
    value.accounts.front().tokens_per_second = 1'000;
    limiter.bundle_adopted(instant{}, value);
    const auto account = limiter_simulation::account();
    cr_assert(!limiter.admit(instant{}, account, 900));
    cr_assert(!limiter.admit(instant{}, account, 5'000), "a prompt may be larger than what is saved up");
    cr_assert(limiter.admit(instant{}, account, 1)->code == refusal_code::account_limit, "two are under way");
    limiter.done(instant{}, account, 0);
    const auto refused = limiter.admit(instant{}, account, 1);
    cr_assert(refused && refused->retry_after > 4s && refused->ran == ran_state::no);
    cr_assert(!limiter.admit(instant{} + refused->retry_after, account, 1));
    cr_assert(limiter.admit(instant{}, client_account_id("nobody"), 1));
}

Test(account_limiter, a_new_bundle_changes_the_limit_at_once)
{
    limiter_simulation world(5, 5);
    ask_too_much(world);
    world.run(20s);
    for (auto& limiter : world.limiters) {
        limiter.bundle_adopted(world.now, limiter_simulation::sample(limit / 4));
    }
    const auto rate = world.run(20s);
    cr_assert(rate < 0.3 * limit, "%f", rate);
}

Test(account_limiter, asks_go_to_each_home_together_and_only_for_accounts_with_requests)
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
    cr_assert(asked.size() == gateway_count, "one message a home, not one an account");
    std::size_t requests = 0;
    for (const auto& each : asked) {
        for (const auto& request : each.requests) {
            cr_assert(limiter.home(request.account) == each.home);
        }
        requests += each.requests.size();
    }
    cr_assert(requests == account_count);
    cr_assert(limiter.tick(instant{} + 10s).empty(), "nobody has asked for anything since");
}

Test(account_limiter, steady_demand_is_told_once_in_half_a_lease)
{
    limiter_simulation world(2, 12);
    std::fill(world.demand.begin(), world.demand.end(), 0.4 * limit);
    world.run(20s);
    world.asks = 0;
    world.run(60s);
    cr_assert(world.asks <= 2 * 60 / 3 + 2, "%lu", world.asks);
}

FAULT_CELL_MORE(request_limit, same_twice, joins_late)
{
    // Callers of a gateway that has just been started are refused for seconds although their account is far
    // from its limit there. Order: one gateway holds the whole limit on a lease; another joins, asks, and is
    // granted nothing until that lease is dealt anew. Cause: all of the limit was out on leases.
    limiter_simulation world(10, 13);
    const auto busy = world.home(0) == 3 ? 4U : 3U;
    const auto joins = world.home(0) == 5 ? 6U : 5U;
    world.demand[busy] = 3 * limit;
    world.run(20'500ms);
    world.demand[joins] = 0.02 * limit;
    for (int second = 0; second < 3; ++second) {
        const auto rate = world.run(1s);
        cr_assert(world.admitted_at[joins] >= 1, "second %d", second);
        cr_assert(rate < 1.1 * limit, "%f", rate);
    }
}

FAULT_CELL(request_limit, partition)
{
    // The partner sees an account get at most one and a half times its limit while gateways are cut off.
    // Order: four of ten gateways lose the others, at once for their asks, later by membership; then it
    // heals. Cause: nobody can count together; leases run out, and the smaller part keeps to its equal parts.
    limiter_simulation world(10, 6);
    ask_too_much(world);
    world.run(20s);
    std::fill_n(world.side.begin(), 4, 1);
    cr_assert(world.run(5s) < partition_bound * limit);
    world.spread_membership();
    cr_assert(world.run(8s) < partition_bound * limit);
    const auto apart = world.run(60s);
    cr_assert(apart < partition_bound * limit && apart > 0.9 * limit, "%f", apart);
    std::fill_n(world.side.begin(), 4, 0);
    world.spread_membership();
    cr_assert(world.run(8s) < partition_bound * limit);
    world.run(8s);
    const auto healed = world.run(30s);
    cr_assert(healed > 0.9 * limit && healed < 1.02 * limit, "%f", healed);
}

FAULT_CELL_MORE(request_limit, partition, halves)
{
    // The partner sees an account get its limit once, not twice, when the fleet is cut in two halves.
    // Order: five of ten gateways lose the other five; neither half is a majority.
    // Cause: each half knows how many there should be and grants no more than its equal parts.
    limiter_simulation world(10, 7);
    ask_too_much(world);
    world.run(20s);
    std::fill_n(world.side.begin(), 5, 1);
    world.spread_membership();
    cr_assert(world.run(8s) < partition_bound * limit);
    const auto apart = world.run(60s);
    cr_assert(apart < 1.05 * limit, "%f", apart);
}

FAULT_CELL(request_limit, partition_one_way)
{
    // Callers of a gateway whose asks are lost get an equal part, no less and no more.
    // Order: the gateway sees everyone alive, but no answer from the home reaches it.
    // Cause: a link is broken one way; the lease runs out.
    limiter_simulation world(10, 8);
    ask_too_much(world);
    world.run(20s);
    const auto cut = world.home(0) == 3 ? 4U : 3U;
    world.side[cut] = 1;
    const auto rate = world.run(60s);
    cr_assert(rate < partition_bound * limit);
    const auto own = static_cast<double>(world.admitted_at[cut]) / 60;
    cr_assert(own > 0.8 * limit / 10 && own < 1.3 * limit / 10, "%f", own);
}

FAULT_CELL(request_limit, process_dies)
{
    // Callers go on within the limit when the account's home dies.
    // Order: the home dies; its leases run on; the next home renews only what is held until they have run
    // out.
    // Cause: a new home remembers nothing and would grant the whole limit a second time.
    limiter_simulation world(10, 9);
    const auto home = world.home(0);
    const auto busy = home == 3 ? 4U : 3U;
    const auto next = home == 5 ? 6U : 5U;
    world.demand[busy] = 3 * limit;
    world.run(20'500ms);
    world.paused[home] = true;
    world.spread_membership();
    world.demand[next] = 30 * limit;
    const auto just_after = world.run(1s);
    cr_assert(just_after < 1.4 * limit, "%f", just_after);
    cr_assert(world.run(6s) < 1.3 * limit);
    ask_too_much(world);
    world.run(10s);
    const auto rate = world.run(30s);
    cr_assert(rate > 0.9 * limit && rate < 1.02 * limit, "%f", rate);
}

FAULT_CELL(request_limit, paused_wakes_late)
{
    // The partner sees no second limit from a gateway that slept with a large share.
    // Order: the gateway with most of the demand is paused past its lease; others take its share; it wakes.
    // Cause: its lease ran out while it slept; only its equal part is left.
    limiter_simulation world(10, 10);
    ask_too_much(world);
    const auto sleeper = world.home(0) == 5 ? 6U : 5U;
    world.demand[sleeper] = 10 * limit;
    world.run(20s);
    world.paused[sleeper] = true;
    world.run(20s);
    world.paused[sleeper] = false;
    world.run(limiter_simulation::tick_length);
    cr_assert(world.admitted_at[sleeper] < 0.15 * limit, "no more than an equal part's burst");
    const auto rate = world.run(2s);
    cr_assert(rate < 1.3 * limit, "%f", rate);
}

FAULT_CELL(request_limit, message_lost)
{
    // Callers get nearly the whole limit although a fifth of the asks are lost.
    // Order: asks are lost at random; leases hold for three ask intervals.
    // Cause: a lossy network.
    limiter_simulation world(10, 11);
    world.loss = 0.2;
    ask_too_much(world);
    world.run(20s);
    const auto rate = world.run(60s);
    cr_assert(rate > 0.85 * limit && rate < 1.05 * limit, "%f", rate);
}

FAULT_CELL(request_limit, message_late)
{
    // The partner sees no more than the limit when a grant arrives long after it was given.
    // Order: a gateway asks, is granted the whole, and the answer arrives after the lease has run out.
    // Cause: answers wait in queues; a lease counts from the asking.
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
    // The partner sees more than the limit: a gateway goes on with the whole of it after its lease.
    // Order: a gateway asks, and asks again; the home's second answer leaves it a tenth, its first one, with
    // the whole, comes last. Cause: an answer was counted from the newest ask, whichever it answered.
    account_limiter limiter({.self = limiter_simulation::name(0)}, instant{});
    limiter.bundle_adopted(instant{}, limiter_simulation::sample());
    limiter.gateways_changed(instant{}, {limiter_simulation::name(0), limiter_simulation::name(1)}, 2);
    const auto account = limiter_simulation::account();
    const auto ask_at = [&](instant now) {
        cr_assert(!limiter.admit(now, account, 1));
        const auto asked = limiter.tick(now);
        cr_assert(asked.size() == 1 && asked.front().asked == now);
        return now;
    };
    const auto granted = [&](double part) {
        return share_grant{account, limiter.home(account), true, part, 6s};
    };
    const auto first = ask_at(instant{} + 1s);
    const auto second = ask_at(instant{} + 4s);
    limiter.share_granted(instant{} + 5s, granted(1), first);
    cr_assert(limiter.part(instant{} + 6s, account) == 1);
    cr_assert(limiter.part(instant{} + 8s, account) == 0.5, "the first lease ended at 7 s");
    limiter.share_granted(instant{} + 8s, granted(0.1), second);
    const auto held = limiter.part(instant{} + 8s, account);
    limiter.share_granted(instant{} + 9s, granted(1), first);
    cr_assert(limiter.part(instant{} + 9s, account) == held && held < 0.2);
}

FAULT_CELL(request_limit, message_doubled)
{
    // The partner sees no more than the limit when an ask arrives twice.
    // Order: the home hears the same ask twice and grants the same part, not two.
    // Cause: the network doubles, or the asker tries again.
    share_home home;
    const share_rules rules{6s, 1, 0.5, false};
    const auto first =
        home.grant(instant{}, {limiter_simulation::account(), limiter_simulation::name(0), 1, 0}, rules);
    const auto second =
        home.grant(instant{}, {limiter_simulation::account(), limiter_simulation::name(0), 1, 0}, rules);
    cr_assert(first.part == 1 && second.part == 1);
    const auto other =
        home.grant(instant{}, {limiter_simulation::account(), limiter_simulation::name(1), 9, 0}, rules);
    cr_assert(other.part == 0, "all of it is out on a lease");
    const auto later =
        home.grant(instant{} + 6s, {limiter_simulation::account(), limiter_simulation::name(1), 9, 0}, rules);
    cr_assert(later.part == 1);
}
