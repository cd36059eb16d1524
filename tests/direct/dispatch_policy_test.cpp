#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/dispatch_policy.h"
#include "engine_samples.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto short_call() -> call_requirements
{
    return {5000, 1600, tight_tbt_target, 2s, 300ms, "a", 1};
}

auto long_call(std::int64_t tokens = 210'000) -> call_requirements
{
    return {tokens, 800, 800ms, 12s, 3s, "a", 1};
}

auto policy() -> engine_dispatch
{
    return {sample_profile(), tight_tbt_target};
}

} // namespace

Test(engine_forecast, prefill_time_grows_with_the_token_pairs_of_a_prompt)
{
    const engine_forecast forecast(sample_profile());
    const duration small = forecast.prefill_time(5'000);
    const duration large = forecast.prefill_time(1'000'000);
    cr_assert(small > 20ms && small < 25ms);
    cr_assert(large > 49s && large < 52s, "attention dominates: 4 s for the tokens, 46 s for their pairs");
    cr_assert(forecast.split_prefill_time(1'000'000, 16) < 3300ms);
    cr_assert(forecast.iteration_time(0, 0) > 42ms && forecast.iteration_time(0, 0) < 43ms);
    cr_assert(forecast.iteration_time(12, 5'000) > forecast.iteration_time(1, 5'000));
}

// A client states a prompt of 10^17 tokens. Its prefill time overflowed the microseconds and became negative:
// the call went first in the queue, fitted nowhere, and blocked the queue.
Test(engine_forecast, prefill_time_of_an_absurd_prompt_does_not_overflow)
{
    const engine_forecast forecast(sample_profile());
    cr_assert(forecast.prefill_time(100'000'000'000'000'000) >= forecast.prefill_time(10'000'000));
}

Test(plain_dispatch, chooses_the_least_loaded_upstream_and_never_a_full_one)
{
    std::vector<dispatch_candidate> upstreams{{"u1", "a", 2, false, {2}}, {"u2", "b", 2, false, {1}}};
    cr_assert(plain_dispatch().choose({}, upstreams).choice->upstream == "u2");
    upstreams[1].load.short_calls = 2;
    cr_assert(!plain_dispatch().choose({}, upstreams).choice);
}

Test(plain_dispatch, prefers_the_own_failure_domain_among_equals)
{
    const std::vector<dispatch_candidate> upstreams{{"u1", "b", 6, false, {}}, {"u2", "a", 6, false, {}}};
    call_requirements call;
    call.failure_domain = "a";
    cr_assert(plain_dispatch().choose(call, upstreams).choice->upstream == "u2");
}

// A suspect upstream is better than none: the only upstream of a service must stay in use after a failure.
Test(plain_dispatch, uses_a_suspect_upstream_as_last_resort)
{
    std::vector<dispatch_candidate> upstreams{{"u1", "a", 6, true, {}}, {"u2", "a", 6, false, {5}}};
    cr_assert(plain_dispatch().choose({}, upstreams).choice->upstream == "u2");
    upstreams.pop_back();
    cr_assert(plain_dispatch().choose({}, upstreams).choice->upstream == "u1");
}

// Clients wait for short answers while a prompt of 210,000 tokens is prefilled. On the same engine, the
// prefill would delay each event of the short answers.
Test(engine_dispatch, short_and_long_prompts_go_to_different_engines)
{
    auto all = idle_engines(16);
    const auto first_short = policy().choose(short_call(), all).choice;
    const auto first_long = policy().choose(long_call(), all).choice;
    cr_assert(first_short && first_long);
    cr_assert(first_short->upstream != first_long->upstream);
    cr_assert(!first_short->is_long && first_long->is_long);
    for (const auto& share : first_long->prefill_engines) {
        cr_assert(share.upstream != first_long->upstream);
    }
}

Test(engine_dispatch, long_prompt_is_prefilled_in_parts_within_its_target)
{
    const auto choice = policy().choose(long_call(), idle_engines(16)).choice;
    cr_assert(choice->prefill_engines.size() >= 8, "%zu prefill engines", choice->prefill_engines.size());
    cr_assert(choice->first_token < 500ms);
    std::set<std::string> engines{choice->upstream};
    for (const auto& share : choice->prefill_engines) {
        cr_assert(engines.insert(share.upstream).second, "each engine prefills one part");
        cr_assert(share.reserved_tokens == 0);
    }
}

// The mix changes within a second from many long prompts to many short ones. The partition boundary is
// computed from the calls in flight for each call and follows at once.
Test(engine_dispatch, partition_boundary_follows_the_short_calls_in_flight)
{
    auto all = idle_engines(16);
    cr_assert(policy().short_partition_size(all) == 1);
    for (auto& engine : all) {
        engine.load.short_calls = 6;
    }
    cr_assert(policy().short_partition_size(all) == 9,
              "97 calls on engines of 16 slots filled to three quarters");
    for (auto& engine : all) {
        engine.load.short_calls = 16;
        engine.load.parts = 1;
    }
    cr_assert(policy().short_partition_size(all) == 15,
              "one engine is left for long prompts while there are any");
}

// Pattern: a fleet of n, 2n and 4n engines, one in three of which would suffice. Guards against packing all
// short calls into a few engines, where each delays the others, while most engines are idle.
Test(engine_dispatch, short_calls_spread_over_idle_engines)
{
    for (const int count : {140, 280, 560}) {
        auto all = idle_engines(count);
        for (int i = 0; i < count / 3; ++i) {
            call_requirements call = short_call();
            call.tie_breaker = mix_bits(static_cast<std::uint64_t>(i));
            const auto choice = policy().choose(call, all).choice;
            cr_assert(choice);
            const auto used = std::find_if(all.begin(), all.end(),
                                           [&](const auto& engine) { return engine.id == choice->upstream; });
            ++used->load.short_calls;
        }
        const auto fullest = std::max_element(
            all.begin(), all.end(), [](const auto& a, const auto& b) { return in_flight(a) < in_flight(b); });
        cr_assert(in_flight(*fullest) <= 2, "%d calls on one of %d engines", in_flight(*fullest), count);
        const auto idle =
            std::count_if(all.begin(), all.end(), [](const auto& engine) { return in_flight(engine) == 0; });
        cr_assert(idle >= 2 * static_cast<std::ptrdiff_t>(prefill_planner::max_prefill_engines),
                  "engines are left for long prompts");
    }
}

// Guards against short calls that take the engines of long prompts while those need them.
Test(engine_dispatch, short_calls_stay_on_few_engines_while_long_prompts_need_the_others)
{
    auto all = idle_engines(140);
    for (std::size_t i = 40; i < all.size(); ++i) {
        all[i].load.parts = 1;
    }
    for (std::size_t i = 0; i < 10; ++i) {
        all[i].load.short_calls = 6;
    }
    cr_assert(policy().short_partition_size(all) == 6,
              "61 calls on engines of 16 slots filled to three quarters");
}

// A prompt's first token arrived seconds late because its engine prefilled parts of other prompts, one after
// the other, before its own. An engine with a pending prefill of its own must get no parts.
Test(engine_dispatch, engine_with_a_pending_prefill_gets_no_parts)
{
    auto all = idle_engines(16);
    std::set<std::string> pending;
    for (std::size_t i = 4; i < 10; ++i) {
        all[i].load.unread_calls = 1;
        all[i].load.long_calls = 1;
        pending.insert(all[i].id);
    }
    const auto choice = policy().choose(long_call(), all).choice;
    cr_assert(choice.has_value());
    for (const auto& share : choice->prefill_engines) {
        cr_assert(!pending.contains(share.upstream));
    }
}

// Prefill parts beside streams must be short enough for the tightest TBT target of these streams.
Test(engine_dispatch, parts_respect_the_tightest_tbt_target_of_an_engine)
{
    auto all = idle_engines(16);
    for (auto& engine : all) {
        engine.load.short_calls = 4;
        engine.load.tightest_tbt_target = tight_tbt_target;
    }
    const auto choice = policy().choose(long_call(90'000), all).choice;
    cr_assert(choice.has_value());
    for (std::size_t i = 0; i < choice->prefill_engines.size(); ++i) {
        cr_assert(choice->prefill_time < tight_tbt_target / 2);
    }
    cr_assert(!choice->prefill_engines.empty());
}

Test(engine_dispatch, long_call_waits_while_all_engines_are_busy)
{
    auto all = idle_engines(16);
    for (auto& engine : all) {
        engine.load.pending_prefill = 2s;
        engine.load.parts = 1;
    }
    cr_assert(!policy().choose(long_call(), all).choice);
}

// A burst of long prompts leaves one engine free for a moment. Alone, that engine prefilled the next prompt
// for seconds, although all others were free soon after and could have met its target together.
Test(engine_dispatch, long_call_waits_for_engines_if_that_meets_its_target)
{
    auto engines = idle_engines(16);
    for (std::size_t i = 0; i + 1 < engines.size(); ++i) {
        engines[i].load.long_calls = 1;
        engines[i].load.unread_calls = 1;
        engines[i].load.pending_prefill = 300ms;
    }
    call_requirements call = long_call(350'000);
    cr_assert(!policy().choose(call, engines).choice);
    call.time_to_target = 100ms;
    cr_assert(policy().choose(call, engines).choice.has_value(), "late in any case");
}

// A prompt of a million tokens needs more than twice the memory of one engine. Memory is reserved at several
// engines, each with a share that fits; the decode engine holds the rest.
Test(engine_dispatch, prompt_beyond_one_engines_memory_is_shared_by_several)
{
    const auto choice = policy().choose(long_call(1'000'000), idle_engines(16)).choice;
    cr_assert(choice.has_value());
    std::int64_t reserved = choice->memory_tokens;
    for (const auto& share : choice->prefill_engines) {
        reserved += share.reserved_tokens;
        cr_assert(share.reserved_tokens <= sample_memory);
    }
    cr_assert(reserved >= 1'000'800);
    cr_assert(choice->memory_tokens <= sample_memory);
}

Test(engine_dispatch, prompt_beyond_all_memory_is_not_placed)
{
    cr_assert(!policy().choose(long_call(1'000'000), idle_engines(2)).choice);
}

Test(engine_dispatch, memory_used_by_other_calls_is_not_assigned)
{
    auto all = idle_engines(3);
    for (auto& engine : all) {
        engine.load.memory_tokens = 300'000;
    }
    const auto choice = policy().choose(long_call(210'000), all).choice;
    cr_assert(choice.has_value());
    cr_assert(choice->memory_tokens <= sample_memory - 300'000);
}

// A long prompt whose stream has the tightest TBT target is decoded in the short partition, with prefill
// parts on other engines. Beside long answers it would miss its TBT target.
Test(engine_dispatch, stream_with_the_tightest_target_stays_in_the_short_partition)
{
    auto all = idle_engines(16);
    call_requirements call = short_call();
    call.prompt_tokens = 60'000;
    const auto choice = policy().choose(call, all).choice;
    cr_assert(choice.has_value() && !choice->is_long);
    cr_assert(choice->upstream == policy().choose(short_call(), all).choice->upstream);
    cr_assert(!choice->prefill_engines.empty());
}

// A call that can't meet its target must leave the other engines to calls that can.
Test(engine_dispatch, late_call_uses_few_engines)
{
    call_requirements late = long_call(400'000);
    late.time_to_target = 100ms;
    const auto choice = policy().choose(late, idle_engines(16)).choice;
    cr_assert(choice.has_value());
    cr_assert(choice->prefill_engines.size() <= 2, "%zu", choice->prefill_engines.size());
    cr_assert(choice->first_token <= 12s);
}

// Thirty gateways with load digests that are some tens of milliseconds old see the same idle engines. With a
// common order all would choose the first engine, which gets thirty calls while the others get none.
Test(engine_dispatch, equal_engines_are_chosen_evenly)
{
    auto all = idle_engines(16);
    for (auto& engine : all) {
        engine.load.short_calls = 6;
    }
    std::set<std::string> chosen;
    for (std::uint64_t call = 0; call < 64; ++call) {
        call_requirements requirements = short_call();
        requirements.tie_breaker = call;
        chosen.insert(policy().choose(requirements, all).choice->upstream);
    }
    cr_assert(chosen.size() >= 8, "%zu", chosen.size());
}

Test(engine_dispatch, same_inputs_give_the_same_choice)
{
    const auto all = idle_engines(16);
    cr_assert(policy().choose(long_call(), all).choice == policy().choose(long_call(), all).choice);
    cr_assert(!policy().choose(short_call(), {}).choice);
}

// Guards against refusals that only say "full": the log must state why a long prompt waited.
Test(engine_dispatch, waiting_call_states_its_reason)
{
    auto all = idle_engines(16);
    cr_assert(policy().choose(long_call(), all).blocked_by == wait_reason::none);
    for (dispatch_candidate& engine : all) {
        engine.load.pending_prefill = 2s;
    }
    cr_assert(policy().choose(long_call(), all).blocked_by == wait_reason::backlog);
    for (dispatch_candidate& engine : all) {
        engine.load.short_calls = engine.slots;
    }
    cr_assert(policy().choose(long_call(), all).blocked_by == wait_reason::no_engine);
}
