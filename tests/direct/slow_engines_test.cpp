#include "dragonflymill/direct/call_measurements.h"
#include "dragonflymill/direct/dispatch_policy.h"
#include "engine_samples.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start = instant(100s);

auto policy() -> engine_dispatch
{
    return {sample_profile(), tight_tbt_target};
}

auto short_call(std::uint64_t tie_breaker = 1) -> call_requirements
{
    return {5000, 1600, tight_tbt_target, 2s, 300ms, "a", tie_breaker, 300ms};
}

auto long_call(std::int64_t tokens = 210'000) -> call_requirements
{
    return {tokens, 800, 800ms, 12s, 3s, "a", 1, 3s};
}

/// Engines of which every seventh runs five times slower.
auto engines_with_slow_ones(int count) -> std::vector<dispatch_candidate>
{
    auto engines = idle_engines(count);
    for (std::size_t i = 0; i < engines.size(); i += 7) {
        engines[i].slowdown = 5.0;
    }
    return engines;
}

auto find(const std::vector<dispatch_candidate>& engines, const std::string& id) -> const dispatch_candidate&
{
    return *std::find_if(engines.begin(), engines.end(), [&](const auto& engine) { return engine.id == id; });
}

} // namespace

// Guards against a long prompt whose first token waits for the part of a slow engine: a seventh of the
// engines run five times slower.
Test(slow_engines, long_prompt_is_not_divided_onto_them)
{
    const auto engines = engines_with_slow_ones(28);
    for (const std::int64_t tokens : {60'000, 210'000, 430'000}) {
        const auto choice = policy().choose(long_call(tokens), engines).choice;
        cr_assert(choice && !choice->prefill_engines.empty());
        cr_assert(!is_slow(find(engines, choice->upstream)));
        for (const prefill_share& share : choice->prefill_engines) {
            cr_assert(!is_slow(find(engines, share.upstream)), "%s", share.upstream.c_str());
        }
    }
}

// Guards against a prompt beyond one engine's memory that is shared with a slow engine.
Test(slow_engines, share_no_memory_of_a_large_prompt)
{
    const auto engines = engines_with_slow_ones(14);
    const auto choice = policy().choose(long_call(700'000), engines).choice;
    cr_assert(choice && !choice->prefill_engines.empty());
    for (const prefill_share& share : choice->prefill_engines) {
        cr_assert(!is_slow(find(engines, share.upstream)));
    }
}

// Guards against a slow engine that decodes a long prompt while engines at speed are free in the short
// partition, and against a prompt that isn't served at all if all engines are slow.
Test(slow_engines, decode_a_long_prompt_only_if_no_other_engine_can)
{
    auto engines = idle_engines(16);
    const std::size_t boundary = policy().short_partition_size(engines);
    for (std::size_t i = boundary; i < engines.size(); ++i) {
        engines[i].slowdown = 5.0;
    }
    const auto choice = policy().choose(long_call(), engines).choice;
    cr_assert(choice && !is_slow(find(engines, choice->upstream)));
    for (auto& engine : engines) {
        engine.slowdown = 5.0;
    }
    call_requirements patient = long_call(30'000);
    patient.time_to_target = 10s;
    const auto last_resort = policy().choose(patient, engines).choice;
    cr_assert(last_resort && last_resort->prefill_engines.empty(), "no other slow engine adds its delay");
}

// Guards against short calls that miss each pause at a slow engine, though it looks idle.
Test(slow_engines, short_calls_avoid_them_while_others_are_busy)
{
    auto engines = engines_with_slow_ones(14);
    for (auto& engine : engines) {
        engine.load.short_calls = is_slow(engine) ? 0 : 8;
        engine.load.tightest_tbt_target = tight_tbt_target;
    }
    for (std::uint64_t tie_breaker = 0; tie_breaker < 50; ++tie_breaker) {
        const auto choice = policy().choose(short_call(tie_breaker), engines).choice;
        cr_assert(choice && !is_slow(find(engines, choice->upstream)));
    }
}

// Guards against a slow upstream that gets nothing although it can serve a call in time.
Test(slow_engines, mildly_slow_engine_serves_calls_while_others_are_full)
{
    auto engines = idle_engines(4);
    for (auto& engine : engines) {
        engine.load.short_calls = engine.slots - 1;
    }
    engines.front().load.short_calls = 0;
    engines.front().slowdown = 1.6;
    cr_assert(policy().choose(short_call(), engines).choice->upstream == engines.front().id);
}

// Guards against a short partition that a burst of short calls fills up because it counts slow engines.
Test(slow_engines, add_no_capacity_to_the_short_partition)
{
    auto engines = idle_engines(28);
    for (auto& engine : engines) {
        engine.load.short_calls = 4;
        engine.load.parts = 1;
    }
    const std::size_t size = policy().short_partition_size(engines);
    for (std::size_t i = 0; i < 3; ++i) {
        engines[i].slowdown = 5.0;
    }
    cr_assert(policy().short_partition_size(engines) == size + 3);
}

// Guards against a burst of short calls that fills the last slots of some engines while others are half
// empty.
Test(slow_engines, short_calls_go_to_engines_with_free_slots)
{
    auto engines = idle_engines(8);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].load.short_calls = i % 2 == 0 ? 15 : 8;
        engines[i].load.pending_prefill = i % 2 == 0 ? 0ms : 20ms;
    }
    for (std::uint64_t tie_breaker = 0; tie_breaker < 50; ++tie_breaker) {
        const auto choice = policy().choose(short_call(tie_breaker), engines).choice;
        cr_assert(find(engines, choice->upstream).load.short_calls == 8);
    }
}

// Guards against a forecast error that is learned from another condition than the one that was forecast: a
// divided prompt waits for the engine with the longest backlog, which would be counted twice.
Test(call_measurements, divided_prompt_is_held_against_its_own_forecast)
{
    call_measurements measurements;
    const load_tracker loads;
    auto engines = idle_engines(16);
    for (auto& engine : engines) {
        engine.load.pending_prefill = 90ms;
        engine.load.short_calls = 1;
    }
    for (placement_id placed = 1; placed <= 40; ++placed) {
        const instant now = start + std::chrono::milliseconds(50 * static_cast<int>(placed));
        const engine_dispatch learning(sample_profile(), tight_tbt_target, measurements.corrections("s"));
        const auto choice = learning.choose(long_call(), engines).choice;
        cr_assert(choice && !choice->prefill_engines.empty());
        measurements.dispatched(placed, {"s", 800ms}, measured_call{1, sample_profile(), *choice, 3s}, now);
        const duration first_token = call_forecast::from_profile(engine_forecast(sample_profile()),
                                                                 choice->condition, choice->prefill_time)
                                         .first_token;
        const auto outcome = measurements.event(placed, loads, now + first_token);
        cr_assert(outcome && outcome->error() < 1ms && outcome->error() > -1ms);
        cr_assert(!measurements.event(placed, loads, now + first_token + 50ms), "one first token a call");
        measurements.finished(placed);
    }
}

// Guards against calls that are sent after their target and count as lateness that was foreseen.
Test(call_measurements, call_sent_late_is_no_outcome)
{
    call_measurements measurements;
    const load_tracker loads;
    const auto choice = policy().choose(short_call(), idle_engines(2)).choice;
    measurements.dispatched(1, {"s", 200ms}, measured_call{1, sample_profile(), *choice, -1ms}, start);
    cr_assert(!measurements.event(1, loads, start + 50ms));
    measurements.finished(1);
    measurements.finished(1);
}

// Guards against a slow engine that is recognised only when its stream has ended: two iterations of a stream
// take five times as long as they should.
Test(call_measurements, slow_iterations_of_a_stream_are_noticed)
{
    call_measurements measurements;
    const load_tracker loads;
    const auto choice = policy().choose(short_call(), idle_engines(2)).choice;
    measurements.dispatched(1, {"s", 200ms}, measured_call{7, sample_profile(), *choice, 300ms}, start);
    (void)measurements.event(1, loads, start + 50ms);
    const duration slow_iteration = 5 * engine_forecast(sample_profile()).iteration_time(1, 0);
    instant now = start + 50ms;
    for (int i = 0; i < 2; ++i) {
        now += slow_iteration;
        (void)measurements.event(1, loads, now);
    }
    cr_assert(measurements.speeds().is_slow(7, now));
    cr_assert(now - start < 1s);
}
