#pragma once

#include "control/bundle_package.h"
#include "control/process_status.h"
#include "dragonflymill/core/error.h"
#include "http/http_request.h"

#include <functional>

namespace dragonflymill {

/// What a daemon lets operators do through its admin address. Called on the thread that serves it.
struct admin_handlers
{
    std::function<process_status()> status; ///< How the process is.
    std::function<result<void>()> drain;    ///< Begins a planned stop, as SIGTERM does.
    std::function<result<void>(const bundle_package&)> take_bundle; ///< Checks and takes over a bundle.
};

/// Answers one request to the admin address: `GET /admin/status`, `POST /admin/drain` and `POST
/// /admin/bundle` with a signed bundle as its body. A bundle needs no trusted channel, since both partners
/// signed it; status and drain do, so the address belongs on a loopback or operators' network.
[[nodiscard]] auto answer_admin(const http::http_request& request, const admin_handlers& handlers)
    -> http::http_response;

} // namespace dragonflymill
