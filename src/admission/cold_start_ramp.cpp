#include "dragonflymill/admission/cold_start_ramp.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Excess of the mean first-token time over the line that counts as noise.
constexpr double slowdown_noise = 0.05;

auto share_of(work_cost whole, double share) -> work_cost
{
    return static_cast<work_cost>(static_cast<double>(whole) * share);
}

} // namespace

cold_start_ramp::cold_start_ramp(instant now, cold_start_options options)
    : options_(options)
    , allowed_(options.floor)
    , cold_since_(now)
    , epoch_began_(now)
{
    DRAGONFLYMILL_ASSERT(options.floor > 0 && options.floor <= options.ceiling,
                         "the floor must be positive and at most the ceiling");
}

void cold_start_ramp::reset_to_floor(instant now)
{
    allowed_ = options_.floor;
    cold_since_ = now;
    begin_epoch(now);
}

void cold_start_ramp::begin_epoch(instant now)
{
    ++epoch_;
    epoch_began_ = now;
    evidence_cost_ = 0;
    evidence_began_.reset();
    slowdown_sum_ = 0;
    unjudged_ = false;
}

auto cold_start_ramp::at_full_load(const ramp_evidence& evidence) const -> bool
{
    const work_cost full_work = share_of(allowed_, options_.full_load_share);
    const work_cost fragmented_work = share_of(allowed_, options_.fragmented_share);
    // Large requests may leave free capacity that no waiting request fits into, which is full load as well.
    return evidence.peak >= full_work || (evidence.refused_concurrently && evidence.peak >= fragmented_work);
}

void cold_start_ramp::succeeded(instant now, const ramp_evidence& evidence)
{
    if (warm() || evidence.epoch != epoch_ || !at_full_load(evidence)) {
        return;
    }
    if (evidence_began_ && now - *evidence_began_ > options_.evidence_span) {
        begin_epoch(now);
        return;
    }
    evidence_began_ = evidence_began_.value_or(now);
    evidence_cost_ += evidence.cost;
    slowdown_sum_ += evidence.slowdown.value_or(1.0) * static_cast<double>(evidence.cost);
    unjudged_ = unjudged_ || !evidence.slowdown;
    const bool enough = evidence_cost_ >= std::max<work_cost>(1, share_of(allowed_, options_.evidence_share));
    const bool hold_unjudged = unjudged_ && now - cold_since_ < options_.unjudged_hold;
    if (enough && !hold_unjudged && now - epoch_began_ >= options_.window) {
        step_up(now);
    }
}

void cold_start_ramp::step_up(instant now)
{
    const work_cost grown = std::max(allowed_ + 1, share_of(allowed_, options_.growth));
    // An upstream with twice its usual time to first token can hold at most half of its full load.
    const double slowdown = slowdown_sum_ / static_cast<double>(evidence_cost_) - slowdown_noise;
    const work_cost sustainable = share_of(options_.ceiling, 1.0 / std::max(1.0, slowdown));
    allowed_ = std::max(allowed_, std::min({grown, sustainable, options_.ceiling}));
    begin_epoch(now);
}

void cold_start_ramp::resize(instant now, work_cost floor, work_cost ceiling)
{
    DRAGONFLYMILL_ASSERT(floor > 0 && floor <= ceiling, "the floor must be positive and at most the ceiling");
    options_.floor = floor;
    options_.ceiling = ceiling;
    allowed_ = std::clamp(allowed_, floor, ceiling);
    begin_epoch(now);
}

} // namespace dragonflymill
