#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_attempts.h"
#include "dragonflymill/direct/dispatch_call.h"

#include <vector>

namespace dragonflymill::direct {

/// Returns the candidates for the next attempt of a call: those at which an attempt failed are suspect, and
/// with `avoid_domains` also those in failure domains that the call avoids. If all are suspect, those that
/// the call could not reach lately are left out while others remain.
[[nodiscard]] auto candidates_for_retry(const std::vector<dispatch_candidate>& all,
                                        const call_attempts& attempts, bool avoid_domains, instant now)
    -> std::vector<dispatch_candidate>;

} // namespace dragonflymill::direct
