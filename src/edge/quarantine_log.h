#pragma once

#include "dragonflymill/quarantine/part_quarantine.h"
#include "edge/gateway_metrics.h"

#include <map>

namespace dragonflymill::edge {

/// Logs when parts of prompts are quarantined, and when they are released.
class quarantine_log
{
public:
    /// Logs what has changed since the last call, and sets the gauge of quarantines.
    void update(const part_quarantine& parts, gateway_metrics& metrics, instant now);

private:
    std::map<prompt_parts, instant> logged_; // since when
};

} // namespace dragonflymill::edge
