#include "admission/cold_upstream_rig.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

FAULT_CELL(request_permit, upstream_cold)
{
    // A failure domain comes back and its upstreams are cold. Callers see refusals with a retry time instead
    // of a domain that falls over again: 410 gateways ask for one cold upstream at the same moment, and once
    // it is warm they have nearly all of it back within seconds.
    const cold_rig_options options;
    const cold_rig_outcome outcome = cold_rig(options).run();
    cr_assert(outcome.over_carried == 0, "%llu grants over what it carries",
              static_cast<unsigned long long>(outcome.over_carried));
    cr_assert(outcome.ninety_percent);
    cr_assert(*outcome.ninety_percent > options.course.warming_ends);
    cr_assert(*outcome.ninety_percent < options.course.warming_ends + 8s);
    cr_assert(outcome.most_asks_in_10ms < options.gateways / 8, "the refused come back together");
}

FAULT_CELL_MORE(request_permit, upstream_cold, warms_up_evenly)
{
    // The upstream's caches fill over twenty seconds. Callers get more of it the more it carries, never
    // more than that: the first-token time tells how fast it is at each moment.
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
    // A warm upstream turns cold without a restart, under full load. Its first tokens stay away; the gate
    // sees that within a second, gives nothing more, and is back once it is warm again.
    cold_rig_options options;
    options.course.cold_again = 50s;
    const cold_rig_outcome outcome = cold_rig(options).run();
    cr_assert(outcome.over_carried > 0, "what ran when it turned cold is over, or the test shows nothing");
    cr_assert(outcome.last_over < options.course.cold_again + 1s);
}

FAULT_CELL_MORE(request_permit, same_twice, cold_twice)
{
    // The upstream turns cold a second time while it is still coming back from the first. The second fall is
    // as deep as the first: what was earned before it counts for nothing.
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
