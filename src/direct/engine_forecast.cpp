#include "dragonflymill/direct/engine_forecast.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// Upper bound of a predicted prefill time, 28 hours. Clients may state prompts of any size, and sums of
/// predictions must not overflow.
constexpr double max_prefill_ms = 1e8;

} // namespace

auto engine_forecast::prefill_time(std::int64_t prompt_tokens) const -> duration
{
    return split_prefill_time(prompt_tokens, 1);
}

auto engine_forecast::split_prefill_time(std::int64_t prompt_tokens, int parts) const -> duration
{
    const auto tokens = static_cast<double>(prompt_tokens);
    const double pairs_millions = tokens * tokens / 2.0 / 1e6;
    const double linear_ms = tokens / std::max(profile_.prefill_tokens_per_ms, 1e-3);
    const double pairs_ms = pairs_millions * profile_.attention_ms_per_million_pairs;
    // Each prefill chunk takes one engine step, with its fixed time.
    const double steps_ms =
        profile_.prefill_chunk_tokens > 0 ? tokens / profile_.prefill_chunk_tokens * profile_.step_ms : 0.0;
    return from_ms(std::min((linear_ms + pairs_ms + steps_ms) / std::max(parts, 1), max_prefill_ms));
}

auto engine_forecast::iteration_time(int streams, std::int64_t context_tokens) const -> duration
{
    const double context = static_cast<double>(context_tokens) / 1000.0;
    const double each = profile_.step_ms_per_decode + context * profile_.step_ms_per_1k_context;
    return from_ms((profile_.step_ms + each * streams) * profile_.steps_per_pass);
}

} // namespace dragonflymill::direct
