#include "sidecar/gate_server.h"
#include "support/fault_cell.h"

using namespace dragonflymill;

FAULT_CELL_MORE(request_dispatch, same_twice, two_sidecars)
{
    // A booking is made twice. An old sidecar that was believed dead still listens when its successor starts;
    // the kernel deals the gateways' connections out between the two, and each runs what it gets.
    sidecar::gate_service service([](const sidecar::shell_event&) { return true; });
    int port = 0;
    const auto first = sidecar::start_gate_server("127.0.0.1:0", service, port);
    cr_assert(first != nullptr);
    sidecar::gate_service successor([](const sidecar::shell_event&) { return true; });
    int same_port = 0;
    const auto second = sidecar::start_gate_server("127.0.0.1:" + std::to_string(port), successor, same_port);
    cr_assert(second == nullptr, "one address, one sidecar");
}
