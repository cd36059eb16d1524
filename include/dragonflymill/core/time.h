#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflymill {

/// Resolution of every time in the decision parts.
using duration = std::chrono::microseconds;

/// Tag of the process's own monotonic time. No decision part reads a clock: `now` is always passed in.
struct monotonic_time
{
    using duration = std::chrono::microseconds; ///< Resolution of the clock.
};

/// A moment on the monotonic clock of one process. Moments of two hosts are never compared.
using instant = std::chrono::time_point<monotonic_time, duration>;

/// Tag of civil time; an input only where a part names it (term end of a bundle, log stamps).
struct civil_time
{
    using duration = std::chrono::microseconds; ///< Resolution of the clock.
};

/// A moment of civil time, in microseconds since 1970 UTC.
using wall_instant = std::chrono::time_point<civil_time, duration>;

/// So many times a duration, in whole microseconds.
[[nodiscard]] constexpr auto scaled(duration value, double factor) -> duration
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

/// A duration of so many milliseconds, in whole microseconds.
[[nodiscard]] constexpr auto from_ms(double ms) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace): times read best with their unit

} // namespace dragonflymill
