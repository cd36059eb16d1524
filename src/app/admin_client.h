#pragma once

#include "dragonflymill/core/error.h"
#include "http/http_request.h"
#include "settings/socket_address.h"

namespace dragonflymill::app {

/// Sends one request to a process's admin address and waits for its answer, a few seconds at most. An answer
/// that is no success becomes an error with the process's own words.
[[nodiscard]] auto call_admin(const socket_address& address, http::http_request request)
    -> result<http::http_response>;

} // namespace dragonflymill::app
