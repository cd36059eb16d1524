#include "dragonflymill/direct/upstream_speeds.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr duration iteration = 20ms;
constexpr instant start{1h};

/// Lets a stream receive `events` events, each `pause` after the last; returns when the last one came.
auto stream(upstream_speeds& speeds, upstream_run upstream, duration pause, int events, instant now)
    -> instant
{
    for (int event = 0; event < events; ++event) {
        now += pause;
        speeds.observe_interval(upstream, pause, iteration, now);
    }
    return now;
}

} // namespace

// Guards against an engine that turns five times slower under load and still gets prompts for seconds.
Test(upstream_speeds, two_slow_intervals_are_learned)
{
    upstream_speeds speeds;
    instant now = stream(speeds, 1, iteration, 5, start);
    now = stream(speeds, 1, 5 * iteration, 2, now);
    cr_assert(speeds.is_slow(1, now));
    cr_assert_float_eq(speeds.slowdown(1, now), 5.0, 0.01);
    cr_assert(speeds.source_of(1, now) == speed_source::observed);
}
