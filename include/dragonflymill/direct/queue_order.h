#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/first_token_times.h"
#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/direct/waiting_call.h"

#include <set>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Sorts queued calls into the order in which they are dispatched.
///
/// Calls that can still meet their target go first: while upstreams are saturated, each call that is served
/// late would make another one late. Then the priority counts, then the shortest prefill, with aging: a
/// prompt of a million tokens takes as long as ten usual long ones, and would make all of them miss their
/// targets. In `rate_limited_services`, callers that were refused or attempted before go first: a client that
/// is refused a second time is lost, and a new one can still come back. `measured` are the times to first
/// token that tell which calls are late.
void sort_queue(std::vector<waiting_call>& calls, const upstream_list& fleet,
                const std::set<std::string>& rate_limited_services, const first_token_times& measured,
                instant now);

} // namespace dragonflymill::direct
