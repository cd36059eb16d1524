#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <string>

namespace dragonflymill {

/// One call of a plain service, as a gateway puts it to a sidecar.
struct service_spec
{
    request_id request;          ///< Names the call in logs.
    route_id route;              ///< Route it came by.
    client_account_id account;   ///< Whose call it is.
    process_id gateway;          ///< Gateway that asks.
    std::string ticket;          ///< Ticket that pins it to a sidecar's start; empty for none.
    std::string idempotency_key; ///< Caller's own key; empty for none.
    std::string method;          ///< HTTP method.
    std::string target;          ///< Path and query below the route.
    std::string content_type;    ///< Type of the body.
    std::string body;            ///< The body.
    bool idempotent = false;     ///< Whether it may be repeated.
    duration remaining{0};       ///< Time left when it was put.

    friend auto operator==(const service_spec&, const service_spec&) -> bool = default;
};

} // namespace dragonflymill
