#include "dragonflymill/direct/source_outage.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

} // namespace

Test(source_outage, removals_are_unreliable_for_a_time_after_a_long_outage)
{
    source_outage outage;
    cr_assert(!outage.removals_unreliable(start));
    outage.lost(start);
    outage.regained(start + 5s);
    cr_assert(outage.removals_unreliable(start + 5s));
    cr_assert(!outage.removals_unreliable(start + 5s + source_outage::recovery_window));
}

// Guards against delaying the removal of an upstream that leaves just after this gateway's connection to the
// source was reset: work then reached the upstream 1.5 s after it had left.
Test(source_outage, does_not_treat_a_connection_reset_as_an_outage)
{
    source_outage outage;
    outage.lost(start);
    outage.regained(start + 300ms);
    cr_assert(!outage.removals_unreliable(start + 400ms));
}

// When the source refuses this host but serves the others, removals reported by peers are real.
Test(source_outage, removals_are_reliable_while_peers_read_the_source)
{
    source_outage outage;
    outage.lost(start);
    outage.peer_reads_source(start + 1s);
    cr_assert(outage.removals_unreliable(start + 3s), "a report that may predate the loss is ignored");
    outage.peer_reads_source(start + 4s);
    cr_assert(!outage.removals_unreliable(start + 5s));
    outage.regained(start + 6s);
    cr_assert(!outage.removals_unreliable(start + 6s));
    outage.lost(start + 20s);
    cr_assert(outage.removals_unreliable(start + 23s), "each outage is evaluated separately");
}
