#include "dragonflymill/overload/connection_gate.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace dragonflymill;

namespace {

constexpr instant start{1h};

/// A process on a small host: each accepted connection costs processor time, and events wait for it in turn.
struct small_host
{
    duration cost_per_call = 5ms; ///< 200 calls per second.
    duration longest_wait = 1s;   ///< A call that waits longer is lost for its caller.
    bool gated = true;

    connection_gate gate;
    instant busy_until{};
    int arrived = 0;
    int accepted = 0;
    int served = 0;

    /// Plays arrivals at a rate, evenly spread.
    void play(double calls_per_s, instant from, duration length)
    {
        const auto gap = duration(static_cast<duration::rep>(1e6 / calls_per_s));
        for (instant now = from; now < from + length; now += gap) {
            ++arrived;
            const duration lag = std::max(busy_until - now, duration::zero());
            gate.record_lag(lag, now);
            if (!gate.admit(now) && gated) {
                continue;
            }
            ++accepted;
            served += lag < longest_wait ? 1 : 0;
            busy_until = std::max(busy_until, now) + cost_per_call;
        }
    }
    void reset_counts() { arrived = accepted = served = 0; }
};

} // namespace

// Guards against a gateway that reads most new connections of a region and serves few of them: from three
// seconds on at least three quarters of what it reads must be served.
Test(connection_gate, what_is_accepted_is_served_while_all_connections_come_to_one_process)
{
    for (const double calls_per_s : {400.0, 1000.0, 4000.0}) {
        small_host host;
        host.play(50.0, start, 5s);
        cr_assert(host.accepted == host.arrived);
        host.play(calls_per_s, start + 5s, 3s);
        host.reset_counts();
        host.play(calls_per_s, start + 8s, 10s);
        cr_expect(host.served * 4 >= host.accepted * 3, "%d of %d at %f", host.served, host.accepted,
                  calls_per_s);
        // What can be served is accepted: half of the host's capacity at the least.
        cr_expect(host.served >= 1000, "%d at %f", host.served, calls_per_s);
        host.reset_counts();
        host.play(50.0, start + 18s, 5s);
        host.reset_counts();
        host.play(50.0, start + 23s, 5s);
        cr_expect(host.accepted == host.arrived, "the limit ends: %d of %d", host.accepted, host.arrived);
    }
}

// Shows that the test above fails without the gate.
Test(connection_gate, without_it_little_of_what_is_accepted_is_served)
{
    small_host host;
    host.gated = false;
    host.play(1000.0, start, 3s);
    host.reset_counts();
    host.play(1000.0, start + 3s, 10s);
    cr_assert(host.served * 4 < host.accepted * 3, "%d of %d", host.served, host.accepted);
}

// Guards against connections that are turned away though the process keeps up.
Test(connection_gate, nothing_is_turned_away_below_capacity)
{
    small_host host;
    host.play(180.0, start, 30s);
    cr_assert(host.accepted == host.arrived, "%d of %d", host.accepted, host.arrived);
}

// Guards against a limit after a pause of the process, whose events are all late once.
Test(connection_gate, a_single_late_event_sets_no_limit)
{
    connection_gate gate;
    gate.record_lag(0ms, start);
    gate.record_lag(5s, start + 5s);
    gate.record_lag(1ms, start + 5050ms);
    cr_assert(!gate.limit() && gate.admit(start + 5060ms));
}

// Guards against a process that counts as ready and takes no connection.
Test(connection_gate, some_connections_are_always_accepted)
{
    connection_gate gate;
    int accepted = 0;
    for (duration since{}; since < 30s; since += 1ms) {
        gate.record_lag(10s, start + since);
        accepted += since >= 3s && gate.admit(start + since) ? 1 : 0;
    }
    cr_assert(accepted >= 27 * 8, "%d", accepted);
}
