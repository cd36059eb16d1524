#pragma once

#include "timeline/clock_offsets.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <vector>

namespace dragonflymill {

/// An event with its time on the common clock.
struct placed_event
{
    duration at{0};       ///< Common time since the first event.
    timeline_event event; ///< The event as recorded.

    friend auto operator==(const placed_event&, const placed_event&) -> bool = default;
};

/// All steps of one process for one request. Spans of the same process that overlap in time have different
/// rows.
struct request_span
{
    std::size_t process = 0;         ///< Index into `merged_timeline::clocks`.
    std::size_t row = 0;             ///< Row within the process, from 0.
    std::vector<placed_event> steps; ///< Events in order of time.

    /// Time of the first step.
    [[nodiscard]] auto begin() const -> duration { return steps.front().at; }
    /// Time of the last step.
    [[nodiscard]] auto end() const -> duration { return steps.back().at; }

    friend auto operator==(const request_span&, const request_span&) -> bool = default;
};

/// Position of one end of a message in the spans.
struct span_place
{
    std::size_t span = 0; ///< Index into `merged_timeline::spans`.
    std::size_t step = 0; ///< Index into the steps of the span.

    friend auto operator==(const span_place&, const span_place&) -> bool = default;
};

/// A message between two spans.
struct message_arrow
{
    span_place from; ///< Position of the send event.
    span_place to;   ///< Position of the receive event.

    friend auto operator==(const message_arrow&, const message_arrow&) -> bool = default;
};

/// Timelines of several processes on a common clock.
struct merged_timeline
{
    std::vector<clock_offset> clocks;         ///< Clock offset of each process, sorted by name.
    std::vector<request_span> spans;          ///< Request spans in order of their first step.
    std::vector<placed_event> process_events; ///< Events without a request.
    std::vector<message_arrow> messages;      ///< Messages with both ends, by span and step of the sender.

    /// Index of `process` in `clocks`, which must contain it.
    [[nodiscard]] auto process_index(const process_id& process) const -> std::size_t;
};

/// Merges events of several processes into one timeline on a common clock.
[[nodiscard]] auto merge_timelines(std::vector<timeline_event> events) -> merged_timeline;

} // namespace dragonflymill
