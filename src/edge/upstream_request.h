#pragma once

#include "dragonflymill/core/time.h"
#include "edge/caller_request.h"
#include "edge/header_names.h"

#include <string>

namespace dragonflymill::edge {

/// What a gateway adds to a caller's request for an upstream.
struct gateway_fields
{
    duration
        time_left{}; ///< For how long the answer is still wanted; told in whole milliseconds, at least one.
    std::string upstream;     ///< Id of the only upstream that may run it.
    std::string account;      ///< Client account; empty without one.
    std::string resume_after; ///< Last event that the caller has; empty: from the first on.
    std::string helpers; ///< Engines that read a part of the prompt, as upstreams take them; empty without.

    friend auto operator==(const gateway_fields&, const gateway_fields&) -> bool = default;
};

/// A caller's request as an upstream gets it: method, target, body and all fields that concern more than one
/// connection unchanged, the fields that belong to the gateway replaced by its own, the caller's key left
/// out.
[[nodiscard]] auto upstream_request(const caller_request& request, const header_names& names,
                                    const gateway_fields& own) -> std::string;

} // namespace dragonflymill::edge
