#pragma once

#include "dragonflymill/core/error.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace dragonflymill {

/// Events read from time line files.
struct timeline_reading
{
    std::vector<timeline_event> events; ///< The events, in order of the files.
    std::size_t bad_lines = 0;          ///< Lines that are none; the last one of a process that died may be.
    std::size_t left_out = 0;           ///< Events over the bound.
};

/// Most events that are read; over it they are counted only.
inline constexpr std::size_t most_timeline_events = 4'000'000;

/// Adds what `in` has to `reading`.
void read_timeline(std::istream& in, timeline_reading& reading);

/// Reads several files.
[[nodiscard]] auto read_timeline_files(const std::vector<std::string>& files) -> result<timeline_reading>;

} // namespace dragonflymill
