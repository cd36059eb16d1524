#pragma once

#include "dragonflymill/route/upstream_description.h"

#include <span>

namespace dragonflymill {

/// Reserves `share` of each model's upstreams, spread over the failure domains, for short requests by
/// excluding them from bulk prefill. Every gateway computes the same selection from the same bundle, so no
/// messages are needed. At least one upstream of each model stays unreserved.
void reserve_for_short(double share, std::span<upstream_description> upstreams);

} // namespace dragonflymill
