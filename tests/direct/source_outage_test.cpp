#include "dragonflymill/direct/source_outage.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

} // namespace

Test(source_outage, after_a_long_outage_removals_are_in_doubt_for_a_while)
{
    source_outage outage;
    cr_assert(!outage.removals_unreliable(start));
    outage.lost(start);
    outage.regained(start + 5s);
    cr_assert(outage.removals_unreliable(start + 5s));
    cr_assert(!outage.removals_unreliable(start + 5s + source_outage::shadow));
}

// An upstream leaves just after this gateway's connection to the source was reset. Its removal was held back
// as if the source had been away, and work reached it 1.5 s after it had left.
Test(source_outage, a_reset_connection_is_no_outage)
{
    source_outage outage;
    outage.lost(start);
    outage.regained(start + 300ms);
    cr_assert(!outage.removals_unreliable(start + 400ms));
}

// The source refuses this host and serves the others. What a peer tells of removals then is true.
Test(source_outage, while_others_read_removals_are_real)
{
    source_outage outage;
    outage.lost(start);
    outage.peer_reads_source(start + 1s);
    cr_assert(outage.removals_unreliable(start + 3s),
              "a word that may be older than the loss proves nothing");
    outage.peer_reads_source(start + 4s);
    cr_assert(!outage.removals_unreliable(start + 5s));
    outage.regained(start + 6s);
    cr_assert(!outage.removals_unreliable(start + 6s));
    outage.lost(start + 20s);
    cr_assert(outage.removals_unreliable(start + 23s), "each outage is judged anew");
}
