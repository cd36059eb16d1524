#include "process/process_fleet.h"

#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

FAULT_CELL_MORE(order_apply, upstream_cold, real_processes)
{
    // An engine comes up with a model that the bundle doesn't name, and later falls over and comes up like
    // that again. Callers ask for the declared one. Each time its sidecar brings it there, with one load.
    fleet_options options;
    options.first_model = "left-over";
    process_fleet fleet(options);
    const std::vector<std::string> wanted{"assistant-1"};
    cr_assert(comes_true([&] { return fleet.names("engine-1", "models") == wanted; }));
    cr_assert(fleet.loads_ordered("engine-1") == 1);
    cr_assert(fleet.loads_ordered("engine-2") == 0, "it had what was declared");
    fleet.fault("engine-1", R"({"die":true,"restart_ms":300})");
    cr_assert(comes_true([&] { return fleet.names("engine-1", "models") != wanted; }));
    cr_assert(comes_true([&] { return fleet.names("engine-1", "models") == wanted; }));
    cr_assert(fleet.loads_ordered("engine-1") == 2);
}
