#include "dragonflymill/direct/client_retry_detector.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);

} // namespace

Test(client_retry_detector, a_caller_with_less_time_left_than_others_has_been_here_before)
{
    client_retry_detector returns;
    cr_assert(returns.elapsed("drafts", 10s, now) == 0s);
    cr_assert(returns.elapsed("drafts", 9s, now + 1s) == 1s);
    cr_assert(returns.elapsed("drafts", 10s, now + 2s) == 0s);
}

Test(client_retry_detector, rounding_is_no_return)
{
    client_retry_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("drafts", 10s - client_retry_detector::tolerance, now) == 0s);
}

Test(client_retry_detector, routes_are_told_apart)
{
    client_retry_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("orders", 1500ms, now) == 0s);
}

// Guards against taking every call of a route for a return after its callers have become less patient.
Test(client_retry_detector, a_longer_time_of_long_ago_is_forgotten)
{
    client_retry_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("drafts", 5s, now + client_retry_detector::memory) == 5s);
    cr_assert(returns.elapsed("drafts", 5s, now + 2 * client_retry_detector::memory) == 0s);
}

Test(client_retry_detector, after_a_pause_the_first_call_sets_the_measure)
{
    client_retry_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("drafts", 5s, now + 3 * client_retry_detector::memory) == 0s);
}
