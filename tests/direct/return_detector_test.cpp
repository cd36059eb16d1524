#include "dragonflymill/direct/return_detector.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);

} // namespace

Test(return_detector, a_caller_with_less_time_left_than_others_has_been_here_before)
{
    return_detector returns;
    cr_assert(returns.elapsed("drafts", 10s, now) == 0s);
    cr_assert(returns.elapsed("drafts", 9s, now + 1s) == 1s);
    cr_assert(returns.elapsed("drafts", 10s, now + 2s) == 0s);
}

Test(return_detector, rounding_is_no_return)
{
    return_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("drafts", 10s - return_detector::tolerance, now) == 0s);
}

Test(return_detector, routes_are_told_apart)
{
    return_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("orders", 1500ms, now) == 0s);
}

// Guards against taking every call of a route for a return after its callers have become less patient.
Test(return_detector, a_longer_time_of_long_ago_is_forgotten)
{
    return_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("drafts", 5s, now + return_detector::memory) == 5s);
    cr_assert(returns.elapsed("drafts", 5s, now + 2 * return_detector::memory) == 0s);
}

Test(return_detector, after_a_pause_the_first_call_sets_the_measure)
{
    return_detector returns;
    (void)returns.elapsed("drafts", 10s, now);
    cr_assert(returns.elapsed("drafts", 5s, now + 3 * return_detector::memory) == 0s);
}
