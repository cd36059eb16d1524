#include "dragonflymill/overload/paused_work.h"

#include <algorithm>

namespace dragonflymill {

auto paused_work::add(const running_work& running) -> bool
{
    if (paused_.size() >= settings_.max_paused) {
        return false;
    }
    const auto earlier = [](const running_work& a, const running_work& b) {
        return latest_start(a) < latest_start(b);
    };
    paused_.insert(std::upper_bound(paused_.begin(), paused_.end(), running, earlier), running);
    return true;
}

void paused_work::remove(const request_id& request)
{
    std::erase_if(paused_, [&request](const running_work& each) { return each.work.request == request; });
}

auto paused_work::due(instant now, const load_signal& load) -> paused_work_due
{
    paused_work_due due;
    const auto resume_bound = static_cast<double>(load.bound.count()) * settings_.resume_below;
    const bool may_resume = static_cast<double>(load.drain_time.count()) < resume_bound;
    std::size_t resumes = may_resume ? settings_.max_resumes : 0;
    while (!paused_.empty()) {
        const running_work& next = paused_.front();
        // Guards against a request that stays paused past its time limit and is neither answered nor refused.
        // It is resumed by its latest start, and reported as expired if this process runs too late for that.
        const bool overdue = latest_start(next) <= now;
        if (!overdue && resumes == 0) {
            break;
        }
        resumes -= overdue ? 0 : 1;
        (next.work.limit.expired(now) ? due.expire : due.resume).push_back(next.work.request);
        paused_.erase(paused_.begin());
    }
    return due;
}

auto paused_work::take_all() -> paused_work_due
{
    paused_work_due due;
    for (const auto& each : paused_) {
        due.resume.push_back(each.work.request);
    }
    paused_.clear();
    return due;
}

auto paused_work::next_wake() const -> std::optional<instant>
{
    return paused_.empty() ? std::nullopt : std::optional(latest_start(paused_.front()));
}

auto paused_work::latest_start(const running_work& running) -> instant
{
    // Half as long again as predicted, since other requests run at the same time.
    return running.work.limit.end() - running.cost_left - running.cost_left / 2;
}

} // namespace dragonflymill
