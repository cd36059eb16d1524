#pragma once

#include "dragonflymill/overload/caller_budget.h"
#include "edge/gateway_metrics.h"

namespace dragonflymill::edge {

/// Publishes what the budget of one port decides: counters at once, and one log line for an interval, however
/// many connections there are. Returns free memory to the system after much was released.
class caller_budget_log
{
public:
    /// `port` names the port in the log.
    explicit caller_budget_log(const char* port)
        : port_(port)
    {
    }

    void update(const caller_budget& budget, gateway_metrics& metrics, instant now);

    /// Shortest time between two lines.
    static constexpr duration log_interval = 5s;
    /// Bytes released since the last time after which free memory is returned to the system.
    static constexpr std::size_t trim_bytes = 8'388'608;

private:
    const char* port_;
    caller_budget_counts published_;
    caller_budget_counts logged_;
    instant logged_at_{};
    std::size_t held_at_most_ = 0; // since memory was last returned
};

} // namespace dragonflymill::edge
