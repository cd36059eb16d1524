#pragma once

#include "timeline/clock_offsets.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <vector>

namespace dragonflymill {

/// An event on the common time.
struct placed_event
{
    duration at{0};       ///< Common time, from the first event of all.
    timeline_event event; ///< The event.

    friend auto operator==(const placed_event&, const placed_event&) -> bool = default;
};

/// All that one process did for one request, on a row of its own among those of the process, so that
/// requests at the same time don't cover each other.
struct request_span
{
    std::size_t process = 0;         ///< Index into `merged_timeline::clocks`.
    std::size_t row = 0;             ///< Row within the process, from 0.
    std::vector<placed_event> steps; ///< Its events, in order.

    /// Begin of the first step.
    [[nodiscard]] auto begin() const -> duration { return steps.front().at; }
    /// Begin of the last step.
    [[nodiscard]] auto end() const -> duration { return steps.back().at; }

    friend auto operator==(const request_span&, const request_span&) -> bool = default;
};

/// One end of a message, as a place among the spans.
struct span_place
{
    std::size_t span = 0; ///< Index into `merged_timeline::spans`.
    std::size_t step = 0; ///< Index into its steps.

    friend auto operator==(const span_place&, const span_place&) -> bool = default;
};

/// A message between two processes.
struct message_arrow
{
    span_place from; ///< Where it was sent.
    span_place to;   ///< Where it was received.

    friend auto operator==(const message_arrow&, const message_arrow&) -> bool = default;
};

/// The time lines of many processes, on one time.
struct merged_timeline
{
    std::vector<clock_offset> clocks;         ///< The processes, in order of their names.
    std::vector<request_span> spans;          ///< Requests at processes, in order of begin.
    std::vector<placed_event> process_events; ///< Events that belong to no request.
    std::vector<message_arrow> messages;      ///< Messages with both ends, in order of sending.

    /// Index of a process into `clocks`; the process must be there.
    [[nodiscard]] auto process_index(const process_id& process) const -> std::size_t;
};

/// Places `events` of many processes on one time.
[[nodiscard]] auto merge_timelines(std::vector<timeline_event> events) -> merged_timeline;

} // namespace dragonflymill
