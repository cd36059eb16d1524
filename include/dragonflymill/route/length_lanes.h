#pragma once

#include "dragonflymill/route/upstream_description.h"

#include <span>

namespace dragonflymill {

/// Marks `share` of each model's upstreams, spread over the failure domains, as not taking bulk prefill, so
/// that short requests always find an engine without any. Every gateway marks the same ones, with no message,
/// since all of them work it out from the same bundle. A model with one upstream keeps it for everything.
void reserve_for_short(double share, std::span<upstream_description> upstreams);

} // namespace dragonflymill
