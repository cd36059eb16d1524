#pragma once

#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/direct/upstream_speeds.h"
#include "edge/gateway_metrics.h"

#include <map>
#include <string>

namespace dragonflymill::edge {

/// Logs when an upstream begins and ceases to count as slow.
class speed_log
{
public:
    /// Compares the upstreams that count as slow with those of the last call, and counts them.
    void update(const direct::upstream_list& fleet, const direct::upstream_speeds& speeds,
                gateway_metrics& metrics, instant now);

private:
    std::map<upstream_run, std::string> slow_; // ids of the upstreams that are slow
};

} // namespace dragonflymill::edge
