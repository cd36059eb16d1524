#pragma once

#include "dragonflymill/overload/caller_budget.h"
#include "edge/gateway_metrics.h"

namespace dragonflymill::edge {

/// Publishes what the budget for callers decides: counters at once, and a log line with the sums of an
/// interval at most, however many callers there are. Gives memory back to the system after much was released.
class caller_budget_log
{
public:
    void update(const caller_budget& budget, gateway_metrics& metrics, instant now);

    /// Shortest time between two lines.
    static constexpr duration log_interval = 5s;
    /// Released memory from which on the allocator is told to return what it keeps.
    static constexpr std::size_t trim_bytes = 8'388'608;

private:
    caller_budget_counts published_;
    caller_budget_counts logged_;
    instant logged_at_{};
    std::size_t held_at_most_ = 0; // since memory was last returned
};

} // namespace dragonflymill::edge
