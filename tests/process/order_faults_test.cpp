#include "process/process_fleet.h"

#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

FAULT_CELL_MORE(order_apply, upstream_cold, real_processes)
{
    // An engine starts with a model that the bundle does not declare, and later crashes and restarts in the
    // same state. Each time its sidecar must load the declared model, with exactly one load order.
    fleet_options options;
    options.first_model = "left-over";
    process_fleet fleet(options);
    const std::vector<std::string> wanted{"assistant-1"};
    cr_assert(comes_true([&] { return fleet.names("engine-1", "models") == wanted; }));
    cr_assert(fleet.loads_ordered("engine-1") == 1);
    cr_assert(fleet.loads_ordered("engine-2") == 0, "engine-2 already had the declared model");
    fleet.fault("engine-1", R"({"die":true,"restart_ms":300})");
    cr_assert(comes_true([&] { return fleet.names("engine-1", "models") != wanted; }));
    cr_assert(comes_true([&] { return fleet.names("engine-1", "models") == wanted; }));
    cr_assert(fleet.loads_ordered("engine-1") == 2);
}
