#include "sidecar/gate_server.h"
#include "support/fault_cell.h"

using namespace dragonflymill;

FAULT_CELL_MORE(request_dispatch, same_twice, two_sidecars)
{
    // User-visible failure: a booking is made twice. An old sidecar that was considered dead still listens
    // when its successor starts. With a shared port, the kernel distributes the gateways' connections between
    // the two, and each runs the calls that it receives.
    sidecar::gate_service service([](const sidecar::shell_event&) { return true; });
    int port = 0;
    const auto first = sidecar::start_gate_server("127.0.0.1:0", service, port);
    cr_assert(first != nullptr);
    sidecar::gate_service successor([](const sidecar::shell_event&) { return true; });
    int same_port = 0;
    const auto second = sidecar::start_gate_server("127.0.0.1:" + std::to_string(port), successor, same_port);
    cr_assert(second == nullptr, "a second sidecar must not listen on the same address");
}
