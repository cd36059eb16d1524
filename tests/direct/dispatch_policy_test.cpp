#include "dragonflymill/direct/dispatch_policy.h"
#include "engine_samples.h"

#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto short_call() -> call_shape
{
    return {5000, 1600, tight_pause, 2s, 300ms, "a", 1};
}

auto long_call(std::int64_t tokens = 210'000) -> call_shape
{
    return {tokens, 800, 800ms, 12s, 3s, "a", 1};
}

auto policy() -> engine_dispatch
{
    return {sample_figures(), tight_pause};
}

} // namespace

Test(engine_forecast, reading_grows_with_the_pairs_of_a_prompt)
{
    const engine_forecast forecast(sample_figures());
    const duration small = forecast.read_alone(5'000);
    const duration large = forecast.read_alone(1'000'000);
    cr_assert(small > 20ms && small < 25ms);
    cr_assert(large > 49s && large < 52s, "pairs decide: 4 s for the tokens, 46 s for their pairs");
    cr_assert(forecast.read_part(1'000'000, 16) < 3300ms);
    cr_assert(forecast.pass(0, 0) > 42ms && forecast.pass(0, 0) < 43ms);
    cr_assert(forecast.pass(12, 5'000) > forecast.pass(1, 5'000));
}

// A caller states a prompt of 10^17 tokens. Its reading was more than a number of microseconds holds and
// became less than nothing: the call stood before all others, fitted nowhere, and held the line up.
Test(engine_forecast, reading_of_an_absurd_prompt_is_long_not_negative)
{
    const engine_forecast forecast(sample_figures());
    cr_assert(forecast.read_alone(100'000'000'000'000'000) >= forecast.read_alone(10'000'000));
}

Test(plain_dispatch, the_least_loaded_upstream_is_taken_and_a_full_one_never)
{
    std::vector<dispatch_candidate> upstreams{{"u1", "a", 2, false, {2}}, {"u2", "b", 2, false, {1}}};
    cr_assert(plain_dispatch().choose({}, upstreams).choice->upstream == "u2");
    upstreams[1].load.short_calls = 2;
    cr_assert(!plain_dispatch().choose({}, upstreams).choice);
}

Test(plain_dispatch, among_equals_the_own_failure_domain_is_taken)
{
    const std::vector<dispatch_candidate> upstreams{{"u1", "b", 6, false, {}}, {"u2", "a", 6, false, {}}};
    call_shape call;
    call.failure_domain = "a";
    cr_assert(plain_dispatch().choose(call, upstreams).choice->upstream == "u2");
}

// A suspect upstream is still better than none: the only booking service that failed once must not be cut
// off.
Test(plain_dispatch, a_suspect_upstream_is_the_last_choice)
{
    std::vector<dispatch_candidate> upstreams{{"u1", "a", 6, true, {}}, {"u2", "a", 6, false, {5}}};
    cr_assert(plain_dispatch().choose({}, upstreams).choice->upstream == "u2");
    upstreams.pop_back();
    cr_assert(plain_dispatch().choose({}, upstreams).choice->upstream == "u1");
}

// Members on a call wait for short answers while a dossier of 210,000 tokens is read. Written on the engine
// that reads it, each of their events would be held up by the reading: the two kinds go to different engines.
Test(engine_dispatch, short_and_long_prompts_go_to_different_engines)
{
    auto all = idle_engines(16);
    const auto first_short = policy().choose(short_call(), all).choice;
    const auto first_long = policy().choose(long_call(), all).choice;
    cr_assert(first_short && first_long);
    cr_assert(first_short->upstream != first_long->upstream);
    cr_assert(!first_short->is_long && first_long->is_long);
    for (const auto& helper : first_long->prefill_engines) {
        cr_assert(helper.upstream != first_long->upstream);
    }
}

Test(engine_dispatch, a_long_prompt_is_read_in_parts_that_begin_within_its_aim)
{
    const auto choice = policy().choose(long_call(), idle_engines(16)).choice;
    cr_assert(choice->prefill_engines.size() >= 8, "%zu helpers", choice->prefill_engines.size());
    cr_assert(choice->first_token < 500ms);
    std::set<std::string> readers{choice->upstream};
    for (const auto& helper : choice->prefill_engines) {
        cr_assert(readers.insert(helper.upstream).second, "each engine reads one part");
        cr_assert(helper.reserved_tokens == 0);
    }
}

// The mix swings within a second from many long prompts to many short ones. The partition boundary is worked
// out from the calls in hand, so that it follows with each call.
Test(engine_dispatch, the_border_follows_the_short_calls_in_hand)
{
    auto all = idle_engines(16);
    cr_assert(policy().short_partition(all) == 1);
    for (auto& engine : all) {
        engine.load.short_calls = 6;
    }
    cr_assert(policy().short_partition(all) == 9, "97 calls on engines of 16 slots filled to three quarters");
    for (auto& engine : all) {
        engine.load.short_calls = 16;
        engine.load.parts = 1;
    }
    cr_assert(policy().short_partition(all) == 15, "one engine is left for long prompts while there are any");
}

// A prompt's first token comes seconds late: its engine read parts of other prompts, one after the other,
// ahead of its own. An engine with an unread prompt isn't asked to help.
Test(engine_dispatch, an_engine_with_an_unread_prompt_does_not_help)
{
    auto all = idle_engines(16);
    std::set<std::string> unread;
    for (std::size_t i = 4; i < 10; ++i) {
        all[i].load.unread_calls = 1;
        all[i].load.long_calls = 1;
        unread.insert(all[i].id);
    }
    const auto choice = policy().choose(long_call(), all).choice;
    cr_assert(choice.has_value());
    for (const auto& helper : choice->prefill_engines) {
        cr_assert(!unread.contains(helper.upstream));
    }
}

// Engines that write streams read for others only as long as the tightest of those streams bears.
Test(engine_dispatch, reading_for_others_stays_within_what_an_engine_writes)
{
    auto all = idle_engines(16);
    for (auto& engine : all) {
        engine.load.short_calls = 4;
        engine.load.tightest_tbt_target = tight_pause;
    }
    const auto choice = policy().choose(long_call(90'000), all).choice;
    cr_assert(choice.has_value());
    for (std::size_t i = 0; i < choice->prefill_engines.size(); ++i) {
        cr_assert(choice->reading < tight_pause / 2);
    }
    cr_assert(!choice->prefill_engines.empty());
}

Test(engine_dispatch, long_calls_wait_while_what_they_need_is_busy)
{
    auto all = idle_engines(16);
    for (auto& engine : all) {
        engine.load.pending_prefill = 2s;
        engine.load.parts = 1;
    }
    cr_assert(!policy().choose(long_call(), all).choice);
}

// A prompt of a million tokens is more than twice one engine's memory: its memory is reserved at
// several engines, each with a share that fits, and the rest lies at the one that answers.
// Pattern: a burst of long prompts. Guards against a prompt that is read for seconds by the one engine that
// is free at the moment, though all others are free in a moment and would read it in time.
Test(engine_dispatch, a_long_call_waits_for_engines_rather_than_be_read_late)
{
    auto engines = idle_engines(16);
    for (std::size_t i = 0; i + 1 < engines.size(); ++i) {
        engines[i].load.long_calls = 1;
        engines[i].load.unread_calls = 1;
        engines[i].load.pending_prefill = 300ms;
    }
    call_shape call = long_call(350'000);
    cr_assert(!policy().choose(call, engines).choice);
    call.time_to_aim = 100ms;
    cr_assert(policy().choose(call, engines).choice.has_value(), "late in any case");
}

Test(engine_dispatch, a_prompt_over_one_engines_memory_is_held_by_several)
{
    const auto choice = policy().choose(long_call(1'000'000), idle_engines(16)).choice;
    cr_assert(choice.has_value());
    std::int64_t held = choice->memory_tokens;
    for (const auto& helper : choice->prefill_engines) {
        held += helper.reserved_tokens;
        cr_assert(helper.reserved_tokens <= sample_memory);
    }
    cr_assert(held >= 1'000'800);
    cr_assert(choice->memory_tokens <= sample_memory);
}

Test(engine_dispatch, a_prompt_over_all_memory_is_not_placed)
{
    cr_assert(!policy().choose(long_call(1'000'000), idle_engines(2)).choice);
}

Test(engine_dispatch, memory_that_others_fill_is_not_used_twice)
{
    auto all = idle_engines(3);
    for (auto& engine : all) {
        engine.load.memory_tokens = 300'000;
    }
    const auto choice = policy().choose(long_call(210'000), all).choice;
    cr_assert(choice.has_value());
    cr_assert(choice->memory_tokens <= sample_memory - 300'000);
}

// The longest prompts of a class whose streams bear short pauses only are written where the others are, and
// read with help: written beside long answers they would be late by their pauses.
Test(engine_dispatch, a_tight_stream_is_written_on_the_short_side_whatever_its_length)
{
    auto all = idle_engines(16);
    call_shape call = short_call();
    call.prompt_tokens = 60'000;
    const auto choice = policy().choose(call, all).choice;
    cr_assert(choice.has_value() && !choice->is_long);
    cr_assert(choice->upstream == policy().choose(short_call(), all).choice->upstream);
    cr_assert(!choice->prefill_engines.empty());
}

// A document that can't begin in time holds few engines: the others must be there for what still can.
Test(engine_dispatch, a_call_that_will_be_late_gets_few_engines)
{
    call_shape late = long_call(400'000);
    late.time_to_aim = 100ms;
    const auto choice = policy().choose(late, idle_engines(16)).choice;
    cr_assert(choice.has_value());
    cr_assert(choice->prefill_engines.size() <= 2, "%zu", choice->prefill_engines.size());
    cr_assert(choice->first_token <= 12s);
}

// Thirty gateways whose digests are some tens of milliseconds old see the same idle engines. Were they all to
// choose the first of them, it would get thirty calls and the others none.
Test(engine_dispatch, equal_engines_are_chosen_by_turns)
{
    auto all = idle_engines(16);
    for (auto& engine : all) {
        engine.load.short_calls = 6;
    }
    std::set<std::string> chosen;
    for (std::uint64_t call = 0; call < 64; ++call) {
        call_shape shape = short_call();
        shape.spread = call;
        chosen.insert(policy().choose(shape, all).choice->upstream);
    }
    cr_assert(chosen.size() >= 8, "%zu", chosen.size());
}

Test(engine_dispatch, the_same_inputs_give_the_same_choice)
{
    const auto all = idle_engines(16);
    cr_assert(policy().choose(long_call(), all).choice == policy().choose(long_call(), all).choice);
    cr_assert(!policy().choose(short_call(), {}).choice);
}

// Guards against refusals that only say "full": the log has to name what a long prompt waited for.
Test(engine_dispatch, a_waiting_call_knows_what_it_waits_for)
{
    auto all = idle_engines(16);
    cr_assert(policy().choose(long_call(), all).obstacle == wait_reason::none);
    for (dispatch_candidate& engine : all) {
        engine.load.pending_prefill = 2s;
    }
    cr_assert(policy().choose(long_call(), all).obstacle == wait_reason::backlog);
    for (dispatch_candidate& engine : all) {
        engine.load.short_calls = engine.slots;
    }
    cr_assert(policy().choose(long_call(), all).obstacle == wait_reason::no_engine);
}
