#pragma once

#include "dragonflymill/serve/sidecar_core.h"
#include "support/fault_cell.h"

#include <vector>

// Not the namespace of the gateway's fixture: both have an `options()`, and the linker would take one for
// both.
namespace dragonflymill::sidecar_fixture {

/// When the tests begin.
inline constexpr instant start{1'000s};

/// The sidecar that the tests run, before upstream `u1`.
inline auto options() -> sidecar_core_options
{
    sidecar_core_options made;
    made.ledger.upstream = upstream_id("u1");
    made.ledger.self = incarnation(7);
    made.ledger.started = start;
    made.ledger.ticket_key = "a key of the tests";
    return made;
}

/// The same before an engine whose work may rise from `floor` to `ceiling`.
inline auto options(work_cost floor, work_cost ceiling) -> sidecar_core_options
{
    auto made = options();
    made.gate.ramp.floor = floor;
    made.gate.ramp.ceiling = ceiling;
    return made;
}

/// The first action of a kind; null if there is none.
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
