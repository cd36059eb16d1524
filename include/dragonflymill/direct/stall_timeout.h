#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_config.h"

namespace dragonflymill::direct {

/// State of an attempt whose upstream is silent.
struct stalled_attempt
{
    bool started = false;       ///< Whether an event of its stream arrived.
    duration pending_prefill{}; ///< Pending prefill of the upstream, from the load tracker.

    friend auto operator==(const stalled_attempt&, const stalled_attempt&) -> bool = default;
};

/// Returns how long clients of a route wait for a silent stream before they disconnect.
[[nodiscard]] auto client_timeout_for(const route_rule& route) -> duration;

/// Returns how long an upstream of a route may be silent until it has most likely lost the request.
[[nodiscard]] auto silence_limit_for(const route_rule& route) -> duration;

/// Returns whether an upstream has so much pending prefill that its silence doesn't indicate a loss.
[[nodiscard]] auto is_busy_prefilling(duration pending_prefill) -> bool;

/// Returns how long an upstream may be silent before its call is retried at another one.
///
/// If the timeout is too short, calls of a busy engine are prefilled again elsewhere, which makes the next
/// engine silent in turn. If it is too long, the clients of a lost engine disconnect first.
[[nodiscard]] auto stall_timeout_for(const route_rule& route, const stalled_attempt& attempt) -> duration;

} // namespace dragonflymill::direct
