#pragma once

#include "dragonflymill/core/refusal.h"

#include <boost/json/object.hpp>
#include <string_view>

namespace dragonflymill::http {

/// Body of an error response: `{"error":{"code","ran","retry_after_ms","remedy"}}`. `retry_after` is rounded
/// up to whole milliseconds.
[[nodiscard]] auto error_body(std::string_view code, ran_state ran, duration retry_after,
                              std::string_view remedy) -> boost::json::object;

} // namespace dragonflymill::http
