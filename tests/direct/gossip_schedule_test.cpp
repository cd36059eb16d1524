#include "dragonflymill/direct/gossip_schedule.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

} // namespace

// A gateway fills an engine and two of its three datagrams about it are lost. The third still says so, long
// before the next whole digest: within that second others would have sent their prompts there too.
Test(gossip_schedule, a_change_is_sent_three_times)
{
    gossip_schedule schedule;
    cr_assert(schedule.next({1, 5, 4}, true, start)->whole);
    const auto digest_after = [&](std::uint64_t changes, duration since_start) {
        return schedule.next({changes, 5, 4}, false, start + since_start);
    };
    int sent = 0;
    for (std::uint64_t step = 1; step <= 8; ++step) {
        const auto digest = digest_after(2 + step, step * gossip_schedule::gossip_interval);
        cr_assert(digest && !digest->whole);
        sent += digest->changes_since < 3 ? 1 : 0;
    }
    cr_assert(sent == 3, "change 3 stands in %d digests", sent);
}

Test(gossip_schedule, an_idle_gateway_speaks_rarely)
{
    gossip_schedule schedule;
    (void)schedule.next({1, 5, 4}, true, start);
    cr_assert(!schedule.next({1, 5, 4}, false, start + gossip_schedule::gossip_interval));
    cr_assert(schedule.next({1, 5, 4}, false, start + gossip_schedule::idle_gossip_interval));
    cr_assert(schedule.next({1, 6, 4}, false,
                            start + gossip_schedule::idle_gossip_interval + gossip_schedule::gossip_interval),
              "a new revision is news");
}

// In a fleet of hundreds each gateway hears a digest of every other one: at the rate of a small fleet, a host
// with a tenth of a processor would do nothing else.
Test(gossip_schedule, digests_get_rarer_in_a_large_fleet)
{
    gossip_schedule schedule;
    (void)schedule.next({1, 5, 320}, true, start);
    cr_assert(!schedule.next({2, 5, 320}, false, start + 4 * gossip_schedule::gossip_interval));
    cr_assert(schedule.next({2, 5, 320}, false, start + 5 * gossip_schedule::gossip_interval));
}

Test(gossip_schedule, news_that_can_not_wait_goes_at_once)
{
    gossip_schedule schedule;
    (void)schedule.next({1, 5, 320}, true, start);
    cr_assert(schedule.next({2, 5, 320}, true, start + 1ms));
}

// Guards against views in a large fleet that are older than in a small one: a relay holds digests back too.
Test(gossip_schedule, digests_through_a_relay_go_out_more_often)
{
    gossip_schedule schedule;
    const instant now(10s);
    cr_assert(schedule.next({1, 0, 103, true}, false, now));
    cr_assert(!schedule.next({2, 0, 103, true}, false, now + 9ms));
    cr_assert(schedule.next({2, 0, 103, true}, false, now + 10ms));
    cr_assert(!schedule.next({2, 0, 103, true}, false, now + 100ms), "nothing changed");
}
