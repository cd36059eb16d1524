#include "dragonflymill/direct/engine_forecast.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// No reading is forecast to take longer, 28 hours: a stated prompt may be of any size, and a sum of
/// forecasts has to stay a number.
constexpr double longest_reading_ms = 1e8;

} // namespace

auto engine_forecast::read_alone(std::int64_t prompt_tokens) const -> duration
{
    return read_part(prompt_tokens, 1);
}

auto engine_forecast::read_part(std::int64_t prompt_tokens, int parts) const -> duration
{
    const auto tokens = static_cast<double>(prompt_tokens);
    const double pairs_millions = tokens * tokens / 2.0 / 1e6;
    const double linear_ms = tokens / std::max(figures_.prefill_tokens_per_ms, 1e-3);
    const double pairs_ms = pairs_millions * figures_.attention_ms_per_million_pairs;
    // Each chunk is read in a step, which costs its time besides.
    const double steps_ms =
        figures_.prefill_chunk_tokens > 0 ? tokens / figures_.prefill_chunk_tokens * figures_.step_ms : 0.0;
    return from_ms(std::min((linear_ms + pairs_ms + steps_ms) / std::max(parts, 1), longest_reading_ms));
}

auto engine_forecast::pass(int writers, std::int64_t context_tokens) const -> duration
{
    const double context = static_cast<double>(context_tokens) / 1000.0;
    const double each = figures_.step_ms_per_decode + context * figures_.step_ms_per_1k_context;
    return from_ms((figures_.step_ms + each * writers) * figures_.steps_per_pass);
}

} // namespace dragonflymill::direct
