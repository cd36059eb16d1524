#include "process/process_fleet.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

/// Whether a restarted process reports `version` as its first bundle in force, and still does afterwards.
auto restarts_with_bundle(const process_fleet& fleet, const std::string& name, std::int64_t version) -> bool
{
    std::int64_t seen = 0;
    const bool ready = comes_true([&] { return (seen = fleet.bundle_of(name)) != 0; });
    return ready && seen == version && fleet.bundle_of(name) == version;
}

} // namespace

FAULT_CELL_MORE(bundle_spread, two_faults, service_down_then_stale)
{
    // The configuration service is down while both partners need an urgent change, so an operator pushes the
    // new bundle to one gateway. The service recovers with the old bundle. A gateway and a sidecar are then
    // killed and restart with only the old bundle's file. No process may put the old bundle in force again.
    fleet_options options;
    options.config_service = true;
    process_fleet fleet(options);
    cr_assert(comes_true([&] { return fleet.all_run_by(1); }));
    fleet.fault("config", R"({"down":true})");
    const auto changed = fleet.files().sign_bundle(2);
    (void)fleet_files::command({"bundle", "push", changed, "--to", fleet.files().listener("gateway-1", 1)});
    cr_assert(comes_true([&] { return fleet.all_run_by(2); }));
    fleet.fault("config", R"({"down":false})");
    fleet.files().ask_peers_at_start();
    fleet.kill("gateway-2");
    fleet.start_gateway("gateway-2");
    cr_assert(restarts_with_bundle(fleet, "gateway-2", 2));
    fleet.kill("sidecar-engine-1");
    fleet.start_sidecar("engine-1");
    cr_assert(restarts_with_bundle(fleet, "engine-1", 2));
    cr_assert(fleet.all_run_by(2));
    cr_assert(is_whole_answer(standins::call_and_wait(fleet.completion("gateway-2", 100, 4)), 100, 4));
}
