#include "dragonflymill/direct/call_measurements.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::direct {

namespace {

auto is_divided(const dispatch_choice& choice) -> bool
{
    return !choice.prefill_engines.empty();
}

auto condition_of(const measured_call& call) -> engine_condition
{
    const upstream_load& load = call.choice.load;
    return {load.short_calls + load.long_calls,
            call.slots,
            load.parts,
            load.pending_prefill,
            load.memory_tokens,
            call.choice.slowdown};
}

} // namespace

void call_measurements::dispatched(placement_id placed, const call_class& of_class,
                                   const std::optional<measured_call>& engine, instant now)
{
    first_tokens_.dispatched(placed, of_class, now);
    const auto [added, is_new] = open_.insert_or_assign(placed, open_call{of_class, engine, false});
    if (!engine) {
        return;
    }
    const auto known = engines_.try_emplace(stable_hash(engine->choice.upstream),
                                            known_engine{engine_forecast(engine->profile), 0});
    ++known.first->second.open_calls;
    const engine_condition condition = condition_of(*engine);
    const engine_forecast profile(engine->profile);
    calibrator_of(added->second)
        .dispatched(placed,
                    {condition,
                     call_forecast::from_profile(profile, condition, engine->choice.prefill_time),
                     {engine->choice.first_token, duration::zero()},
                     engine->time_to_target},
                    now);
}

auto call_measurements::event(placement_id placed, const load_tracker& loads, instant now)
    -> std::optional<forecast_outcome>
{
    const auto found = open_.find(placed);
    if (found == open_.end()) {
        return std::nullopt;
    }
    open_call& call = found->second;
    if (call.started) {
        if (call.engine) {
            streams_.event(placed, now,
                           [&](const stream_engine& engine) { return work_of(engine.key, loads, now); });
        }
        return std::nullopt;
    }
    call.started = true;
    first_tokens_.first_token(placed, now);
    if (!call.engine) {
        return std::nullopt;
    }
    begin_stream(placed, *call.engine, loads, now);
    return calibrator_of(call).first_token(placed, now);
}

void call_measurements::begin_stream(placement_id placed, const measured_call& call,
                                     const load_tracker& loads, instant now)
{
    const upstream_key key = stable_hash(call.choice.upstream);
    streams_.begin(placed, {call.run, key}, work_of(key, loads, now), now);
    streams_.prefill_ended(key, call.choice.prefill_time, now);
    for (const prefill_share& share : call.choice.prefill_engines) {
        streams_.prefill_ended(stable_hash(share.upstream), call.choice.prefill_time, now);
    }
}

void call_measurements::finished(placement_id placed)
{
    const auto found = open_.find(placed);
    if (found == open_.end()) {
        return;
    }
    first_tokens_.finished(placed);
    if (found->second.engine) {
        streams_.finished(placed);
        calibrator_of(found->second).finished(placed);
        const auto engine = engines_.find(stable_hash(found->second.engine->choice.upstream));
        if (engine != engines_.end() && --engine->second.open_calls == 0) {
            engines_.erase(engine);
        }
    }
    open_.erase(found);
}

void call_measurements::tick(const load_tracker& loads, instant now)
{
    streams_.check_silence(now, [&](const stream_engine& engine) { return work_of(engine.key, loads, now); });
    for (auto& [service, learned] : calibrators_) {
        learned.whole.expire(now);
        learned.divided.expire(now);
    }
}

auto call_measurements::work_of(upstream_key engine, const load_tracker& loads, instant now) const
    -> engine_work
{
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return {};
    }
    const upstream_load load = loads.load_of(engine, now);
    const int streams = std::max(load.short_calls + load.long_calls, 1);
    return {found->second.forecast.iteration_time(streams, load.memory_tokens / streams),
            load.pending_prefill};
}

auto call_measurements::calibrator_of(const open_call& call) -> forecast_calibrator&
{
    calibrators& learned = calibrators_[call.of_class.service];
    return is_divided(call.engine->choice) ? learned.divided : learned.whole;
}

auto call_measurements::corrections(const std::string& service) const -> forecast_corrections
{
    const auto found = calibrators_.find(service);
    return found == calibrators_.end()
               ? forecast_corrections{}
               : forecast_corrections{found->second.whole.forecast(), found->second.divided.forecast()};
}

} // namespace dragonflymill::direct
