#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

#include <functional>
#include <memory>
#include <variant>

namespace dragonflymill::sidecar {

class heartbeat_reactor;

/// A gateway's heartbeat on one connection, to be answered by the deciding thread: so it proves that this
/// thread lives, not only the transport's.
struct heartbeat_event
{
    std::shared_ptr<heartbeat_reactor> connection; ///< Where to answer.
    std::uint64_t number = 0;                      ///< Number of the heartbeat.
    process_id gateway;                            ///< Who sent it.
    bool from_sidecar = false;                     ///< Whether a sidecar asks who answers here.
};

/// What the deciding thread takes out of its ring.
using shell_event = std::variant<sidecar_event, heartbeat_event>;

/// Hands an event to the deciding thread; false if its ring is full.
using shell_sink = std::function<bool(shell_event)>;

} // namespace dragonflymill::sidecar
