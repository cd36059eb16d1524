#pragma once

#include "timeline/timeline_merge.h"

#include <ostream>

namespace dragonflymill {

/// Writes a timeline in the Trace Event JSON format for trace viewers: a process per dragonflymill process, a
/// thread per row, a slice per request with nested slices for its steps, and a flow arrow per message.
void write_trace_events(const merged_timeline& merged, std::ostream& out);

} // namespace dragonflymill
