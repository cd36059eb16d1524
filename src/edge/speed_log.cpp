#include "edge/speed_log.h"

#include "log/logger.h"

#include <algorithm>

namespace dragonflymill::edge {

void speed_log::update(const direct::upstream_list& fleet, const direct::upstream_speeds& speeds,
                       gateway_metrics& metrics, instant now)
{
    const auto& upstreams = fleet.upstreams();
    for (auto item = slow_.begin(); item != slow_.end();) {
        const auto& [run, id] = *item;
        const auto known = upstreams.find(id);
        const bool gone = known == upstreams.end() || direct::run_of(known->second.entry) != run;
        const double slowdown = speeds.slowdown(run, now);
        if (!gone && slowdown >= direct::upstream_speeds::normal_threshold) {
            ++item;
            continue;
        }
        log_event(event::upstream_speed_normal, field("upstream", id), field("slowdown", slowdown),
                  field("gone", gone));
        item = slow_.erase(item);
    }
    for (const upstream_run run : speeds.slow_upstreams(now)) {
        if (slow_.contains(run)) {
            continue;
        }
        const auto found = std::find_if(upstreams.begin(), upstreams.end(), [run](const auto& item) {
            return direct::run_of(item.second.entry) == run;
        });
        if (found == upstreams.end()) {
            // Its run has ended, or its entry isn't read yet.
            continue;
        }
        slow_.emplace(run, found->first);
        log_event(event::upstream_slow, field("upstream", found->first),
                  field("slowdown", speeds.slowdown(run, now)),
                  field("source", direct::to_string(speeds.source_of(run, now))));
    }
    metrics.slow_upstreams.set(static_cast<std::int64_t>(slow_.size()));
}

} // namespace dragonflymill::edge
