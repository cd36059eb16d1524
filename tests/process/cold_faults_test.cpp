#include "process/running_stream.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

FAULT_CELL_MORE(request_stream, upstream_cold, engine_back_cold)
{
    // An engine goes in the middle of an answer and comes back, cold and with nothing in its memory. The
    // caller has its whole answer. Its sidecar lets it serve again, within what a cold engine carries: with
    // the other engine's sidecar gone, callers are answered through both gateways, and the engine doesn't
    // fall over.
    process_fleet fleet;
    running_stream stream(fleet);
    stream.wait_until_read();
    fleet.fault(stream.engine(), R"({"die":true,"restart_ms":200})");
    cr_assert(stream.is_whole());
    cr_assert(fleet.nothing_is_held(), "both engines answer and are empty");
    fleet.kill(stream.engine() == "engine-1" ? "sidecar-engine-2" : "sidecar-engine-1");
    for (const std::string gateway : {"gateway-1", "gateway-2"}) {
        cr_assert(comes_true([&] {
            return is_whole_answer(standins::call_and_wait(fleet.completion(gateway, 100, 4)), 100, 4);
        }));
    }
    cr_assert(fleet.falls(stream.engine()) == 0);
    cr_assert(fleet.nothing_is_held());
}
