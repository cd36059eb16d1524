// Simulates a gateway's overload decisions (serve/overload_controller) with sixteen simulated engines on a
// virtual clock, with each shedding policy and without one, on the same seeds. Prints Markdown; figures are
// reproducible exactly.
#include "rig_contenders.h"

#include <iostream>

using namespace dragonflymill;
using namespace dragonflymill::rig;

auto main() -> int
{
    auto cells = run_cells({contender::ours, contender::priority, contender::random, contender::none},
                           {80, 95, 120, 200});
    for (auto& each : cells) {
        each.policy = each.policy == name_of(contender::ours) ? "contribution shedding" : each.policy;
    }
    write_overload(std::cout, cells);
    write_priorities(std::cout, cells);
    write_service(std::cout, cells);
    return 0;
}
