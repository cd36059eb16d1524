#include "process/running_stream.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

FAULT_CELL_MORE(request_stream, upstream_cold, engine_back_cold)
{
    // An engine crashes in the middle of a stream and restarts cold, with an empty cache. The caller must get
    // the complete response. The sidecar must admit calls again, within the capacity of a cold engine: with
    // the other engine's sidecar killed, calls through both gateways are answered and the engine is not
    // overloaded.
    process_fleet fleet;
    running_stream stream(fleet);
    stream.wait_until_read();
    fleet.fault(stream.engine(), R"({"die":true,"restart_ms":200})");
    cr_assert(stream.is_whole());
    cr_assert(fleet.nothing_is_held(), "an engine still holds calls or does not answer");
    fleet.kill(stream.engine() == "engine-1" ? "sidecar-engine-2" : "sidecar-engine-1");
    for (const std::string gateway : {"gateway-1", "gateway-2"}) {
        cr_assert(comes_true([&] {
            return is_whole_answer(standins::call_and_wait(fleet.completion(gateway, 100, 4)), 100, 4);
        }));
    }
    cr_assert(fleet.falls(stream.engine()) == 0);
    cr_assert(fleet.nothing_is_held());
}
