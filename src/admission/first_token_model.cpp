#include "dragonflymill/admission/first_token_model.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Factor on the weight of old measurements at each new one: about the last 200 count.
constexpr double decay = 0.995;
/// Weight of a measurement above the line relative to one below it.
constexpr double slow_weight = 0.2;
/// Share of the line below which a measurement is faster than noise explains.
constexpr double clearly_faster_share = 0.75;
/// Weight of the configured line, in measurements.
constexpr double expected_weight = 32.0;
/// Prefill length of the second support point of the configured line.
constexpr double expected_far_tokens = 32'768.0;

auto us_of(duration value) -> double
{
    return static_cast<double>(value.count());
}

} // namespace

first_token_model::first_token_model(first_token_options options)
    : options_(options)
{
    seed_expected();
}

void first_token_model::seed_expected()
{
    if (!options_.expected) {
        return;
    }
    uses_expected_line_ = true;
    line_ = *options_.expected;
    const double near_us = us_of(line_.base);
    const double far_us = near_us + line_.us_per_token * expected_far_tokens;
    add(0, near_us, expected_weight / 2);
    add(expected_far_tokens, far_us, expected_weight / 2);
}

void first_token_model::add(double tokens, double us, double weight)
{
    sums_.weight += weight;
    sums_.x += weight * tokens;
    sums_.y += weight * us;
    sums_.xx += weight * tokens * tokens;
    sums_.xy += weight * tokens * us;
}

void first_token_model::refit()
{
    const double mean_x = sums_.x / sums_.weight;
    const double mean_y = sums_.y / sums_.weight;
    const double variance = sums_.xx / sums_.weight - mean_x * mean_x;
    const double covariance = sums_.xy / sums_.weight - mean_x * mean_y;
    // Prompts of equal length give no slope: the line is then constant at their mean.
    const double slope = variance < 1.0 ? 0.0 : std::max(0.0, covariance / variance);
    const double base = std::max(0.0, mean_y - slope * mean_x);
    line_ = {duration(static_cast<duration::rep>(base)), slope};
}

auto first_token_model::predicted_us(token_count prefill) const -> double
{
    return us_of(line_.base) + line_.us_per_token * static_cast<double>(prefill);
}

auto first_token_model::judge(token_count prefill, duration elapsed, double leniency) const
    -> first_token_verdict
{
    if (!trusted()) {
        return first_token_verdict::unjudged;
    }
    const double predicted = predicted_us(prefill);
    const double measured = us_of(elapsed - options_.slack);
    if (measured > predicted * options_.cold_factor * leniency) {
        return first_token_verdict::cold;
    }
    return measured > predicted * options_.warm_multiple ? first_token_verdict::slow
                                                         : first_token_verdict::warm;
}

auto first_token_model::slowdown(token_count prefill, duration elapsed) const -> double
{
    const double predicted = predicted_us(prefill);
    return !trusted() || predicted < 1.0 ? 1.0 : us_of(elapsed) / predicted;
}

auto first_token_model::overdue_after(token_count prefill, double leniency) const -> std::optional<duration>
{
    if (!trusted()) {
        return std::nullopt;
    }
    const double limit = predicted_us(prefill) * options_.cold_factor * leniency;
    return options_.slack + duration(static_cast<duration::rep>(limit));
}

void first_token_model::learn(instant now, token_count prefill, duration elapsed, first_token_learning which)
{
    if (judge(prefill, elapsed) == first_token_verdict::cold) {
        cold_since_ = cold_since_.value_or(now);
        if (now - *cold_since_ < options_.relearn_after) {
            return;
        }
        // The line is dropped, and the ramp continues without one until it is relearned.
        sums_ = {};
        samples_ = 0;
        uses_expected_line_ = false;
    }
    cold_since_.reset();
    const double predicted = predicted_us(prefill);
    const bool slower = trusted() && us_of(elapsed) > predicted;
    const bool clearly_faster = trusted() && us_of(elapsed) < predicted * clearly_faster_share;
    if (which == first_token_learning::faster_only && !clearly_faster) {
        return;
    }
    sums_.weight *= decay;
    sums_.x *= decay;
    sums_.y *= decay;
    sums_.xx *= decay;
    sums_.xy *= decay;
    add(static_cast<double>(prefill), us_of(elapsed), slower ? slow_weight : 1.0);
    samples_ = std::min(samples_ + 1, options_.samples_needed);
    refit();
}

void first_token_model::reset()
{
    sums_ = {};
    line_ = {};
    samples_ = 0;
    cold_since_.reset();
    seed_expected();
}

auto first_token_model::trusted() const -> bool
{
    return uses_expected_line_ || samples_ >= options_.samples_needed;
}

auto first_token_model::line() const -> first_token_line
{
    return line_;
}

} // namespace dragonflymill
