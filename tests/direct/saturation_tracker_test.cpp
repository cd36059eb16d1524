#include "dragonflymill/direct/saturation_tracker.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);
constexpr std::uint64_t middle_draw = 500;

} // namespace

Test(saturation_tracker, lasts_while_calls_find_no_room)
{
    saturation_tracker clock;
    cr_assert(clock.lasting(now) == 0s);
    for (duration passed = 0ms; passed <= 2s; passed += saturation_tracker::longest_gap) {
        clock.no_room(now + passed);
    }
    cr_assert(clock.lasting(now + 2s) == 2s);
}

Test(saturation_tracker, ends_when_calls_have_found_room_for_a_while)
{
    saturation_tracker clock;
    clock.no_room(now);
    clock.no_room(now + 300ms);
    const instant later = now + 300ms + saturation_tracker::longest_gap + 1ms;
    cr_assert(clock.lasting(later) == 0s);
    clock.no_room(later);
    cr_assert(clock.lasting(later) == 0s, "a new one begins");
}

// Guards against callers that return into the same burst, are refused again and have no third attempt.
Test(return_time, follows_the_length_of_the_saturation)
{
    cr_assert(return_time(2s, 10s, middle_draw) == 2s);
    cr_assert(return_time(0s, 10s, middle_draw) < return_time(1s, 10s, middle_draw));
}

Test(return_time, leaves_callers_the_time_that_they_need)
{
    cr_assert(return_time(20s, 9s, middle_draw) <= 3s, "callers wait for a third of their time at most");
    cr_assert(return_time(1s, -1s, middle_draw) == 0s);
}

// Guards against callers that were refused together and return together.
Test(return_time, is_spread)
{
    cr_assert(return_time(2s, 10s, 0) < return_time(2s, 10s, 999));
    cr_assert(return_time(2s, 10s, 0) >= 1s);
}
