#pragma once

#include "edge/caller_request.h"
#include "edge/header_names.h"

#include <cstdint>
#include <string_view>

namespace dragonflymill::edge {

/// Returns a hash that is the same for a request and for its repetitions by the caller, which have ids of
/// their own: of method, host, target, body, client account and the stated prompt parts. `account` is empty
/// for anonymous callers.
[[nodiscard]] auto request_fingerprint(const caller_request& request, std::string_view account,
                                       const header_names& names) -> std::uint64_t;

} // namespace dragonflymill::edge
