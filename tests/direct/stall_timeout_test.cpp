#include "dragonflymill/direct/stall_timeout.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto short_answer_route() -> route_rule
{
    route_rule route;
    route.kind = call_kind::streaming;
    route.latency_target = 300ms;
    route.tbt_target = 200ms;
    return route;
}

} // namespace

// An engine prefills its part of a long prompt for 1.2 s, and its dozen short streams get no event meanwhile.
// All were retried on other engines after one second and prefilled again, which made those engines silent in
// turn.
Test(stall_timeout, busy_engine_is_not_treated_as_lost)
{
    cr_assert(stall_timeout_for(short_answer_route(), {true, 1200ms}) > 1200ms);
    cr_assert(stall_timeout_for(short_answer_route(), {false, 1200ms}) > 1200ms);
}

// An engine loses power. Its clients disconnect after two seconds without an event, and a second attempt
// needs some hundred milliseconds of them, even while the load tracker still has the lost engine's pending
// prefill.
Test(stall_timeout, lost_engine_is_detected_before_its_clients_disconnect)
{
    cr_assert(stall_timeout_for(short_answer_route(), {true, 0ms}) == 1s);
    cr_assert(stall_timeout_for(short_answer_route(), {true, 5s}) <=
              client_timeout_for(short_answer_route()) - 300ms);
}

Test(stall_timeout, longer_targets_allow_longer_silence)
{
    route_rule route = short_answer_route();
    route.latency_target = 3s;
    route.tbt_target = 800ms;
    cr_assert(stall_timeout_for(route, {false, 0ms}) == 9s);
    cr_assert(stall_timeout_for(route, {true, 0ms}) == 3200ms);
    cr_assert(client_timeout_for(route) == 12s);
}

// Healthy engines must not become suspect for seconds because they prefill a long prompt.
Test(stall_timeout, silence_during_prefill_is_no_fault)
{
    cr_assert(is_busy_prefilling(1200ms));
    cr_assert(!is_busy_prefilling(0ms));
}
