#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::runtime {

/// Monotonic time of this process. Called only by the I/O layer of the daemons; decision code receives the
/// time as a parameter.
[[nodiscard]] inline auto now() -> instant
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Civil (wall-clock) time of this host.
[[nodiscard]] inline auto wall_now() -> wall_instant
{
    return wall_instant(
        std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace dragonflymill::runtime
