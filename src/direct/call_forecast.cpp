#include "dragonflymill/direct/call_forecast.h"

#include "dragonflymill/direct/upstream_speeds.h"

#include <algorithm>
#include <vector>

namespace dragonflymill::direct {

namespace {

/// Time for opening a connection and for the way there and back.
constexpr duration connection_time = 4ms;
constexpr double median_share = 0.5;
constexpr double upper_share = 0.75;

auto is_idle(const engine_condition& engine) -> bool
{
    return engine.streams <= 0 && engine.parts <= 0 && engine.pending_prefill <= duration::zero();
}

/// No call is served sooner: at an engine that does nothing else.
auto soonest_first_token(const engine_condition& engine, duration prefill_time) -> duration
{
    return scaled(prefill_time, engine.slowdown) + connection_time;
}

/// Returns the value that a share of the values, of which there is at least one, is below. Reorders them.
auto quantile(std::vector<duration>& values, double share) -> duration
{
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    const auto found =
        values.begin() + static_cast<std::ptrdiff_t>(std::min(rank, values.size() - std::size_t{1}));
    std::nth_element(values.begin(), found, values.end());
    return *found;
}

auto bounded(duration correction) -> duration
{
    return std::clamp(correction, -forecast_calibrator::max_correction, forecast_calibrator::max_correction);
}

} // namespace

auto class_of(const engine_condition& engine) -> condition_class
{
    if (is_idle(engine)) {
        return condition_class::idle;
    }
    // Before prefilling: calls that others placed unseen take the last slot, and the wait for the next one
    // outweighs what there is to prefill.
    if (engine.streams + 1 >= engine.slots) {
        return condition_class::nearly_full;
    }
    if (engine.parts > 0 || engine.pending_prefill > little_prefill) {
        return condition_class::prefilling;
    }
    return engine.streams * 2 <= engine.slots ? condition_class::light : condition_class::busy;
}

auto call_forecast::from_profile(const engine_forecast& profile, const engine_condition& engine,
                                 duration prefill_time) -> call_times
{
    const std::int64_t context_tokens = engine.memory_tokens / std::max(engine.streams, 1);
    const duration running = profile.iteration_time(engine.streams, context_tokens);
    // The iteration that is running ends first, half of it on average. The prompt is prefilled in the next
    // one, whose end yields the first token. An idle engine starts at once and needs no iteration for it.
    const duration wait = is_idle(engine) ? duration::zero() : running / 2 + running + engine.pending_prefill;
    const duration decode = profile.iteration_time(engine.streams + 1, context_tokens);
    // What is pending now is prefilled before this call's first token and lengthens no pause of it. Prompts
    // that come later do: taken to be like this one but, as long ones are divided, of an iteration at most.
    const duration later_prompt = std::min(prefill_time, decode);
    return {soonest_first_token(engine, prefill_time) + scaled(wait, engine.slowdown),
            scaled(decode + later_prompt, engine.slowdown)};
}

auto call_forecast::corrected(duration first_token, const engine_condition& engine, duration prefill_time,
                              duration correction::*error) const -> duration
{
    const correction& learned = corrections_.at(static_cast<std::size_t>(class_of(engine)));
    const double weight = static_cast<double>(learned.samples) / forecast_calibrator::full_samples;
    return std::max(first_token + scaled(learned.*error, std::min(weight, 1.0)),
                    soonest_first_token(engine, prefill_time));
}

auto call_forecast::times(const engine_forecast& profile, const engine_condition& engine,
                          duration prefill_time) const -> call_times
{
    call_times expected = from_profile(profile, engine, prefill_time);
    expected.first_token = corrected(expected.first_token, engine, prefill_time, &correction::median);
    return expected;
}

auto call_forecast::upper_first_token(const engine_forecast& profile, const engine_condition& engine,
                                      duration prefill_time) const -> duration
{
    const duration expected = from_profile(profile, engine, prefill_time).first_token;
    return corrected(expected, engine, prefill_time, &correction::upper);
}

void forecast_calibrator::dispatched(placement_id placed, const forecast_call& call, instant now)
{
    expire(now);
    open_[placed] = {call, now};
}

auto forecast_calibrator::first_token(placement_id placed, instant now) -> std::optional<forecast_outcome>
{
    const auto found = open_.find(placed);
    if (found == open_.end()) {
        return std::nullopt;
    }
    const forecast_call call = found->second.call;
    const duration measured = now - found->second.sent_at;
    open_.erase(found);
    expire(now);
    const condition_class engine = class_of(call.engine);
    if (call.engine.slowdown < upstream_speeds::slow_threshold) {
        auto& observed = observations_.at(static_cast<std::size_t>(engine));
        observed.push_back({measured - call.from_profile.first_token, now});
        if (observed.size() > window) {
            observed.pop_front();
        }
        update_forecast();
    }
    return forecast_outcome{call.predicted.first_token, measured, measured > call.time_to_target,
                            call.predicted.first_token > call.time_to_target, engine};
}

void forecast_calibrator::expire(instant now)
{
    bool changed = false;
    for (auto& observed : observations_) {
        while (!observed.empty() && now - observed.front().at > max_age) {
            observed.pop_front();
            changed = true;
        }
    }
    if (changed) {
        update_forecast();
    }
}

void forecast_calibrator::update_forecast()
{
    std::array<call_forecast::correction, condition_classes> corrections{};
    for (std::size_t index = 0; index < condition_classes; ++index) {
        std::vector<duration> errors;
        errors.reserve(observations_[index].size());
        for (const observation& observed : observations_[index]) {
            errors.push_back(observed.error);
        }
        if (!errors.empty()) {
            corrections[index] = {bounded(quantile(errors, median_share)),
                                  bounded(quantile(errors, upper_share)), errors.size()};
        }
    }
    forecast_ = call_forecast(corrections);
}

} // namespace dragonflymill::direct
