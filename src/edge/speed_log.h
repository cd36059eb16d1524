#pragma once

#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/direct/upstream_speeds.h"
#include "edge/gateway_metrics.h"

#include <map>
#include <string>

namespace dragonflymill::edge {

/// Logs when an upstream begins to count as slow, and when it runs at its normal speed again or is gone. In
/// between it may cease to count as slow for a moment, as evidence fades until it is renewed.
class speed_log
{
public:
    /// Logs what has changed since the last call, and sets the gauge of slow upstreams.
    void update(const direct::upstream_list& fleet, const direct::upstream_speeds& speeds,
                gateway_metrics& metrics, instant now);

private:
    std::map<upstream_run, std::string> slow_; // ids of the upstreams logged as slow
};

} // namespace dragonflymill::edge
