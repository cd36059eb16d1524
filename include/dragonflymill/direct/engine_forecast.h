#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_config.h"

#include <cstdint>

namespace dragonflymill::direct {

/// How long an engine takes for a piece of work, from its stated figures.
class engine_forecast
{
public:
    /// For engines with these figures.
    explicit engine_forecast(const engine_profile& figures)
        : figures_(figures)
    {
    }

    /// Time to read a prompt alone at one engine: its tokens, and the pairs of each with all earlier ones.
    [[nodiscard]] auto read_alone(std::int64_t prompt_tokens) const -> duration;
    /// The same when the prompt is read in `parts` even parts at as many engines.
    [[nodiscard]] auto read_part(std::int64_t prompt_tokens, int parts) const -> duration;
    /// Length of a pass with `writers` streams of `context_tokens` each and no reading.
    [[nodiscard]] auto pass(int writers, std::int64_t context_tokens) const -> duration;
    /// The figures.
    [[nodiscard]] auto figures() const -> const engine_profile& { return figures_; }

private:
    engine_profile figures_;
};

} // namespace dragonflymill::direct
