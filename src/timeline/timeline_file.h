#pragma once

#include "dragonflymill/core/error.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace dragonflymill {

/// Events read from timeline files.
struct timeline_reading
{
    std::vector<timeline_event> events; ///< Events in file order.
    std::size_t bad_lines = 0;          ///< Invalid lines, e.g. the truncated last line of a crashed process.
    std::size_t left_out = 0;           ///< Events skipped because of `most_timeline_events`.
};

/// Maximum number of events that are kept; further ones are only counted.
inline constexpr std::size_t most_timeline_events = 4'000'000;

/// Appends the events in `in` to `reading`.
void read_timeline(std::istream& in, timeline_reading& reading);

/// Reads several timeline files. Fails with `not_found` if one can't be opened.
[[nodiscard]] auto read_timeline_files(const std::vector<std::string>& files) -> result<timeline_reading>;

} // namespace dragonflymill
