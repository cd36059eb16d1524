#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_config.h"

namespace dragonflymill::direct {

/// What is known of an attempt whose upstream is silent.
struct stalled_attempt
{
    bool begun = false; ///< Whether an event of its stream came.
    duration reading{}; ///< Reading that the upstream has to do, by the load board.

    friend auto operator==(const stalled_attempt&, const stalled_attempt&) -> bool = default;
};

/// How long callers of a route bear a stream's silence before they leave.
[[nodiscard]] auto client_timeout_for(const route_rule& route) -> duration;

/// Whether an upstream has so much to read that its silence doesn't mean that it is lost.
[[nodiscard]] auto is_busy_prefilling(duration reading) -> bool;

/// How long an upstream may be silent before its call is sent to another one.
///
/// Too short, and calls of a busy engine are read a second time elsewhere, which makes the next engine
/// silent; too long, and a lost engine's callers leave first.
[[nodiscard]] auto stall_timeout_for(const route_rule& route, const stalled_attempt& attempt) -> duration;

} // namespace dragonflymill::direct
