#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "rpc/call_tracker.h"

#include <functional>
#include <string>

namespace dragonflymill::sidecar {

/// Probes the address of a sidecar (this one or another) for the process that answers there and the models of
/// its engine. Each probe opens a new connection: an old connection may still lead to a process that no
/// longer listens on the address.
class sidecar_probe
{
public:
    /// Receives each answer, on gRPC's threads. A probe without an answer produces no event.
    using sink = std::function<void(sidecar_event)>;

    /// Sends probes in the name of the process `self`.
    sidecar_probe(process_id self, sink events);

    /// Sends one probe to the sidecar at `address`.
    void probe(const std::string& address);

private:
    process_id self_;
    sink events_;
    rpc::call_tracker calls_; // declared last: ends the calls before other members are destroyed
};

} // namespace dragonflymill::sidecar
