#include "dragonflymill/direct/call_forecast.h"
#include "dragonflymill/direct/upstream_speeds.h"
#include "engine_samples.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);
constexpr duration prefill = 20ms;

auto profile() -> engine_forecast
{
    return engine_forecast(sample_profile());
}

auto engine_with(int streams, duration pending = {}, double slowdown = 1.0) -> engine_condition
{
    return {streams, 16, 0, pending, streams * std::int64_t{5'000}, slowdown};
}

auto expected(const call_forecast& forecast, const engine_condition& engine) -> duration
{
    return forecast.times(profile(), engine, prefill).first_token;
}

/// Sends a call and gets its first token, which deviates by `error` from the forecast without correction.
auto serve(forecast_calibrator& calibrator, const engine_condition& engine, duration error, instant at)
    -> std::optional<forecast_outcome>
{
    constexpr placement_id placed = 1;
    const call_times predicted = calibrator.forecast().times(profile(), engine, prefill);
    const call_times from_profile = call_forecast::from_profile(profile(), engine, prefill);
    calibrator.dispatched(placed, {engine, from_profile, predicted, 300ms}, at);
    return calibrator.first_token(placed, at + from_profile.first_token + error);
}

void serve_many(forecast_calibrator& calibrator, const engine_condition& engine, duration error,
                std::size_t count, instant from = start)
{
    for (std::size_t i = 0; i < count; ++i) {
        (void)serve(calibrator, engine, error, from + 10ms * static_cast<int>(i));
    }
}

} // namespace

// Load: single calls. Guards against counting an iteration at an engine that has none, 40 ms too much.
Test(call_forecast, idle_engine_yields_the_first_token_right_after_the_prefill)
{
    const duration first = expected({}, engine_with(0));
    cr_assert(first >= prefill && first <= prefill + 10ms);
    cr_assert(class_of(engine_with(0)) == condition_class::idle);
}

// Load: streams on every engine. Guards against leaving out the iteration that has to end first.
Test(call_forecast, running_iteration_and_pending_prefill_come_first)
{
    const duration iteration = profile().iteration_time(4, 5'000);
    const duration first = expected({}, engine_with(4));
    cr_assert(first >= prefill + iteration * 3 / 2 && first <= prefill + iteration * 3 / 2 + 10ms);
    cr_assert(expected({}, engine_with(4, 70ms)) == first + 70ms);
    const auto pause = call_forecast::from_profile(profile(), engine_with(4), prefill).longest_pause;
    cr_assert(pause == profile().iteration_time(5, 5'000) + prefill);
    const auto long_pause = call_forecast::from_profile(profile(), engine_with(4), 5s).longest_pause;
    cr_assert(long_pause == profile().iteration_time(5, 5'000) * 2);
}

// Load: a burst fills all slots. Guards against learning the wait for a slot as delay of emptier engines.
Test(call_forecast, nearly_full_engines_are_learned_apart_from_others)
{
    forecast_calibrator calibrator;
    const auto before = expected({}, engine_with(15));
    serve_many(calibrator, engine_with(15), 120ms, forecast_calibrator::full_samples);
    cr_assert(expected(calibrator.forecast(), engine_with(15)) == before + 120ms);
    cr_assert(class_of(engine_with(15, 90ms)) == condition_class::nearly_full);
    cr_assert(class_of(engine_with(8)) == condition_class::light);
    cr_assert(class_of(engine_with(9, little_prefill)) == condition_class::busy);
    for (const auto& other : {engine_with(14), engine_with(4), engine_with(0), engine_with(4, 90ms)}) {
        cr_assert(expected(calibrator.forecast(), other) == expected({}, other));
    }
}

// Load: some engines are five times slower. Guards against a forecast at normal speed for them.
Test(call_forecast, slowdown_multiplies_what_the_engine_does)
{
    const duration normal = expected({}, engine_with(4, 70ms));
    const duration slow = expected({}, engine_with(4, 70ms, 5.0));
    cr_assert(slow > normal * 4 && slow < normal * 5);
    cr_assert(expected({}, engine_with(0, 0ms, 5.0)) >= prefill * 5);
}

// Load: the same. Guards against counting their slowness twice, and at all other engines besides.
Test(call_forecast, slow_engines_are_not_learned_from)
{
    forecast_calibrator calibrator;
    const auto slow = engine_with(4, 0ms, upstream_speeds::slow_threshold);
    serve_many(calibrator, slow, 200ms, forecast_calibrator::full_samples);
    cr_assert(calibrator.forecast() == call_forecast());
    cr_assert(serve(calibrator, slow, 200ms, start + 1s).has_value());
}

// Load: rises and falls within seconds. Guards against a correction that outlives the load it was learned in.
Test(call_forecast, correction_is_learned_and_unlearned_with_the_load)
{
    forecast_calibrator calibrator;
    const auto engine = engine_with(4);
    serve_many(calibrator, engine, 60ms, forecast_calibrator::window);
    cr_assert(expected(calibrator.forecast(), engine) == expected({}, engine) + 60ms);
    serve_many(calibrator, engine, 0ms, forecast_calibrator::window, start + 1s);
    cr_assert(expected(calibrator.forecast(), engine) == expected({}, engine));
    serve_many(calibrator, engine, 60ms, forecast_calibrator::window, start + 2s);
    calibrator.expire(start + 4s + forecast_calibrator::max_age);
    cr_assert(calibrator.forecast() == call_forecast());
}

// Load: a few calls a minute. Guards against a single late token that moves all forecasts of a class.
Test(call_forecast, few_samples_count_in_part)
{
    forecast_calibrator calibrator;
    serve_many(calibrator, engine_with(4), 80ms, forecast_calibrator::full_samples / 4);
    cr_assert(expected(calibrator.forecast(), engine_with(4)) == expected({}, engine_with(4)) + 20ms);
}

// Load: half of the calls wait. Guards against a choice that sees the median alone.
Test(call_forecast, upper_first_token_shows_the_tail_that_the_median_hides)
{
    forecast_calibrator calibrator;
    for (int i = 0; i < 16; ++i) {
        (void)serve(calibrator, engine_with(15), i % 3 == 0 ? 200ms : 0ms, start + 10ms * i);
    }
    const duration median = expected(calibrator.forecast(), engine_with(15));
    const duration upper = calibrator.forecast().upper_first_token(profile(), engine_with(15), prefill);
    cr_assert(median == expected({}, engine_with(15)) && upper == median + 200ms);
}

// Load: a site that fails for a minute. Guards against forecasts that keep all calls away afterwards, and
// against one that promises more than an engine can do.
Test(call_forecast, errors_of_a_disaster_are_bounded)
{
    forecast_calibrator late;
    serve_many(late, engine_with(4), 30s, forecast_calibrator::full_samples);
    cr_assert(expected(late.forecast(), engine_with(4)) ==
              expected({}, engine_with(4)) + forecast_calibrator::max_correction);
    forecast_calibrator early;
    serve_many(early, engine_with(4), -70ms, forecast_calibrator::full_samples);
    cr_assert(expected(early.forecast(), engine_with(4)) >= expected({}, engine_with(0)));
}

// Load: engines are lost with calls in flight. Guards against measurements that never end.
Test(call_forecast, each_call_is_measured_once_or_ends_without)
{
    forecast_calibrator calibrator;
    const auto engine = engine_with(4);
    calibrator.dispatched(7, {engine, {50ms, 0ms}, {250ms, 0ms}, 200ms}, start);
    calibrator.finished(7);
    cr_assert(!calibrator.first_token(7, start + 5s));
    calibrator.dispatched(8, {engine, {50ms, 0ms}, {250ms, 0ms}, 200ms}, start);
    const forecast_outcome late{250ms, 300ms, true, true, condition_class::light};
    cr_assert(calibrator.first_token(8, start + 300ms) == late && late.error() == 50ms);
    const call_forecast once = calibrator.forecast();
    cr_assert(!calibrator.first_token(8, start + 900ms));
    cr_assert(calibrator.forecast() == once);
    calibrator.dispatched(9, {engine, {50ms, 0ms}, {150ms, 0ms}, 200ms}, start);
    const auto on_time = calibrator.first_token(9, start + 200ms);
    cr_assert(on_time && !on_time->late && !on_time->foreseen_late);
}

// Load: any. Guards against a forecast that depends on anything but its inputs.
Test(call_forecast, same_inputs_give_the_same_outputs)
{
    forecast_calibrator one;
    forecast_calibrator other;
    for (int i = 0; i < 500; ++i) {
        const auto engine = engine_with(i % 16, 10ms * (i % 7), 1.0 + i % 3);
        const duration error = 1ms * ((i * 37) % 211 - 80);
        const instant at = start + 20ms * i;
        cr_assert(serve(one, engine, error, at) == serve(other, engine, error, at));
        cr_assert(one.forecast() == other.forecast());
    }
}
