#pragma once

#include "control/bundle_package.h"
#include "control/process_status.h"
#include "dragonflymill/core/error.h"
#include "http/http_request.h"

#include <functional>

namespace dragonflymill {

/// Operations of a daemon's admin address. Called on the thread that serves it.
struct admin_handlers
{
    std::function<process_status()> status;                         ///< Returns the process's status.
    std::function<result<void>()> drain;                            ///< Starts a planned stop, like SIGTERM.
    std::function<result<void>(const bundle_package&)> take_bundle; ///< Verifies and adopts a bundle.
};

/// Handles one request to the admin address: `GET /admin/status`, `POST /admin/drain` and `POST
/// /admin/bundle` with a signed bundle as its body. Requests are not authenticated. A bundle is verified by
/// its signatures, but status and drain are not, so bind the address to loopback or an operators' network.
[[nodiscard]] auto answer_admin(const http::http_request& request, const admin_handlers& handlers)
    -> http::http_response;

} // namespace dragonflymill
