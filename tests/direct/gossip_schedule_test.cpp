#include "dragonflymill/direct/gossip_schedule.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

} // namespace

// Guards against several gateways filling the same engine: two datagrams that report a load change are lost.
// The third reports it long before the next full digest, which may be a second later.
Test(gossip_schedule, sends_each_change_three_times)
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
    cr_assert(sent == 3, "change 3 is listed in %d digests", sent);
}

Test(gossip_schedule, sends_digests_rarely_when_idle)
{
    gossip_schedule schedule;
    (void)schedule.next({1, 5, 4}, true, start);
    cr_assert(!schedule.next({1, 5, 4}, false, start + gossip_schedule::gossip_interval));
    cr_assert(schedule.next({1, 5, 4}, false, start + gossip_schedule::idle_gossip_interval));
    cr_assert(schedule.next({1, 6, 4}, false,
                            start + gossip_schedule::idle_gossip_interval + gossip_schedule::gossip_interval),
              "a new revision is a change");
}

// In a fleet of hundreds each gateway receives the digests of all others. At the rate of a small fleet this
// would use up a host with a tenth of a processor.
Test(gossip_schedule, sends_digests_less_often_in_a_large_fleet)
{
    gossip_schedule schedule;
    (void)schedule.next({1, 5, 320}, true, start);
    cr_assert(!schedule.next({2, 5, 320}, false, start + 4 * gossip_schedule::gossip_interval));
    cr_assert(schedule.next({2, 5, 320}, false, start + 5 * gossip_schedule::gossip_interval));
}

Test(gossip_schedule, sends_an_urgent_change_immediately)
{
    gossip_schedule schedule;
    (void)schedule.next({1, 5, 320}, true, start);
    cr_assert(schedule.next({2, 5, 320}, true, start + 1ms));
}

// Guards against a caller that is faster than the evidence of the failure of its call.
Test(gossip_schedule, sends_evidence_of_crashes_sooner)
{
    gossip_schedule schedule;
    digest_state state{1, 5, 4};
    cr_assert(schedule.next(state, true, start));
    cr_assert(!schedule.evidence_due_at(state));
    ++state.evidence_changes;
    cr_assert(schedule.evidence_due_at(state) == start + gossip_schedule::evidence_gossip_interval);
    cr_assert(!schedule.next(state, false, start + gossip_schedule::evidence_gossip_interval - 1ms));
    cr_assert(schedule.next(state, false, start + gossip_schedule::evidence_gossip_interval));
    cr_assert(!schedule.evidence_due_at(state));
    state.gateways = 128;
    ++state.evidence_changes;
    cr_assert(schedule.evidence_due_at(state) == start + 3 * gossip_schedule::evidence_gossip_interval);
}

// Guards against staler state in a large fleet than in a small one: a relay adds its own delay.
Test(gossip_schedule, sends_digests_through_a_relay_more_often)
{
    gossip_schedule schedule;
    const instant now(10s);
    cr_assert(schedule.next({1, 0, 103, true}, false, now));
    cr_assert(!schedule.next({2, 0, 103, true}, false, now + 9ms));
    cr_assert(schedule.next({2, 0, 103, true}, false, now + 10ms));
    cr_assert(!schedule.next({2, 0, 103, true}, false, now + 100ms), "nothing changed");
}

// Guards against prompts divided onto an engine that another gateway knows to be slow: two datagrams that
// report it are lost.
Test(gossip_schedule, sends_each_slowdown_change_three_times)
{
    gossip_schedule schedule;
    cr_assert(schedule.next({1, 5, 4, false, 0, 0}, true, start)->whole);
    int sent = 0;
    for (std::uint64_t step = 1; step <= 8; ++step) {
        const auto digest = schedule.next({1, 5, 4, false, 0, 2 + step}, false,
                                          start + step * gossip_schedule::gossip_interval);
        cr_assert(digest && !digest->whole, "a changed slowdown makes a digest due");
        sent += digest->slowdown_changes_since < 3 ? 1 : 0;
    }
    cr_assert(sent == 3, "change 3 is listed in %d digests", sent);
}

// Guards against a part of prompts that crashes upstreams of which a gateway learns late: two datagrams that
// report a crash are lost.
Test(gossip_schedule, sends_each_change_of_the_evidence_three_times)
{
    gossip_schedule schedule;
    cr_assert(schedule.next({1, 5, 4, false, 0, 0, 0}, true, start)->whole);
    int sent = 0;
    for (std::uint64_t step = 1; step <= 8; ++step) {
        const auto digest = schedule.next({1, 5, 4, false, 0, 0, 2 + step}, false,
                                          start + step * gossip_schedule::gossip_interval);
        cr_assert(digest && !digest->whole, "changed evidence makes a digest due");
        sent += digest->evidence_changes_since < 3 ? 1 : 0;
    }
    cr_assert(sent == 3, "change 3 is listed in %d digests", sent);
}

// Guards against gateways that exceed a shared limit together: a call to a limited upstream must be reported
// like any other change, also when its datagram is lost twice.
Test(gossip_schedule, sends_each_rate_limit_change_three_times)
{
    gossip_schedule schedule;
    cr_assert(schedule.next({1, 5, 4, false, 0}, true, start)->whole);
    int sent = 0;
    for (std::uint64_t step = 1; step <= 8; ++step) {
        const auto digest =
            schedule.next({1, 5, 4, false, 2 + step}, false, start + step * gossip_schedule::gossip_interval);
        cr_assert(digest && !digest->whole, "a changed limit makes a digest due");
        sent += digest->rate_limit_changes_since < 3 ? 1 : 0;
    }
    cr_assert(sent == 3, "change 3 is listed in %d digests", sent);
}
