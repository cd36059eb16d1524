#include "dragonflymill/direct/read_pacer.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

/// Returns the number of reads until all changes, which come at equal intervals, are known.
auto reads_of(int changes, duration length)
{
    read_pacer pacer;
    int reads = 0;
    int known = 0;
    for (instant now = start; known < changes;) {
        const instant begins = pacer.next_at(now);
        pacer.begin(begins);
        ++reads;
        // The read ends with the first change that isn't known yet, and returns all until then.
        now = std::max(begins, start + length * known / changes) + 4ms;
        known = std::min(changes, static_cast<int>((now - start) * changes / length) + 1);
    }
    return reads;
}

} // namespace

// Pattern: n, 2n and 4n upstreams register within six seconds. Guards against reads in proportion to the
// changes.
Test(read_pacer, reads_of_a_reader_do_not_grow_with_the_changes)
{
    constexpr duration length = 6s;
    for (const int upstreams : {140, 280, 560}) {
        const int reads = reads_of(upstreams, length);
        cr_assert(reads <= length / read_pacer::min_interval + 1, "%d reads", reads);
    }
}

// Guards against delaying single changes, which calls to a draining upstream depend on.
Test(read_pacer, does_not_delay_a_read_after_a_quiet_time)
{
    read_pacer pacer;
    pacer.begin(start);
    cr_assert(pacer.next_at(start + 1s) == start + 1s);
    cr_assert(pacer.next_at(start + 30ms) == start + read_pacer::min_interval);
}
