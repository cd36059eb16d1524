#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <string>
#include <string_view>

namespace dragonflymill {

/// Which end of a message an event describes.
enum class message_end
{
    none,    ///< The event describes no message.
    send,    ///< The process sent the message.
    receive, ///< The process received the message.
};

/// One step of one process, as recorded in its timeline.
struct timeline_event
{
    process_id process;                  ///< Process that recorded the event.
    instant at;                          ///< Time on the monotonic clock of the process.
    wall_instant wall;                   ///< Time on the civil clock of the process.
    request_id request;                  ///< Related request; empty if there is none.
    std::string step;                    ///< Name of the step, in snake_case.
    std::string detail;                  ///< Additional human-readable information.
    std::string message;                 ///< Name of the message; identical at both ends.
    message_end end = message_end::none; ///< End of the message that the event describes.

    friend auto operator==(const timeline_event&, const timeline_event&) -> bool = default;
};

/// Message of an attempt: the gateway opens it.
inline constexpr std::string_view open_message = "open";
/// Message of an attempt: the sidecar grants it, and the gateway may send the prompt.
inline constexpr std::string_view grant_message = "grant";
/// Message of an attempt: the sidecar ends it with a refusal or after the complete response.
inline constexpr std::string_view end_message = "end";

/// Name of a message of an attempt, unique across all processes. `what` distinguishes the messages of one
/// attempt.
[[nodiscard]] auto attempt_message(const request_id& request, attempt_number attempt, std::string_view what)
    -> std::string;

/// Formats an event as one line of a timeline file, without a line feed.
[[nodiscard]] auto to_json_line(const timeline_event& event) -> std::string;

/// Parses a line written by `to_json_line`. Fails with `corrupt` if it is not a timeline event.
[[nodiscard]] auto parse_timeline_line(std::string_view line) -> result<timeline_event>;

} // namespace dragonflymill
