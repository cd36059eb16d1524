#include "dragonflymill/admission/load_step_detector.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Weight of a new report in the moving average of the queue length.
constexpr double report_weight = 0.1;

} // namespace

load_step_detector::load_step_detector(load_step_options options)
    : options_(options)
    , slot_length_(std::max(duration(1), options.max_lag * 2 / static_cast<duration::rep>(slot_count)))
{
}

auto load_step_detector::slot_number(instant now) const -> std::int64_t
{
    return now.time_since_epoch() / slot_length_;
}

void load_step_detector::advance(instant now)
{
    const std::int64_t slot = slot_number(now);
    const std::int64_t first = std::max(newest_slot_ + 1, slot - static_cast<std::int64_t>(slot_count) + 1);
    for (std::int64_t i = first; i <= slot; ++i) {
        peaks_[static_cast<std::size_t>(i) % slot_count] = outstanding_;
    }
    newest_slot_ = std::max(newest_slot_, slot);
}

void load_step_detector::set_outstanding(instant now, work_cost outstanding)
{
    advance(now);
    outstanding_ = outstanding;
    work_cost& peak = peaks_[static_cast<std::size_t>(newest_slot_) % slot_count];
    peak = std::max(peak, outstanding);
}

auto load_step_detector::own_peak(std::int64_t from, std::int64_t to) const -> work_cost
{
    work_cost highest = 0;
    for (std::int64_t i = std::max<std::int64_t>(from, 0); i <= to; ++i) {
        highest = std::max(highest, peaks_[static_cast<std::size_t>(i) % slot_count]);
    }
    return highest;
}

auto load_step_detector::report(instant now, work_cost queued, duration age) -> bool
{
    advance(now);
    if (age > options_.max_lag) {
        return false;
    }
    const auto half = static_cast<std::int64_t>(slot_count / 2);
    const work_cost before = own_peak(newest_slot_ - 2 * half + 1, newest_slot_ - half);
    const work_cost recent = own_peak(newest_slot_ - half + 1, newest_slot_);
    const bool own_grew = static_cast<double>(recent) > static_cast<double>(before) * options_.own_growth;
    const double queue = static_cast<double>(queued);
    const bool mostly_waiting = queue >= static_cast<double>(recent) * options_.own_share;
    const bool step = has_reports_ && queued >= options_.min_queue && queue > mean_queue_ * options_.multiple;
    mean_queue_ = has_reports_ ? mean_queue_ + (queue - mean_queue_) * report_weight : queue;
    has_reports_ = true;
    return step && !own_grew && mostly_waiting;
}

void load_step_detector::reset()
{
    has_reports_ = false;
    mean_queue_ = 0;
}

} // namespace dragonflymill
