#include "edge/belief_report.h"

#include "log/logger.h"

#include <algorithm>

namespace dragonflymill::edge {

namespace {

void log_outage(const direct::outage_change& change)
{
    if (change.step == direct::outage_step::began) {
        log_event(event::domain_outage_believed, field("failure_domain", change.failure_domain),
                  field("upstreams", change.evidence.upstreams),
                  field("witnesses", change.evidence.witnesses),
                  field("silent_gateways", change.evidence.silent_gateways));
        return;
    }
    log_event(event::domain_outage_over, field("failure_domain", change.failure_domain),
              field("why", direct::to_string(change.step)), field("lasted_us", change.lasted));
}

} // namespace

void report_beliefs(direct::call_dispatcher& dispatcher, gateway_metrics& metrics, instant now)
{
    duration oldest{};
    const rate_limit_beliefs& beliefs = dispatcher.availability().rate_limits().beliefs();
    for (const auto& [upstream, belief] : beliefs.all()) {
        if (belief.calls_per_s) {
            oldest = std::max(oldest, now - belief.stated_at);
        }
    }
    metrics.limited_upstreams.set(static_cast<std::int64_t>(beliefs.limited()));
    metrics.oldest_limit_age.set(oldest / 1s);
    const direct::upstream_statements& statements = dispatcher.availability().statements();
    metrics.pushback_upstreams.set(static_cast<std::int64_t>(statements.pushbacks()));
    metrics.draining_upstreams.set(static_cast<std::int64_t>(statements.drains()));
    metrics.domains_out.set(static_cast<std::int64_t>(dispatcher.domains().count()));
    for (const direct::outage_change& change : dispatcher.domains().take_changes()) {
        log_outage(change);
    }
}

} // namespace dragonflymill::edge
