#pragma once

#include "timeline/timeline_merge.h"

#include <ostream>

namespace dragonflymill {

/// Writes a time line as one HTML page with a drawing, which needs nothing else to be looked at: a band for
/// each process, a bar for each request, a tick for each step, a line for each message. What does not fit a
/// page of bounded size is left out, and the page says how much.
void write_timeline_picture(const merged_timeline& merged, std::ostream& out);

} // namespace dragonflymill
