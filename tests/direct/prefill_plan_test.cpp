#include "dragonflymill/direct/prefill_plan.h"
#include "engine_samples.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

void write_short_streams(dispatch_candidate& engine, int count)
{
    engine.load.short_calls = count;
    engine.load.memory_tokens = 6'600 * count;
    engine.load.tightest_tbt_target = tight_pause;
}

auto long_call(std::int64_t tokens, duration time_to_aim) -> call_shape
{
    return {tokens, 800, 800ms, 12s, time_to_aim, "a", 1, 3s};
}

auto engine_named(const std::vector<dispatch_candidate>& all, const std::string& id)
    -> const dispatch_candidate&
{
    return *std::find_if(all.begin(), all.end(), [&](const auto& engine) { return engine.id == id; });
}

} // namespace

// A burst of short questions fills all engines but two while a document comes that is late already. Read
// alone at the first engine with room, for three seconds, it made the ten answers written there late: each
// of their events waited for the reading. It is read where nobody waits for an event.
Test(prefill_plan, a_late_prompt_is_not_read_beside_streams)
{
    auto all = idle_engines(14);
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i != 11 && i != 12) {
            write_short_streams(all[i], 10);
        }
    }
    const auto choice =
        engine_dispatch(sample_figures(), tight_pause).choose(long_call(210'000, -100ms), all).choice;
    cr_assert(choice.has_value());
    cr_assert(in_flight(engine_named(all, choice->upstream)) == 0, "%s writes", choice->upstream.c_str());
}

// All engines write a few short streams when a review of 100,000 tokens comes. No part was short enough for a
// strict bound on what may be read beside streams, so that it was read alone, 0.9 s, at the cost of every
// stream there. Parts of 0.1 s at nine engines cost none of them its pause.
Test(prefill_plan, parts_beside_streams_are_better_than_one_long_reading)
{
    auto all = idle_engines(14);
    for (auto& engine : all) {
        write_short_streams(engine, 6);
    }
    const auto choice =
        engine_dispatch(sample_figures(), tight_pause).choose(long_call(100'000, 3s), all).choice;
    cr_assert(choice.has_value());
    cr_assert(choice->reading < 120ms, "%ld us each", static_cast<long>(choice->reading.count()));
}

// A reading that would make many streams late waits while its caller has time, and is done at last rather
// than that the caller goes without: a document is worth as many questions as it has pages.
Test(prefill_plan, a_call_accepts_more_harm_the_longer_it_waits)
{
    auto all = idle_engines(4);
    for (auto& engine : all) {
        write_short_streams(engine, 5);
    }
    const engine_forecast forecast(sample_figures());
    const auto acceptable = [&](duration time_to_aim) {
        const call_shape call = long_call(210'000, time_to_aim);
        const prefill_planner planner(forecast, 120ms, call, all);
        const auto plan = planner.best(all);
        return plan && planner.acceptable(*plan);
    };
    cr_assert(!acceptable(3s));
    cr_assert(acceptable(1600ms));
}

Test(prefill_plan, streams_with_longer_pauses_bear_longer_parts)
{
    auto all = idle_engines(2);
    const call_shape call = long_call(45'000, 3s);
    const engine_forecast forecast(sample_figures());
    const prefill_planner planner(forecast, 120ms, call, all);
    all[0].load.long_calls = 2;
    all[0].load.tightest_tbt_target = 800ms;
    cr_assert(planner.best_for(all[0]).cost == 0.0);
    all[0].load.tightest_tbt_target = tight_pause;
    cr_assert(planner.best_for(all[0]).cost > 1.0);
}

// Long answers stay at few engines, so that the others can read: a writer is given up only for one that is
// clearly better.
Test(prefill_plan, long_answers_are_written_by_few_engines)
{
    auto all = idle_engines(14);
    const engine_dispatch policy(sample_figures(), tight_pause);
    const auto first = policy.choose(long_call(45'000, 3s), all).choice;
    auto& writer = *std::find_if(all.begin(), all.end(), [&](auto& e) { return e.id == first->upstream; });
    writer.load.long_calls = 1;
    writer.load.tightest_tbt_target = 800ms;
    cr_assert(policy.choose(long_call(45'000, 3s), all).choice->upstream == first->upstream);
}

// A burst of short questions leaves one engine behind the partition boundary. A document of a million tokens
// needs the memory of three: while only that one was asked, it waited until the burst was over, with memory
// free everywhere.
Test(prefill_plan, the_largest_prompts_use_memory_beside_short_streams)
{
    auto all = idle_engines(14);
    for (std::size_t i = 0; i + 1 < all.size(); ++i) {
        write_short_streams(all[i], 12);
    }
    const engine_forecast forecast(sample_figures());
    const call_shape call = long_call(1'000'000, 3s);
    const auto plan = prefill_planner(forecast, 120ms, call, all).best(std::span(all).last(1));
    cr_assert(plan.has_value());
    std::int64_t held = plan->writer_tokens;
    for (const auto& helper : plan->helpers) {
        held += helper.reserved_tokens;
    }
    cr_assert(held >= 1'000'800);
}

namespace {

/// Engines of which the first ones read a part each for so long.
auto engines_with_busy(int count, std::size_t busy, duration reading) -> std::vector<dispatch_candidate>
{
    auto all = idle_engines(count);
    for (std::size_t i = 0; i < busy; ++i) {
        all[i].load.parts = 1;
        all[i].load.pending_prefill = reading;
    }
    return all;
}

void assert_read_by_idle_engines(const dispatch_decision& decision,
                                 const std::vector<dispatch_candidate>& all, std::size_t helpers)
{
    cr_assert(decision.choice.has_value());
    cr_assert(decision.choice->prefill_engines.size() >= helpers);
    for (const helper_share& helper : decision.choice->prefill_engines) {
        cr_assert(engine_named(all, helper.upstream).load.parts == 0, "%s is busy", helper.upstream.c_str());
    }
}

} // namespace

// Documents come in a burst, each wanting sixteen readers of twenty-four engines. While one was read by
// fourteen, the next waited for engines to end although ten stood idle, until it was late.
Test(prefill_plan, a_document_is_read_by_idle_engines_if_it_ends_sooner_so)
{
    const auto all = engines_with_busy(24, 14, 500ms);
    const engine_dispatch policy(sample_figures(), tight_pause);
    assert_read_by_idle_engines(policy.choose(long_call(210'000, 3s), all), all, 5);
}

// In a burst others take the engines that a document waits for. It took none of those that stood idle, as it
// would have ended sooner with all its readers, and waited until it was late.
Test(prefill_plan, a_document_that_waited_in_vain_is_read_by_fewer_engines)
{
    const auto all = engines_with_busy(24, 18, 150ms);
    const engine_dispatch policy(sample_figures(), tight_pause);
    const auto just_came = policy.choose(long_call(210'000, 3s), all);
    cr_assert(just_came.obstacle == wait_reason::backlog, "a short wait for all readers is better");
    assert_read_by_idle_engines(policy.choose(long_call(210'000, 2500ms), all), all, 3);
}
