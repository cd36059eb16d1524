#pragma once

#include "timeline/timeline_merge.h"

#include <ostream>

namespace dragonflymill {

/// Writes a timeline as a self-contained HTML page with an SVG drawing: a band per process, a bar per
/// request, a tick per step and a line per message. The page size is bounded; the page states how many steps
/// and messages are omitted.
void write_timeline_picture(const merged_timeline& merged, std::ostream& out);

} // namespace dragonflymill
