#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <string>

namespace dragonflymill {

/// One call of a plain service, as a gateway sends it to a sidecar.
struct service_spec
{
    request_id request;        ///< Identifies the call in logs.
    route_id route;            ///< Route of the call.
    client_account_id account; ///< Account that is charged for the call.
    process_id gateway;        ///< Gateway that sends the call.
    std::string ticket; ///< Ticket that binds the call to one incarnation of a sidecar; empty for none.
    std::string idempotency_key; ///< Idempotency key of the caller; empty for none.
    std::string method;
    std::string target;       ///< Path and query below the route.
    std::string content_type; ///< Content type of the body.
    std::string body;
    bool idempotent = false; ///< Whether the call may be repeated.
    duration remaining{0};   ///< Time left when the call was sent.

    friend auto operator==(const service_spec&, const service_spec&) -> bool = default;
};

} // namespace dragonflymill
