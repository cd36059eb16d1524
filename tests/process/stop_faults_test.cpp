#include "process/process_fleet.h"

#include "support/fault_cell.h"

#include <deque>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr token_count prompt = 500;
constexpr token_count answer = 80;
constexpr std::uint64_t stream_count = 6;

/// Concurrent streams through gateway-1.
struct load
{
    explicit load(process_fleet& fleet)
    {
        for (std::uint64_t seed = 1; seed <= stream_count; ++seed) {
            calls.emplace_back(fleet.completion("gateway-1", prompt, answer, seed));
        }
        cr_assert(comes_true([&] { return fleet.held("engine-1") + fleet.held("engine-2") >= 2; }));
    }
    [[nodiscard]] auto whole() -> std::uint64_t
    {
        std::uint64_t out = 0;
        for (std::uint64_t seed = 1; seed <= stream_count; ++seed) {
            out += is_whole_answer(calls[seed - 1].answer(), prompt, answer, seed) ? 1 : 0;
        }
        return out;
    }

    std::deque<background_call> calls;
};

} // namespace

FAULT_CELL_MORE(process_stop, same_twice, gateway_under_load)
{
    // A gateway gets SIGTERM twice while it streams responses. Every caller must get its complete response,
    // and the process must then exit with 0.
    process_fleet fleet;
    load running(fleet);
    fleet.process("gateway-1").signal(SIGTERM);
    fleet.process("gateway-1").signal(SIGTERM);
    cr_assert(running.whole() == stream_count);
    const auto code = fleet.process("gateway-1").wait(generous);
    cr_assert(code == 0, "exit code %d", code.value_or(-1));
}

FAULT_CELL_MORE(process_stop, same_twice, sidecar_under_load)
{
    // A sidecar gets SIGTERM twice while its engine decodes. Every caller must get its complete response, and
    // the process must exit with 0.
    process_fleet fleet;
    load running(fleet);
    const auto name = "sidecar-" + fleet.busy_engine();
    fleet.process(name).signal(SIGTERM);
    fleet.process(name).signal(SIGTERM);
    cr_assert(running.whole() == stream_count);
    cr_assert(fleet.process(name).wait(generous) == 0);
}
