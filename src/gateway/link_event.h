#pragma once

#include "dragonflymill/serve/gateway_messages.h"

#include <functional>
#include <variant>

namespace dragonflymill::gateway {

/// A heartbeat's answer has come on one of the connections to an upstream's sidecar.
struct heartbeat_answered
{
    upstream_id upstream; ///< The upstream.
    upstream_load load;   ///< The upstream's load.
};

/// What the transport's threads hand to the deciding thread.
using link_event = std::variant<gateway_event, heartbeat_answered>;

/// Hands over an event, waiting for room: it is called by readers of the transport, whose peers then wait
/// too.
using link_sink = std::function<void(link_event)>;

} // namespace dragonflymill::gateway
