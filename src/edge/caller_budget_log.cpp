#include "edge/caller_budget_log.h"

#include "log/logger.h"
#include "runtime/allocator.h"

#include <algorithm>

namespace dragonflymill::edge {

void caller_budget_log::update(const caller_budget& budget, gateway_metrics& metrics, instant now)
{
    const caller_budget_counts& counts = budget.counts();
    metrics.evicted_for_memory.add(counts.evicted_for_memory - published_.evicted_for_memory);
    metrics.evicted_for_connections.add(counts.evicted_for_connections - published_.evicted_for_connections);
    metrics.refused_for_memory.add(counts.claims_refused - published_.claims_refused);
    metrics.refused_connections.add(counts.connections_refused - published_.connections_refused);
    published_ = counts;
    if (counts != logged_ && now - logged_at_ >= log_interval) {
        log_event(event::callers_evicted, field("port", port_),
                  field("memory", counts.evicted_for_memory - logged_.evicted_for_memory),
                  field("connections", counts.evicted_for_connections - logged_.evicted_for_connections),
                  field("claims_refused", counts.claims_refused - logged_.claims_refused),
                  field("connections_refused", counts.connections_refused - logged_.connections_refused),
                  field("held_bytes", budget.held()), field("open", budget.connections()));
        logged_ = counts;
        logged_at_ = now;
    }
    held_at_most_ = std::max(held_at_most_, budget.held());
    if (held_at_most_ - budget.held() >= trim_bytes) {
        runtime::return_free_memory();
        held_at_most_ = budget.held();
    }
}

} // namespace dragonflymill::edge
