#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "rpc/call_tracker.h"

#include <functional>
#include <string>

namespace dragonflymill::sidecar {

/// Asks a sidecar, this one or another, who answers at its address and what its engine has. Every question
/// has a connection of its own: an old connection may still lead to a process that has lost the address.
class sidecar_probe
{
public:
    /// Takes every answer, on gRPC's threads; no answer is no event.
    using sink = std::function<void(sidecar_event)>;

    /// Asks as the process `self`.
    sidecar_probe(process_id self, sink events);

    /// Asks the sidecar at `address`.
    void probe(const std::string& address);

private:
    process_id self_;
    sink events_;
    rpc::call_tracker calls_; // last, so that its calls end before anything else goes
};

} // namespace dragonflymill::sidecar
