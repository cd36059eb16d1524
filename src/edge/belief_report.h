#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "edge/gateway_metrics.h"

namespace dragonflymill::edge {

/// Sets the metrics of what is believed of upstreams and failure domains, and logs which failure domains are
/// believed to be out since the last call, and which no longer.
void report_beliefs(direct::call_dispatcher& dispatcher, gateway_metrics& metrics, instant now);

} // namespace dragonflymill::edge
