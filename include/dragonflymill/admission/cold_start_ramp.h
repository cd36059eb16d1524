#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>

namespace dragonflymill {

/// Work at an upstream: tokens of an engine, calls of a plain service.
using work_cost = std::int64_t;

/// Settings of a cold_start_ramp.
struct cold_start_options
{
    work_cost floor = 1;           ///< Capacity in cold start.
    work_cost ceiling = 1;         ///< Capacity when warm.
    double growth = 1.5;           ///< Growth factor of one step.
    duration window = 200ms;       ///< Minimum time between two steps.
    duration evidence_span = 30s;  ///< Maximum age of evidence.
    double evidence_share = 0.5;   ///< Cost of successes needed for a step, as a share of the allowance.
    double full_load_share = 0.75; ///< Share of the allowance in use that counts as full load.
    double fragmented_share = 0.4; ///< The same if another request was refused meanwhile.
    duration unjudged_hold = 30s;  ///< Time at the floor while there is no line to judge first tokens by.
};

/// Evidence from one successful request.
struct ramp_evidence
{
    std::uint64_t epoch = 0; ///< Epoch of the grant.
    work_cost cost = 0;      ///< Cost of the request.
    work_cost peak = 0;      ///< Highest outstanding work, including the request, at its grant and its end.
    bool refused_concurrently = false; ///< Whether another was refused for lack of capacity while it ran.
    std::optional<double> slowdown;    ///< First-token time as a multiple of the fitted line, if judged.
};

/// Limits the outstanding work of an upstream. The allowance rises from the floor to the ceiling in steps,
/// each after enough successes under nearly full load, and drops to the floor at once on a cold sign.
///
/// Guarded failure: a cold upstream that gets full load crashes, and crashes again after each restart under
/// the same load. Only successes under the present load raise the allowance; elapsed time, an idle upstream
/// and successes from before the last step or reset don't.
class cold_start_ramp
{
public:
    /// Starts at the floor, since a new process knows nothing about the state of its upstream.
    cold_start_ramp(instant now, cold_start_options options);

    /// Returns the present allowance.
    [[nodiscard]] auto allowed() const -> work_cost { return allowed_; }
    /// Returns whether the allowance has reached the ceiling.
    [[nodiscard]] auto warm() const -> bool { return allowed_ >= options_.ceiling; }
    /// Returns the number of the epoch; each step and reset begins a new one. Evidence counts only if its
    /// request was granted in the present epoch.
    [[nodiscard]] auto epoch() const -> std::uint64_t { return epoch_; }
    /// Returns the time of the last reset to the floor.
    [[nodiscard]] auto cold_since() const -> instant { return cold_since_; }
    /// Returns the settings.
    [[nodiscard]] auto options() const -> const cold_start_options& { return options_; }

    /// Lowers the allowance to the floor after a cold sign.
    void reset_to_floor(instant now);
    /// Adds the evidence of a success that was no cold sign; may raise the allowance by a step.
    void succeeded(instant now, const ramp_evidence& evidence);
    /// Sets floor and ceiling from a bundle. This raises the allowance at most to the new floor.
    void resize(instant now, work_cost floor, work_cost ceiling);

private:
    [[nodiscard]] auto at_full_load(const ramp_evidence& evidence) const -> bool;
    void begin_epoch(instant now);
    void step_up(instant now);

    cold_start_options options_;
    work_cost allowed_;
    std::uint64_t epoch_ = 0;
    instant cold_since_;
    instant epoch_began_;
    work_cost evidence_cost_ = 0;
    std::optional<instant> evidence_began_;
    double slowdown_sum_ = 0;
    bool unjudged_ = false;
};

} // namespace dragonflymill
