#include "dragonflymill/overload/paused_work.h"
#include "dragonflymill/overload/shedding_policies.h"
#include "support/fault_cell.h"

#include <map>
#include <string>

using namespace dragonflymill;

static_assert(overload_policy<random_shedding>);
static_assert(overload_policy<priority_shedding>);
static_assert(overload_policy<contribution_shedding>);

namespace {

constexpr instant now(100s);
constexpr load_signal within_bound{1s, 10s};
constexpr load_signal twice_the_bound{20s, 10s};

auto work(const std::string& account, work_priority priority, duration cost,
          length_class size = length_class::interactive) -> offered_work
{
    return {request_id(account), client_account_id(account), priority, size, cost, deadline_budget(now, 60s)};
}

auto running(const std::string& name, work_priority priority, duration left, duration limit) -> running_work
{
    return {{request_id(name), client_account_id("a"), priority, length_class::bulk, left,
             deadline_budget(now, limit)},
            left};
}

auto refused(const admission& decided) -> bool
{
    return std::holds_alternative<refusal>(decided);
}

/// Returns the fraction of the offers of each kind that a policy refuses while the load is twice the bound.
template <typename Policy>
auto refused_fractions(Policy& policy, const std::vector<offered_work>& kinds) -> std::vector<double>
{
    constexpr int rounds = 400;
    std::vector<double> parts(kinds.size(), 0.0);
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            parts[i] +=
                refused(policy.offer(now + 10ms * round, kinds[i], twice_the_bound)) ? 1.0 / rounds : 0.0;
        }
    }
    return parts;
}

} // namespace

Test(load_signal, excess_is_the_fraction_over_the_bound)
{
    cr_assert(within_bound.excess() == 0.0);
    cr_assert(twice_the_bound.excess() == 0.5);
    cr_assert(load_signal{}.excess() == 0.0);
}

Test(shedding, refuses_nothing_within_the_bound)
{
    contribution_shedding contribution(1);
    priority_shedding priority(1);
    random_shedding random(1);
    for (int i = 0; i < 100; ++i) {
        const auto each = work("a", work_priority::overnight, 10s);
        cr_assert(not refused(contribution.offer(now, each, within_bound)));
        cr_assert(not refused(priority.offer(now, each, within_bound)));
        cr_assert(not refused(random.offer(now, each, within_bound)));
    }
}

Test(shedding, same_inputs_give_the_same_decisions)
{
    const std::vector<offered_work> kinds{work("a", work_priority::urgent, 1s),
                                          work("b", work_priority::normal, 3s)};
    contribution_shedding one(7);
    contribution_shedding other(7);
    cr_assert(refused_fractions(one, kinds) == refused_fractions(other, kinds));
}

Test(priority_shedding, refuses_the_lowest_priority_first)
{
    priority_shedding policy(1);
    const auto parts =
        refused_fractions(policy, {work("a", work_priority::urgent, 1s), work("a", work_priority::normal, 1s),
                                   work("a", work_priority::overnight, 1s)});
    cr_assert(parts[0] == 0.0);
    cr_assert(parts[1] > 0.3 and parts[1] < 0.7, "half of all cost equals one and a half of the three kinds");
    cr_assert(parts[2] > 0.95);
}

Test(contribution_shedding, refuses_the_lowest_utility_for_its_cost_and_starves_no_class)
{
    contribution_shedding policy(1);
    const auto parts = refused_fractions(policy, {work("a", work_priority::normal, 100ms),
                                                  work("a", work_priority::normal, 10s, length_class::bulk)});
    cr_assert(parts[0] < 0.1);
    cr_assert(parts[1] > 0.4 and parts[1] <= 0.95);
}

Test(contribution_shedding, refuses_a_class_that_never_finishes_in_time)
{
    contribution_shedding policy(1);
    const auto always_late = work("a", work_priority::normal, 1s, length_class::medium);
    const auto always_in_time = work("a", work_priority::normal, 1s);
    for (int i = 0; i < 200; ++i) {
        policy.ended(now, always_late, false);
        policy.ended(now, always_in_time, true);
    }
    const auto parts = refused_fractions(policy, {always_late, always_in_time});
    cr_assert(parts[0] > 0.8 and parts[1] < 0.3);
}

