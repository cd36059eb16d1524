#include "admission/cold_upstream_rig.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

FAULT_CELL(request_permit, upstream_cold)
{
    // Guards against an upstream that is overloaded again when its failure domain returns to service cold:
    // 410 gateways request permits for it at the same moment. They get refusals with a retry time, and nearly
    // all of the capacity within seconds after the upstream is warm.
    const cold_rig_options options;
    const cold_rig_outcome outcome = cold_rig(options).run();
    cr_assert(outcome.over_carried == 0, "%llu grants above the capacity",
              static_cast<unsigned long long>(outcome.over_carried));
    cr_assert(outcome.ninety_percent);
    cr_assert(*outcome.ninety_percent > options.course.warming_ends);
    cr_assert(*outcome.ninety_percent < options.course.warming_ends + 8s);
    cr_assert(outcome.most_asks_in_10ms < options.gateways / 8, "refused gateways retry at the same time");
}

FAULT_CELL_MORE(request_permit, upstream_cold, warms_up_evenly)
{
    // Guards against exceeding the capacity of an upstream whose caches fill over twenty seconds. The
    // first-token times show its speed, and the allowance follows it.
    cold_rig_options options;
    options.course.warming_begins = 5s;
    options.course.warming_ends = 25s;
    const cold_rig_outcome outcome = cold_rig(options).run();
    cr_assert(outcome.over_carried == 0);
    cr_assert(outcome.ninety_percent);
    cr_assert(*outcome.ninety_percent < options.course.warming_ends + 8s);
}

FAULT_CELL_MORE(request_permit, upstream_cold, cold_again_without_restart)
{
    // Guards against overload of a warm upstream that turns cold without a restart, under full load. Its
    // first tokens are overdue; within a second no grant exceeds its capacity any more.
    cold_rig_options options;
    options.course.cold_again = 50s;
    const cold_rig_outcome outcome = cold_rig(options).run();
    cr_assert(outcome.over_carried > 0, "the test needs work in flight when the upstream turns cold");
    cr_assert(outcome.last_over < options.course.cold_again + 1s);
}

FAULT_CELL_MORE(request_permit, same_twice, cold_twice)
{
    // Guards against evidence from before a cold sign. The upstream turns cold a second time while it
    // recovers from the first; the allowance drops to the floor again.
    cold_rig_options options;
    options.course.cold_again = 22s;
    const cold_rig_outcome outcome = cold_rig(options).run();
    cr_assert(outcome.last_over < options.course.cold_again + 1s);
    cr_assert(*outcome.ninety_percent > options.course.cold_again + options.course.cold_again_for);
}

Test(cold_start, same_inputs_same_decisions)
{
    const cold_rig_options options;
    cr_assert(cold_rig(options).run() == cold_rig(options).run());
    cold_rig_options other = options;
    other.seed = 2;
    cr_assert(cold_rig(options).run() != cold_rig(other).run());
}
