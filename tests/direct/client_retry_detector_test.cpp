#include "dragonflymill/direct/client_retry_detector.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);

} // namespace

Test(client_retry_detector, client_with_less_time_left_than_others_is_a_retry)
{
    client_retry_detector detector;
    cr_assert(detector.elapsed("drafts", 10s, now) == 0s);
    cr_assert(detector.elapsed("drafts", 9s, now + 1s) == 1s);
    cr_assert(detector.elapsed("drafts", 10s, now + 2s) == 0s);
}

Test(client_retry_detector, rounding_is_no_retry)
{
    client_retry_detector detector;
    (void)detector.elapsed("drafts", 10s, now);
    cr_assert(detector.elapsed("drafts", 10s - client_retry_detector::tolerance, now) == 0s);
}

Test(client_retry_detector, routes_are_independent)
{
    client_retry_detector detector;
    (void)detector.elapsed("drafts", 10s, now);
    cr_assert(detector.elapsed("orders", 1500ms, now) == 0s);
}

// After clients of a route have shortened their timeout, their first attempts must not count as retries
// forever.
Test(client_retry_detector, longest_time_expires)
{
    client_retry_detector detector;
    (void)detector.elapsed("drafts", 10s, now);
    cr_assert(detector.elapsed("drafts", 5s, now + client_retry_detector::window) == 5s);
    cr_assert(detector.elapsed("drafts", 5s, now + 2 * client_retry_detector::window) == 0s);
}

Test(client_retry_detector, first_call_after_an_idle_time_sets_the_longest_time)
{
    client_retry_detector detector;
    (void)detector.elapsed("drafts", 10s, now);
    cr_assert(detector.elapsed("drafts", 5s, now + 3 * client_retry_detector::window) == 0s);
}
