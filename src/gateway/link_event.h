#pragma once

#include "dragonflymill/serve/gateway_messages.h"

#include <functional>
#include <variant>

namespace dragonflymill::gateway {

/// A heartbeat reply received on one of the connections to an upstream's sidecar.
struct heartbeat_answered
{
    upstream_id upstream; ///< Upstream that replied.
    upstream_load load;   ///< Load reported by the sidecar.
};

/// Event passed from gRPC's threads to the core thread.
using link_event = std::variant<gateway_event, heartbeat_answered>;

/// Passes an event to the core thread, blocking while its queue is full. It is called by the read callbacks
/// of gRPC, so blocking applies backpressure to the peer.
using link_sink = std::function<void(link_event)>;

} // namespace dragonflymill::gateway
