#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_config.h"

#include <cstdint>

namespace dragonflymill::direct {

/// Predicts how long an engine takes for prefill and decode, from its configured profile.
class engine_forecast
{
public:
    explicit engine_forecast(const engine_profile& profile)
        : profile_(profile)
    {
    }

    /// Returns the prefill time of a prompt at one engine: a linear share for its tokens, and a quadratic one
    /// for the attention between each token and all earlier ones.
    [[nodiscard]] auto prefill_time(std::int64_t prompt_tokens) const -> duration;
    /// Returns the prefill time per engine when the prompt is split evenly over `parts` engines.
    [[nodiscard]] auto split_prefill_time(std::int64_t prompt_tokens, int parts) const -> duration;
    /// Returns the length of an iteration that decodes `streams` streams of `context_tokens` each, without
    /// prefill.
    [[nodiscard]] auto iteration_time(int streams, std::int64_t context_tokens) const -> duration;
    [[nodiscard]] auto profile() const -> const engine_profile& { return profile_; }

private:
    engine_profile profile_;
};

} // namespace dragonflymill::direct
