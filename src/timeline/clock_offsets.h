#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"
#include "timeline/timeline_event.h"

#include <optional>
#include <span>
#include <vector>

namespace dragonflymill {

/// How a clock offset was found.
enum class offset_source
{
    reference,  ///< The process is the one that all others are set against.
    round_trip, ///< From messages both ways; wrong by at most the stated uncertainty.
    one_way,    ///< From messages one way only; wrong by the fastest message's way.
    wall_clock, ///< No message links it to the others; as wrong as the hosts' civil clocks.
};

/// Name of an offset's source, for people.
[[nodiscard]] auto to_string(offset_source source) -> const char*;

/// What to add to a process's monotonic clock to get the common time.
struct clock_offset
{
    process_id process;                              ///< The process.
    duration offset{0};                              ///< What to add.
    duration uncertainty{0};                         ///< How far off it can be, where `source` says so.
    offset_source source = offset_source::reference; ///< How it was found.

    friend auto operator==(const clock_offset&, const clock_offset&) -> bool = default;
};

/// Offsets of the clocks of all processes in `events`, in order of process names.
///
/// Between two processes the fastest message each way bounds the difference of their clocks: half the
/// difference of the two ways is the estimate, half their sum the most it can be wrong, whatever the ways'
/// asymmetry. Processes without direct messages are linked through others along the most certain links. A
/// drift of the clocks within the time line is not corrected.
[[nodiscard]] auto estimate_clock_offsets(std::span<const timeline_event> events)
    -> std::vector<clock_offset>;

} // namespace dragonflymill
