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
constexpr load_signal calm{1s, 10s};
constexpr load_signal half_over{20s, 10s};

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

/// Parts of the offers of each kind that a policy refuses while half of all cost is too much.
template <typename Policy>
auto refused_parts(Policy& policy, const std::vector<offered_work>& kinds) -> std::vector<double>
{
    constexpr int rounds = 400;
    std::vector<double> parts(kinds.size(), 0.0);
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            parts[i] += refused(policy.offer(now + 10ms * round, kinds[i], half_over)) ? 1.0 / rounds : 0.0;
        }
    }
    return parts;
}

} // namespace

Test(load_signal, excess_is_the_part_over_the_bound)
{
    cr_assert(calm.excess() == 0.0);
    cr_assert(half_over.excess() == 0.5);
    cr_assert(load_signal{}.excess() == 0.0);
}

Test(shedding, nothing_is_refused_while_the_bound_is_kept)
{
    contribution_shedding contribution(1);
    priority_shedding priority(1);
    random_shedding random(1);
    for (int i = 0; i < 100; ++i) {
        const auto each = work("a", work_priority::overnight, 10s);
        cr_assert(not refused(contribution.offer(now, each, calm)));
        cr_assert(not refused(priority.offer(now, each, calm)));
        cr_assert(not refused(random.offer(now, each, calm)));
    }
}

Test(shedding, same_inputs_give_the_same_decisions)
{
    const std::vector<offered_work> kinds{work("a", work_priority::urgent, 1s),
                                          work("b", work_priority::normal, 3s)};
    contribution_shedding one(7);
    contribution_shedding other(7);
    cr_assert(refused_parts(one, kinds) == refused_parts(other, kinds));
}

Test(priority_shedding, refuses_the_lowest_priority_first)
{
    priority_shedding policy(1);
    const auto parts =
        refused_parts(policy, {work("a", work_priority::urgent, 1s), work("a", work_priority::normal, 1s),
                               work("a", work_priority::overnight, 1s)});
    cr_assert(parts[0] == 0.0);
    cr_assert(parts[1] > 0.3 and parts[1] < 0.7, "half of all cost is one and a half kinds");
    cr_assert(parts[2] > 0.95);
}

Test(contribution_shedding, refuses_what_costs_most_for_its_worth_and_starves_no_class)
{
    contribution_shedding policy(1);
    const auto parts = refused_parts(policy, {work("a", work_priority::normal, 100ms),
                                              work("a", work_priority::normal, 10s, length_class::bulk)});
    cr_assert(parts[0] < 0.1);
    cr_assert(parts[1] > 0.4 and parts[1] <= 0.95);
}

Test(contribution_shedding, what_never_ends_in_time_is_worth_nothing)
{
    contribution_shedding policy(1);
    const auto hopeless = work("a", work_priority::normal, 1s, length_class::medium);
    const auto useful = work("a", work_priority::normal, 1s);
    for (int i = 0; i < 200; ++i) {
        policy.ended(now, hopeless, false);
        policy.ended(now, useful, true);
    }
    const auto parts = refused_parts(policy, {hopeless, useful});
    cr_assert(parts[0] > 0.8 and parts[1] < 0.3);
}

FAULT_CELL(request_limit, two_faults)
{
    // Small members get no answers while one large account sends ten times what its weight allows, during a
    // shortage. Cause: overload refuses by number; the account over its share has to go first.
    priority_shedding policy(1);
    std::vector<offered_work> kinds(11, work("large", work_priority::normal, 1s));
    kinds.front() = work("small", work_priority::normal, 1s);
    const auto parts = refused_parts(policy, kinds);
    cr_assert(parts.front() < 0.1);
    cr_assert(parts.back() > 0.4);
}

FAULT_CELL(request_limit, upstream_cold)
{
    // A caller waits for its whole limit and is refused then. Capacity is gone, the queue is over its bound.
    // Cause: refusal at the end, not at the start; it comes at once, is true, and says when to come back.
    random_shedding policy(1);
    const load_signal gone{1'000s, 1s};
    admission decided;
    while (!refused(decided)) {
        decided = policy.offer(now, work("a", work_priority::urgent, 1s), gone);
    }
    const auto& answer = std::get<refusal>(decided);
    cr_assert(answer.ran == ran_state::no and answer.code == refusal_code::overloaded);
    cr_assert(answer.retry_after >= 1s and answer.retry_after <= 30s);
}

Test(fair_shares, weights_count_and_the_table_is_bounded)
{
    fair_shares shares({16, 10s, 1.2});
    shares.set_weight(client_account_id("large"), 10.0);
    shares.asked(now, client_account_id("large"), 50s);
    shares.asked(now, client_account_id("small"), 10s);
    cr_assert(not shares.over_share(now, client_account_id("large")));
    cr_assert(shares.over_share(now, client_account_id("small")));
    for (int i = 0; i < 100; ++i) {
        shares.asked(now, client_account_id(std::to_string(i)), 1ms);
    }
    cr_assert(shares.size() == 16);
    cr_assert(shares.over_share(now + 1ms, client_account_id("small")), "the largest users are remembered");
}

Test(pause, takes_only_overnight_work_that_can_wait_and_the_most_cost_first)
{
    contribution_shedding policy(1);
    const std::vector<running_work> all{running("doorstep", work_priority::urgent, 10s, 100s),
                                        running("late", work_priority::overnight, 10s, 15s),
                                        running("small", work_priority::overnight, 1s, 100s),
                                        running("large", work_priority::overnight, 11s, 100s)};
    cr_assert(policy.pause(now, calm, all).empty());
    const auto paused = policy.pause(now, half_over, all);
    cr_assert(paused.size() == 2);
    cr_assert(paused.front() == request_id("large"));
    cr_assert(paused.back() == request_id("small"));
}

FAULT_CELL(request_resume, paused_wakes_late)
{
    // A season's summary is neither answered nor refused. It is paused in a shortage that does not end.
    // Cause: a pause without an end; it resumes while it can still end in its limit, and ends with its limit
    // if this process was itself paused past it.
    paused_work paused;
    cr_assert(paused.add(running("later", work_priority::overnight, 10s, 1'000s)));
    cr_assert(paused.add(running("summary", work_priority::overnight, 10s, 100s)));
    cr_assert(paused.next_wake() == now + 85s);
    cr_assert(paused.due(now + 84s, half_over) == paused_work_due{});
    cr_assert(paused.due(now + 85s, half_over).resume == std::vector<request_id>(1, request_id("summary")));
    const auto late = paused.due(now + 2'000s, half_over);
    cr_assert(late.resume.empty() and late.expire == std::vector<request_id>(1, request_id("later")));
    cr_assert(paused.size() == 0);
}

Test(paused_work, resumes_bit_by_bit_when_it_is_calm_and_is_bounded)
{
    paused_work paused({2, 0.7, 1});
    cr_assert(paused.add(running("b", work_priority::overnight, 1s, 200s)));
    cr_assert(paused.add(running("a", work_priority::overnight, 1s, 100s)));
    cr_assert(not paused.add(running("c", work_priority::overnight, 1s, 100s)));
    cr_assert(paused.due(now, calm).resume == std::vector<request_id>(1, request_id("a")));
    paused.remove(request_id("b"));
    cr_assert(paused.size() == 0 and not paused.next_wake().has_value());
}
