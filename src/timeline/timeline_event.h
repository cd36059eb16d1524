#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <string>
#include <string_view>

namespace dragonflymill {

/// Which end of a message an event tells of.
enum class message_end
{
    none,    ///< The event is not about a message.
    send,    ///< The process sent it.
    receive, ///< The process received it.
};

/// One step of one process, as its time line has it.
struct timeline_event
{
    process_id process;                  ///< The process.
    instant at;                          ///< When, on its monotonic clock.
    wall_instant wall;                   ///< When, on its civil clock.
    request_id request;                  ///< The request it belongs to; empty if it belongs to none.
    std::string step;                    ///< What happened, in snake_case.
    std::string detail;                  ///< More about it, for people.
    std::string message;                 ///< Name of the message sent or received; the same at both ends.
    message_end end = message_end::none; ///< Which end of the message.

    friend auto operator==(const timeline_event&, const timeline_event&) -> bool = default;
};

/// Message of a try: the gateway opens it.
inline constexpr std::string_view open_message = "open";
/// Message of a try: the sidecar lets the prompt come.
inline constexpr std::string_view grant_message = "grant";
/// Message of a try: the sidecar ends it, with a refusal or after the whole answer.
inline constexpr std::string_view end_message = "end";

/// Name of a message that belongs to a try at a request, unique over all processes: `what` tells apart the
/// messages of one try.
[[nodiscard]] auto attempt_message(const request_id& request, attempt_number attempt, std::string_view what)
    -> std::string;

/// The line of an event in a time line file, without a line feed.
[[nodiscard]] auto to_json_line(const timeline_event& event) -> std::string;

/// Reads a line that `to_json_line` wrote.
[[nodiscard]] auto parse_timeline_line(std::string_view line) -> result<timeline_event>;

} // namespace dragonflymill
