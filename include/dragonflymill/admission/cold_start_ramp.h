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
    work_cost floor = 1;          ///< Work that the upstream carries in cold start.
    work_cost ceiling = 1;        ///< Work that it carries when warm.
    double growth = 1.5;          ///< Factor of one step up.
    duration window = 200ms;      ///< Shortest time between two steps.
    duration evidence_span = 30s; ///< Evidence older than this is dropped.
    double evidence_share = 0.5;  ///< Cost of successes that a step needs, as a share of what is allowed.
    double near_share = 0.75;     ///< Outstanding work from which a success ran near the allowed load.
    double lumpy_share = 0.4;     ///< The same when a further request was refused for lack of room.
    duration blind_hold = 30s;    ///< Time at the floor while first-token times can't be judged.
};

/// What one success tells the ramp.
struct ramp_evidence
{
    std::uint64_t epoch = 0;       ///< Epoch in which the request was granted.
    work_cost cost = 0;            ///< Its cost.
    work_cost peak = 0;            ///< Highest outstanding work, itself included, at its grant and its end.
    bool refused_beside = false;   ///< Whether a request was refused for lack of room while it ran.
    std::optional<double> stretch; ///< Its first-token time as a multiple of the fitted line, if judged.
};

/// The work that an upstream may hold: from the floor to the ceiling in steps, each earned by successes that
/// ran near what is allowed now; down to the floor at once on a cold sign.
///
/// Guarded failure: a cold upstream that gets full load falls over and stays down, since every restart meets
/// the same load. It holds because nothing but a success under the present load raises the allowance: time
/// alone, an idle upstream and successes from before the last step or fall don't.
class cold_start_ramp
{
public:
    /// Starts at the floor: a process that has just begun knows nothing about its upstream.
    cold_start_ramp(instant now, cold_start_options options);

    /// Work allowed now.
    [[nodiscard]] auto allowed() const -> work_cost { return allowed_; }
    /// Whether all of the ceiling is allowed.
    [[nodiscard]] auto warm() const -> bool { return allowed_ >= options_.ceiling; }
    /// Number of steps and falls so far; evidence counts only in the epoch in which it was granted.
    [[nodiscard]] auto epoch() const -> std::uint64_t { return epoch_; }
    /// When the last fall was.
    [[nodiscard]] auto cold_since() const -> instant { return cold_since_; }
    /// The settings.
    [[nodiscard]] auto options() const -> const cold_start_options& { return options_; }

    /// A cold sign: to the floor at once.
    void fall(instant now);
    /// A success that was no cold sign; may raise the allowance by a step.
    void succeeded(instant now, const ramp_evidence& evidence);
    /// New floor and ceiling out of a bundle; what is allowed rises by it only to the new floor.
    void resize(instant now, work_cost floor, work_cost ceiling);

private:
    [[nodiscard]] auto near_allowed(const ramp_evidence& evidence) const -> bool;
    void begin_epoch(instant now);
    void step_up(instant now);

    cold_start_options options_;
    work_cost allowed_;
    std::uint64_t epoch_ = 0;
    instant cold_since_;
    instant epoch_began_;
    work_cost evidence_cost_ = 0;
    std::optional<instant> evidence_began_;
    double stretch_sum_ = 0;
    bool unjudged_ = false;
};

} // namespace dragonflymill
