#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/upstream_availability.h"
#include "edge/gateway_metrics.h"

namespace dragonflymill::edge {

/// Sets the metrics of what upstreams state in their responses.
void update_statement_metrics(const direct::upstream_availability& availability, gateway_metrics& metrics,
                              instant now);

} // namespace dragonflymill::edge
