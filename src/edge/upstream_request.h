#pragma once

#include "dragonflymill/core/time.h"
#include "edge/caller_request.h"
#include "edge/header_names.h"

#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// Header values that a gateway sets in a request to an upstream.
struct gateway_fields
{
    duration time_left{};        ///< Time until the deadline; sent in whole milliseconds, at least one.
    std::string upstream;        ///< Id of the only upstream that may run the request.
    std::string account;         ///< Client account; empty if none.
    std::string resume_after;    ///< Id of the last event that the caller has; empty to start from the first.
    std::string prefill_engines; ///< Encoded list of additional prefill engines; empty if none.

    friend auto operator==(const gateway_fields&, const gateway_fields&) -> bool = default;
};

/// A request as it is sent to an upstream.
struct encoded_request
{
    std::string head;      ///< Request line and fields, with the blank line.
    std::string_view body; ///< Body; owned by the caller's request, as a copy may be megabytes.
};

/// Encodes a caller's request for an upstream. Method, target, body and end-to-end fields are unchanged;
/// fields owned by the gateway are replaced by `own`, and the caller's API key is removed.
[[nodiscard]] auto upstream_request(const caller_request& request, const header_names& names,
                                    const gateway_fields& own) -> encoded_request;

} // namespace dragonflymill::edge