FAULT_CELL(request_limit, two_faults)
{
    // During a shortage one large account sends ten times what its weight allows. Refusing by number alone
    // would refuse small accounts as often; the account over its share must be refused first.
    priority_shedding policy(1);
    std::vector<offered_work> kinds(11, work("large", work_priority::normal, 1s));
    kinds.front() = work("small", work_priority::normal, 1s);
    const auto parts = refused_fractions(policy, kinds);
    cr_assert(parts.front() < 0.1);
    cr_assert(parts.back() > 0.4);
}

FAULT_CELL(request_limit, upstream_cold)
{
    // Capacity is lost and the queue exceeds its bound. A request must be refused on arrival, not at its time
    // limit, as "not run" and with a time to retry after.
    random_shedding policy(1);
    const load_signal far_over_bound{1'000s, 1s};
    admission decided;
    while (!refused(decided)) {
        decided = policy.offer(now, work("a", work_priority::urgent, 1s), far_over_bound);
    }
    const auto& answer = std::get<refusal>(decided);
    cr_assert(answer.ran == ran_state::no and answer.code == refusal_code::overloaded);
    cr_assert(answer.retry_after >= 1s and answer.retry_after <= 30s);
}

Test(fair_shares, applies_weights_and_bounds_the_table)
{
    fair_shares shares({16, 10s, 1.2});
    shares.set_weight(client_account_id("large"), 10.0);
    shares.add_cost(now, client_account_id("large"), 50s);
    shares.add_cost(now, client_account_id("small"), 10s);
    cr_assert(not shares.over_share(now, client_account_id("large")));
    cr_assert(shares.over_share(now, client_account_id("small")));
    for (int i = 0; i < 100; ++i) {
        shares.add_cost(now, client_account_id(std::to_string(i)), 1ms);
    }
    cr_assert(shares.size() == 16);
    cr_assert(shares.over_share(now + 1ms, client_account_id("small")),
              "the accounts with the highest cost must be kept");
}

Test(pause, pauses_only_overnight_work_that_can_wait_highest_cost_first)
{
    contribution_shedding policy(1);
    const std::vector<running_work> all{running("doorstep", work_priority::urgent, 10s, 100s),
                                        running("late", work_priority::overnight, 10s, 15s),
                                        running("small", work_priority::overnight, 1s, 100s),
                                        running("large", work_priority::overnight, 11s, 100s)};
    cr_assert(policy.pause(now, within_bound, all).empty());
    const auto paused = policy.pause(now, twice_the_bound, all);
    cr_assert(paused.size() == 2);
    cr_assert(paused.front() == request_id("large"));
    cr_assert(paused.back() == request_id("small"));
}

FAULT_CELL(request_resume, paused_wakes_late)
{
    // Work is paused in a shortage that doesn't end. It must resume while it can still finish within its
    // limit, and expire at its limit if this process was itself paused beyond it.
    paused_work paused;
    cr_assert(paused.add(running("later", work_priority::overnight, 10s, 1'000s)));
    cr_assert(paused.add(running("summary", work_priority::overnight, 10s, 100s)));
    cr_assert(paused.next_wake() == now + 85s);
    cr_assert(paused.due(now + 84s, twice_the_bound) == paused_work_due{});
    cr_assert(paused.due(now + 85s, twice_the_bound).resume ==
              std::vector<request_id>(1, request_id("summary")));
    const auto late = paused.due(now + 2'000s, twice_the_bound);
    cr_assert(late.resume.empty() and late.expire == std::vector<request_id>(1, request_id("later")));
    cr_assert(paused.size() == 0);
}

Test(paused_work, resumes_gradually_at_low_load_and_is_bounded)
{
    paused_work paused({2, 0.7, 1});
    cr_assert(paused.add(running("b", work_priority::overnight, 1s, 200s)));
    cr_assert(paused.add(running("a", work_priority::overnight, 1s, 100s)));
    cr_assert(not paused.add(running("c", work_priority::overnight, 1s, 100s)));
    cr_assert(paused.due(now, within_bound).resume == std::vector<request_id>(1, request_id("a")));
    paused.remove(request_id("b"));
    cr_assert(paused.size() == 0 and not paused.next_wake().has_value());
}
