#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_attempts.h"
#include "dragonflymill/direct/dispatch_call.h"

#include <vector>

namespace dragonflymill::direct {

/// Returns the candidates with those marked as suspect at which an attempt of the call failed, and with
/// `avoid_domains` also those in failure domains that the call avoids.
[[nodiscard]] auto mark_tried_suspect(const std::vector<dispatch_candidate>& all,
                                      const call_attempts& attempts, bool avoid_domains, instant now)
    -> std::vector<dispatch_candidate>;

} // namespace dragonflymill::direct
