#include "dragonflymill/admission/cold_start_ramp.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Part of the mean first-token time over the line that counts as noise.
constexpr double stretch_noise = 0.05;

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
                         "a ramp rises from its floor");
}

void cold_start_ramp::fall(instant now)
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
    stretch_sum_ = 0;
    unjudged_ = false;
}

auto cold_start_ramp::near_allowed(const ramp_evidence& evidence) const -> bool
{
    const work_cost near_work = share_of(allowed_, options_.near_share);
    const work_cost lumpy_work = share_of(allowed_, options_.lumpy_share);
    // Large requests may leave a gap that none of the waiting ones fits into: that is near as well.
    return evidence.peak >= near_work || (evidence.refused_beside && evidence.peak >= lumpy_work);
}

void cold_start_ramp::succeeded(instant now, const ramp_evidence& evidence)
{
    if (warm() || evidence.epoch != epoch_ || !near_allowed(evidence)) {
        return;
    }
    if (evidence_began_ && now - *evidence_began_ > options_.evidence_span) {
        begin_epoch(now);
        return;
    }
    evidence_began_ = evidence_began_.value_or(now);
    evidence_cost_ += evidence.cost;
    stretch_sum_ += evidence.stretch.value_or(1.0) * static_cast<double>(evidence.cost);
    unjudged_ = unjudged_ || !evidence.stretch;
    const bool enough = evidence_cost_ >= std::max<work_cost>(1, share_of(allowed_, options_.evidence_share));
    const bool blind = unjudged_ && now - cold_since_ < options_.blind_hold;
    if (enough && !blind && now - epoch_began_ >= options_.window) {
        step_up(now);
    }
}

void cold_start_ramp::step_up(instant now)
{
    const work_cost grown = std::max(allowed_ + 1, share_of(allowed_, options_.growth));
    // An upstream that takes twice its time to the first token carries at most half of its full load.
    const double stretch = stretch_sum_ / static_cast<double>(evidence_cost_) - stretch_noise;
    const work_cost carried = share_of(options_.ceiling, 1.0 / std::max(1.0, stretch));
    allowed_ = std::max(allowed_, std::min({grown, carried, options_.ceiling}));
    begin_epoch(now);
}

void cold_start_ramp::resize(instant now, work_cost floor, work_cost ceiling)
{
    DRAGONFLYMILL_ASSERT(floor > 0 && floor <= ceiling, "a ramp rises from its floor");
    options_.floor = floor;
    options_.ceiling = ceiling;
    allowed_ = std::clamp(allowed_, floor, ceiling);
    begin_epoch(now);
}

} // namespace dragonflymill
