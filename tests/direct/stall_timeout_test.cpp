#include "dragonflymill/direct/stall_timeout.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto short_answers() -> route_rule
{
    route_rule route;
    route.kind = call_kind::streaming;
    route.latency_target = 300ms;
    route.tbt_target = 200ms;
    return route;
}

} // namespace

// An engine reads its part of a long document for 1.2 s, and the dozen short streams that it writes get no
// event meanwhile. All of them were sent to other engines after one second, read there again, and made those
// engines silent in turn.
Test(stall_timeout, a_busy_engine_is_not_taken_for_a_lost_one)
{
    cr_assert(stall_timeout_for(short_answers(), {true, 1200ms}) > 1200ms);
    cr_assert(stall_timeout_for(short_answers(), {false, 1200ms}) > 1200ms);
}

// An engine loses power. Its callers leave after two seconds without an event; a second attempt needs some
// hundred milliseconds of them, also if the lost engine's reading is still on the board.
Test(stall_timeout, a_lost_engine_is_given_up_before_its_callers_leave)
{
    cr_assert(stall_timeout_for(short_answers(), {true, 0ms}) == 1s);
    cr_assert(stall_timeout_for(short_answers(), {true, 5s}) <= client_timeout_for(short_answers()) - 300ms);
}

Test(stall_timeout, callers_of_long_answers_bear_longer_silences)
{
    route_rule route = short_answers();
    route.latency_target = 3s;
    route.tbt_target = 800ms;
    cr_assert(stall_timeout_for(route, {false, 0ms}) == 9s);
    cr_assert(stall_timeout_for(route, {true, 0ms}) == 3200ms);
    cr_assert(client_timeout_for(route) == 12s);
}

// Guards against leaving sound engines alone for seconds because they are busy with a long prompt.
Test(stall_timeout, silence_of_an_engine_that_reads_is_no_fault_of_it)
{
    cr_assert(is_busy_prefilling(1200ms));
    cr_assert(!is_busy_prefilling(0ms));
}
