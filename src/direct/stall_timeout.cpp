#include "dragonflymill/direct/stall_timeout.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// An upstream that is silent for three times the latency target has most likely lost the request. Clients of
/// streams disconnect after four times the target at the earliest, so a second attempt still reaches them.
constexpr int stall_latency_targets = 3;
/// After the first event, silence for four times the time between tokens (TBT) target indicates the same;
/// clients wait for eight times the target.
constexpr int stall_tbt_targets = 4;
/// Minimum stall timeout: clients tolerate a gap of two seconds, and a second attempt needs some hundred
/// milliseconds for its first event.
constexpr duration min_stall_timeout = 1s;
/// An engine with more pending prefill is silent because of it, not lost. With a timeout of one second for
/// such engines, six to twelve of their calls at a time were retried and prefilled twice.
constexpr duration busy_prefill = 250ms;
/// Calls of a busy engine are retried after this share of their clients' timeout. A lost engine's pending
/// prefill also remains in the load tracker, and the rest is enough for a second attempt's first event.
constexpr int busy_share_percent = 80;
/// Clients disconnect from a stream that has not started after the longest of these: a fixed time, and
/// multiples of the latency target and of the TBT target.
constexpr duration min_client_timeout = 2s;
constexpr int client_timeout_latency_targets = 4;
constexpr int client_timeout_tbt_targets = 8;

} // namespace

auto client_timeout_for(const route_rule& route) -> duration
{
    return std::max({min_client_timeout, client_timeout_latency_targets * route.latency_target,
                     client_timeout_tbt_targets * route.tbt_target});
}

auto silence_limit_for(const route_rule& route) -> duration
{
    return stall_latency_targets * route.latency_target;
}

auto is_busy_prefilling(duration pending_prefill) -> bool
{
    return pending_prefill > busy_prefill;
}

auto stall_timeout_for(const route_rule& route, const stalled_attempt& attempt) -> duration
{
    const duration silence =
        attempt.started ? stall_tbt_targets * route.tbt_target : silence_limit_for(route);
    const bool busy = is_busy_prefilling(attempt.pending_prefill);
    const duration busy_timeout =
        busy ? client_timeout_for(route) * busy_share_percent / 100 : duration::zero();
    return std::max({min_stall_timeout, silence, busy_timeout});
}

} // namespace dragonflymill::direct
