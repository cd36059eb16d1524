#include "dragonflymill/direct/saturation_tracker.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);
constexpr std::uint64_t middle_random = 500;

} // namespace

Test(saturation_tracker, lasts_while_calls_find_no_capacity)
{
    saturation_tracker tracker;
    cr_assert(tracker.saturated_for(now) == 0s);
    for (duration passed = 0ms; passed <= 2s; passed += saturation_tracker::max_gap) {
        tracker.record_no_capacity(now + passed);
    }
    cr_assert(tracker.saturated_for(now + 2s) == 2s);
}

Test(saturation_tracker, ends_after_the_maximum_gap)
{
    saturation_tracker tracker;
    tracker.record_no_capacity(now);
    tracker.record_no_capacity(now + 300ms);
    const instant later = now + 300ms + saturation_tracker::max_gap + 1ms;
    cr_assert(tracker.saturated_for(later) == 0s);
    tracker.record_no_capacity(later);
    cr_assert(tracker.saturated_for(later) == 0s, "a new saturation begins");
}

// Clients that retry during the same burst are refused again and have no time for a third attempt.
Test(retry_after_for, follows_the_length_of_the_saturation)
{
    cr_assert(retry_after_for(2s, 10s, middle_random) == 2s);
    cr_assert(retry_after_for(0s, 10s, middle_random) < retry_after_for(1s, 10s, middle_random));
}

Test(retry_after_for, leaves_clients_enough_time)
{
    cr_assert(retry_after_for(20s, 9s, middle_random) <= 3s,
              "clients wait for a third of their time at most");
    cr_assert(retry_after_for(1s, -1s, middle_random) == 0s);
}

// Clients that were refused together must not retry together.
Test(retry_after_for, has_jitter)
{
    cr_assert(retry_after_for(2s, 10s, 0) < retry_after_for(2s, 10s, 999));
    cr_assert(retry_after_for(2s, 10s, 0) >= 1s);
}
