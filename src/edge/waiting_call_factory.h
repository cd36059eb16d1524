#pragma once

#include "dragonflymill/direct/waiting_call.h"
#include "edge/caller_request.h"
#include "edge/header_names.h"

#include <cstdint>

namespace dragonflymill::edge {

/// What a gateway knows of a caller's request besides its fields.
struct request_context
{
    const direct::route_rule& route;     ///< Route that it matches.
    const direct::account_rule* account; ///< Its client account; null for an anonymous caller.
    instant arrived{};                   ///< When it was received.
    duration limit{};                    ///< Time until its deadline.
    duration elapsed{};                  ///< Since the caller's first attempt; zero for the first one.
};

/// Returns the shorter of the route's time limit and the time that the caller states.
[[nodiscard]] auto time_limit(const caller_request& request, const header_names& names,
                              const direct::route_rule& route) -> duration;

/// Returns the call that is queued for a request. `id` is unique within the gateway.
[[nodiscard]] auto make_waiting_call(std::uint64_t id, const caller_request& request,
                                     const header_names& names, const request_context& context)
    -> direct::waiting_call;

} // namespace dragonflymill::edge
