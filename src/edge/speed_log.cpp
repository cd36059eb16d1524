#include "edge/speed_log.h"

#include "log/logger.h"

#include <utility>

namespace dragonflymill::edge {

void speed_log::update(const direct::upstream_list& fleet, const direct::upstream_speeds& speeds,
                       gateway_metrics& metrics, instant now)
{
    const auto runs = speeds.slow_upstreams(now);
    metrics.slow_upstreams.set(static_cast<std::int64_t>(runs.size()));
    if (runs.empty() && slow_.empty()) {
        return;
    }
    std::map<upstream_run, std::string> ids;
    for (const auto& [id, state] : fleet.upstreams()) {
        ids.emplace(direct::run_of(state.entry), id);
    }
    std::map<upstream_run, std::string> slow;
    for (const upstream_run run : runs) {
        const auto id = ids.find(run);
        if (id == ids.end()) {
            // Its run has ended, or its entry isn't read yet.
            continue;
        }
        slow.emplace(run, id->second);
        if (!slow_.contains(run)) {
            log_event(event::upstream_slow, field("upstream", id->second),
                      field("slowdown", speeds.slowdown(run, now)),
                      field("source", direct::to_string(speeds.source_of(run, now))));
        }
    }
    for (const auto& [run, id] : slow_) {
        if (!slow.contains(run)) {
            log_event(event::upstream_speed_normal, field("upstream", id),
                      field("slowdown", speeds.slowdown(run, now)), field("gone", !ids.contains(run)));
        }
    }
    slow_ = std::move(slow);
}

} // namespace dragonflymill::edge
