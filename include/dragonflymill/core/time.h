#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflymill {

/// Time span with the resolution that all decision code uses.
using duration = std::chrono::microseconds;

/// Clock tag of the process's monotonic time. Decision code reads no clock; `now` is passed in.
struct monotonic_time
{
    using duration = std::chrono::microseconds; ///< Resolution of the clock.
};

/// Time point on the monotonic clock of one process. Time points of different processes are not comparable.
using instant = std::chrono::time_point<monotonic_time, duration>;

/// Clock tag of civil (wall-clock) time. An input only where stated, e.g. the term end of a bundle or log
/// timestamps.
struct civil_time
{
    using duration = std::chrono::microseconds; ///< Resolution of the clock.
};

/// Time point in civil time, in microseconds since 1970-01-01 UTC.
using wall_instant = std::chrono::time_point<civil_time, duration>;

/// `value` multiplied by `factor`, truncated to whole microseconds.
[[nodiscard]] constexpr auto scaled(duration value, double factor) -> duration
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

/// Converts milliseconds to a duration, truncated to whole microseconds.
[[nodiscard]] constexpr auto from_ms(double ms) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace): for literals such as 5ms

} // namespace dragonflymill
