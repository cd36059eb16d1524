#include "edge/upstream_metrics.h"

#include <algorithm>

namespace dragonflymill::edge {

void update_statement_metrics(const direct::upstream_availability& availability, gateway_metrics& metrics,
                              instant now)
{
    duration oldest{};
    const rate_limit_beliefs& beliefs = availability.rate_limits().beliefs();
    for (const auto& [upstream, belief] : beliefs.all()) {
        if (belief.calls_per_s) {
            oldest = std::max(oldest, now - belief.stated_at);
        }
    }
    metrics.limited_upstreams.set(static_cast<std::int64_t>(beliefs.limited()));
    metrics.oldest_limit_age.set(oldest / 1s);
    metrics.pushback_upstreams.set(static_cast<std::int64_t>(availability.statements().pushbacks()));
    metrics.draining_upstreams.set(static_cast<std::int64_t>(availability.statements().drains()));
}

} // namespace dragonflymill::edge
