#pragma once

#include "timeline/timeline_merge.h"

#include <ostream>

namespace dragonflymill {

/// Writes a time line as trace-event JSON, which trace viewers open: a process for each of ours, a thread for
/// each row, a slice for each request with its steps inside, and an arrow for each message.
void write_trace_events(const merged_timeline& merged, std::ostream& out);

} // namespace dragonflymill
