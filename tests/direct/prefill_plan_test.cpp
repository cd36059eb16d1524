#include "dragonflymill/direct/prefill_plan.h"
#include "engine_samples.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

void add_short_streams(dispatch_candidate& engine, int count)
{
    engine.load.short_calls = count;
    engine.load.memory_tokens = 6'600 * count;
    engine.load.tightest_tbt_target = tight_tbt_target;
}

auto long_call(std::int64_t tokens, duration time_to_target) -> call_requirements
{
    return {tokens, 800, 800ms, 12s, time_to_target, "a", 1, 3s};
}

auto engine_named(const std::vector<dispatch_candidate>& all, const std::string& id)
    -> const dispatch_candidate&
{
    return *std::find_if(all.begin(), all.end(), [&](const auto& engine) { return engine.id == id; });
}

} // namespace

// A burst of short prompts fills all engines but two when a long prompt arrives late. Prefilled by the first
// engine with capacity, for three seconds, it made all ten answers there miss their TBT target. It must go to
// the engines without streams.
Test(prefill_plan, late_prompt_is_not_prefilled_beside_streams)
{
    auto all = idle_engines(14);
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i != 11 && i != 12) {
            add_short_streams(all[i], 10);
        }
    }
    const auto choice =
        engine_dispatch(sample_profile(), tight_tbt_target).choose(long_call(210'000, -100ms), all).choice;
    cr_assert(choice.has_value());
    cr_assert(in_flight(engine_named(all, choice->upstream)) == 0, "%s has streams",
              choice->upstream.c_str());
}

// All engines decode a few short streams when a prompt of 100,000 tokens arrives. With a strict bound on the
// prefill beside streams no part was short enough, and one engine prefilled it for 0.9 s, at the cost of all
// its streams. Parts of 0.1 s on nine engines cost none of them its TBT target.
Test(prefill_plan, short_parts_beside_streams_are_preferred_to_one_long_prefill)
{
    auto all = idle_engines(14);
    for (auto& engine : all) {
        add_short_streams(engine, 6);
    }
    const auto choice =
        engine_dispatch(sample_profile(), tight_tbt_target).choose(long_call(100'000, 3s), all).choice;
    cr_assert(choice.has_value());
    cr_assert(choice->prefill_time < 120ms, "%ld us each", static_cast<long>(choice->prefill_time.count()));
}

// A prefill that delays many streams waits while its client has time left, and runs before the client
// disconnects: a long prompt has the utility of as many short ones as its tokens pay for.
Test(prefill_plan, accepted_cost_grows_with_the_time_waited)
{
    auto all = idle_engines(4);
    for (auto& engine : all) {
        add_short_streams(engine, 5);
    }
    const engine_forecast forecast(sample_profile());
    const auto acceptable = [&](duration time_to_target) {
        const call_requirements call = long_call(210'000, time_to_target);
        const prefill_planner planner(forecast, 120ms, call, all);
        const auto plan = planner.best(all);
        return plan && planner.acceptable(*plan);
    };
    cr_assert(!acceptable(3s));
    cr_assert(acceptable(1600ms));
}

Test(prefill_plan, streams_with_longer_tbt_targets_allow_longer_parts)
{
    auto all = idle_engines(2);
    const call_requirements call = long_call(45'000, 3s);
    const engine_forecast forecast(sample_profile());
    const prefill_planner planner(forecast, 120ms, call, all);
    all[0].load.long_calls = 2;
    all[0].load.tightest_tbt_target = 800ms;
    cr_assert(planner.best_for(all[0]).cost == 0.0);
    all[0].load.tightest_tbt_target = tight_tbt_target;
    cr_assert(planner.best_for(all[0]).cost > 1.0);
}

// Long answers are concentrated on few engines to keep the others free for prefill: the decode engine changes
// only for one that is clearly better.
Test(prefill_plan, long_answers_stay_on_few_engines)
{
    auto all = idle_engines(14);
    const engine_dispatch policy(sample_profile(), tight_tbt_target);
    const auto first = policy.choose(long_call(45'000, 3s), all).choice;
    auto& decode_engine =
        *std::find_if(all.begin(), all.end(), [&](auto& e) { return e.id == first->upstream; });
    decode_engine.load.long_calls = 1;
    decode_engine.load.tightest_tbt_target = 800ms;
    cr_assert(policy.choose(long_call(45'000, 3s), all).choice->upstream == first->upstream);
}

// A burst of short prompts leaves one engine behind the partition boundary, but a prompt of a million tokens
// needs the memory of three. When only that engine was considered, the prompt waited until the burst was over
// although memory was free on all engines.
Test(prefill_plan, largest_prompts_use_memory_of_engines_with_short_streams)
{
    auto all = idle_engines(14);
    for (std::size_t i = 0; i + 1 < all.size(); ++i) {
        add_short_streams(all[i], 12);
    }
    const engine_forecast forecast(sample_profile());
    const call_requirements call = long_call(1'000'000, 3s);
    const auto plan = prefill_planner(forecast, 120ms, call, all).best(std::span(all).last(1));
    cr_assert(plan.has_value());
    std::int64_t reserved = plan->decode_memory_tokens;
    for (const auto& share : plan->prefill_engines) {
        reserved += share.reserved_tokens;
    }
    cr_assert(reserved >= 1'000'800);
}

namespace {

/// Returns engines of which the first `busy` each have one prefill part of the given length.
auto engines_with_busy(int count, std::size_t busy, duration prefill_time) -> std::vector<dispatch_candidate>
{
    auto all = idle_engines(count);
    for (std::size_t i = 0; i < busy; ++i) {
        all[i].load.parts = 1;
        all[i].load.pending_prefill = prefill_time;
    }
    return all;
}

void assert_prefilled_by_idle_engines(const dispatch_decision& decision,
                                      const std::vector<dispatch_candidate>& all, std::size_t min_count)
{
    cr_assert(decision.choice.has_value());
    cr_assert(decision.choice->prefill_engines.size() >= min_count);
    for (const prefill_share& share : decision.choice->prefill_engines) {
        cr_assert(engine_named(all, share.upstream).load.parts == 0, "%s is busy", share.upstream.c_str());
    }
}

} // namespace

// Long prompts arrive in a burst, each with a target of sixteen of twenty-four engines. While fourteen
// engines prefilled one, the next waited for them until it was late, although ten were idle.
Test(prefill_plan, long_prompt_uses_idle_engines_if_they_finish_sooner)
{
    const auto all = engines_with_busy(24, 14, 500ms);
    const engine_dispatch policy(sample_profile(), tight_tbt_target);
    assert_prefilled_by_idle_engines(policy.choose(long_call(210'000, 3s), all), all, 5);
}

// During a burst, competing calls take the engines that a long prompt waits for. It ignored the idle engines
// because its prefill would have ended sooner on its full number of engines, and waited until it was late.
Test(prefill_plan, long_prompt_that_waited_uses_fewer_engines)
{
    const auto all = engines_with_busy(24, 18, 150ms);
    const engine_dispatch policy(sample_profile(), tight_tbt_target);
    const auto just_arrived = policy.choose(long_call(210'000, 3s), all);
    cr_assert(just_arrived.blocked_by == wait_reason::backlog, "a short wait for all engines is better");
    assert_prefilled_by_idle_engines(policy.choose(long_call(210'000, 2500ms), all), all, 3);
}
