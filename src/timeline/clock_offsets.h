#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"
#include "timeline/timeline_event.h"

#include <optional>
#include <span>
#include <vector>

namespace dragonflymill {

/// How a clock offset was determined.
enum class offset_source
{
    reference,  ///< The process whose clock is the common time.
    round_trip, ///< From messages in both directions; the error is at most `uncertainty`.
    one_way,    ///< From messages in one direction; the error is the delay of the fastest one.
    wall_clock, ///< From the hosts' civil clocks, since no messages link the process to others.
};

/// Human-readable description of an offset's source.
[[nodiscard]] auto to_string(offset_source source) -> const char*;

/// Offset from a process's monotonic clock to the common time.
struct clock_offset
{
    process_id process;                              ///< Process that the offset applies to.
    duration offset{0};                              ///< Duration to add to the process's clock.
    duration uncertainty{0};                         ///< Maximum error; zero if `source` gives no bound.
    offset_source source = offset_source::reference; ///< How the offset was determined.

    friend auto operator==(const clock_offset&, const clock_offset&) -> bool = default;
};

/// Estimates the clock offsets of all processes in `events`, sorted by process name.
///
/// For two processes, the minimum apparent delay in each direction bounds the difference of their clocks:
/// half the difference of the two delays is the estimate, half their sum the maximum error, for any asymmetry
/// of the real delays. Processes without direct messages are linked through others along the path with the
/// lowest total uncertainty. Clock drift within the timeline is not corrected.
[[nodiscard]] auto estimate_clock_offsets(std::span<const timeline_event> events)
    -> std::vector<clock_offset>;

} // namespace dragonflymill
