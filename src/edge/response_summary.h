#pragma once

#include "dragonflymill/direct/fleet_config.h"
#include "dragonflymill/response/response_guard.h"
#include "edge/caller_request.h"
#include "edge/header_names.h"
#include "http/response_parser.h"

namespace dragonflymill::edge {

/// Returns what is expected of the responses to a caller's request.
[[nodiscard]] auto response_expectation_of(const caller_request& request, const header_names& names,
                                           const direct::route_rule& route) -> response::response_expectation;

/// Returns what decides how the body behind a head is used; refers to the head's fields.
[[nodiscard]] auto summarize(const http::response_head& head, const header_names& names)
    -> response::response_summary;

/// Returns the first of an upstream's bytes for a log line, without what isn't printable.
[[nodiscard]] auto loggable(std::string_view bytes) -> std::string;

} // namespace dragonflymill::edge
