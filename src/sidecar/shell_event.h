#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

#include <functional>
#include <memory>
#include <variant>

namespace dragonflymill::sidecar {

class heartbeat_reactor;

/// Heartbeat received on one connection. The decision thread answers it, which proves that this thread is
/// running and not only gRPC's threads.
struct heartbeat_event
{
    std::shared_ptr<heartbeat_reactor> connection; ///< Connection on which the answer is sent.
    std::uint64_t number = 0;                      ///< Number of the heartbeat, repeated in the answer.
    process_id gateway;                            ///< Process that sent the heartbeat.
    bool from_sidecar = false; ///< True for a probe by a sidecar of the process at this address.
};

/// Event in the ring of the decision thread.
using shell_event = std::variant<sidecar_event, heartbeat_event>;

/// Posts an event to the decision thread. Returns false if its ring is full.
using shell_sink = std::function<bool(shell_event)>;

} // namespace dragonflymill::sidecar
