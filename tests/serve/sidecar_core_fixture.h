#pragma once

#include "dragonflymill/serve/sidecar_core.h"
#include "support/fault_cell.h"

#include <vector>

// A namespace of its own: the gateway's fixture also defines an `options()`, and the linker would merge the
// two.
namespace dragonflymill::sidecar_fixture {

/// Start time of the tests.
inline constexpr instant start{1'000s};

/// Returns the options of a sidecar of upstream `u1`.
inline auto options() -> sidecar_core_options
{
    sidecar_core_options made;
    made.ledger.upstream = upstream_id("u1");
    made.ledger.self = incarnation(7);
    made.ledger.started = start;
    made.ledger.ticket_key = "a key of the tests";
    return made;
}

/// Returns the same options with a ramp from `floor` to `ceiling`.
inline auto options(work_cost floor, work_cost ceiling) -> sidecar_core_options
{
    auto made = options();
    made.gate.ramp.floor = floor;
    made.gate.ramp.ceiling = ceiling;
    return made;
}

/// Returns the first action of a type; null if there is none.
template <typename Action>
auto find(const std::vector<sidecar_action>& actions) -> const Action*
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace dragonflymill::sidecar_fixture
