#include "edge/gateway_metrics.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

auto outcome(duration predicted, duration measured) -> direct::forecast_outcome
{
    constexpr duration target = 300ms;
    return {predicted, measured, measured > target, predicted > target, direct::condition_class::busy};
}

} // namespace

// Guards against a share of foreseen late tokens over one, or an error that only counts in one direction.
Test(gateway_metrics, forecast_outcomes_are_counted_apart)
{
    gateway_metrics metrics;
    metrics.record(outcome(100ms, 120ms));
    metrics.record(outcome(100ms, 400ms));
    metrics.record(outcome(350ms, 400ms));
    metrics.record(outcome(350ms, 200ms));
    cr_assert(metrics.late_first_tokens.value() == 2);
    cr_assert(metrics.late_first_tokens_foreseen.value() == 1);
    cr_assert(metrics.false_late_forecasts.value() == 1);
    const std::string text = metrics.text();
    cr_assert(text.find("dragonflymill_first_token_forecast_error_seconds_count 4") != std::string::npos);
    cr_assert(text.find("dragonflymill_first_token_forecast_error_seconds_sum 0.52") != std::string::npos);
}
