#pragma once

#include "dragonflymill/core/error.h"
#include "http/http_request.h"
#include "settings/socket_address.h"

namespace dragonflymill::app {

/// Sends one request to a process's admin address and waits up to 5 s for the response. Fails with
/// `unavailable` if no complete response arrives, and with `conflict` and the process's own message on status
/// 300 and above.
[[nodiscard]] auto call_admin(const socket_address& address, http::http_request request)
    -> result<http::http_response>;

} // namespace dragonflymill::app
