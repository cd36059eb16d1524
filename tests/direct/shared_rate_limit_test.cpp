#include "statement_simulation.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

/// Time after its first statement from which a limit must hold.
constexpr duration settle_time = 3s;

/// Runs a scenario and checks the limit of the first upstream from `since` on; returns the simulation.
auto run_and_check(const statement_scenario& scenario, double limit, duration since, int except = -1)
    -> statement_simulation
{
    statement_simulation simulation(scenario);
    simulation.run();
    const int most = simulation.most_in_window(0, statement_simulation::start + since, except);
    cr_assert(most <= allowed_in_window(limit), "%d gateways, limit %.2f, seed %d: %d calls in four seconds",
              scenario.gateways, limit, static_cast<int>(scenario.seed), most);
    return simulation;
}

/// A limit of one upstream, from two seconds after the start on.
auto limit_of_first(double calls_per_s)
{
    return [calls_per_s](int upstream, duration t) {
        return upstream == 0 && t >= 2s ? std::optional(calls_per_s) : std::nullopt;
    };
}

} // namespace

// Guards against an upstream in need that gets the load of all gateways although it states the rate of calls
// that it accepts: its answers reached every gateway, and none of them sent less.
Test(shared_rate_limit, calls_of_all_gateways_stay_within_a_stated_limit)
{
    for (const double limit : {1.0, 2.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            statement_scenario scenario;
            scenario.limit = limit_of_first(limit);
            scenario.seed = seed;
            (void)run_and_check(scenario, limit, 2s + settle_time);
        }
    }
}

// Guards against a share per gateway where gateways outnumber the calls: the first call of each, all sent in
// the same seconds, would exceed the limit many times over.
Test(shared_rate_limit, holds_with_more_gateways_than_calls)
{
    for (const double limit : {0.1, 0.5, 2.0, 20.0}) {
        statement_scenario scenario;
        scenario.gateways = 41;
        scenario.upstreams = 1;
        scenario.calls_per_s = 400.0;
        scenario.length = 14s;
        scenario.limit = limit_of_first(limit);
        (void)run_and_check(scenario, limit, 2s + settle_time);
    }
}

// A limit that no caller can use up would hold as well. Where calls are plenty, the upstream must get what it
// accepts; half of that is the target while gateways wait for each other's reports.
Test(shared_rate_limit, limited_upstream_gets_the_calls_that_it_accepts)
{
    for (const int gateways : {1, 4, 41}) {
        statement_scenario scenario;
        scenario.gateways = gateways;
        scenario.upstreams = 1;
        scenario.calls_per_s = 60.0;
        scenario.limit = [](int, duration) { return std::optional(4.0); };
        const auto simulation = run_and_check(scenario, 4.0, settle_time);
        const int arrived =
            simulation.arrived(0, statement_simulation::start + 4s, statement_simulation::start + 20s);
        cr_assert(arrived >= 32, "%d gateways: %d of 64 calls", gateways, arrived);
    }
}

// Many upstreams in need at the same time leave no other way for calls.
Test(shared_rate_limit, holds_at_each_of_many_limited_upstreams)
{
    statement_scenario scenario;
    scenario.gateways = 12;
    scenario.upstreams = 40;
    scenario.calls_per_s = 300.0;
    scenario.length = 14s;
    scenario.limit = [](int upstream, duration) { return std::optional(0.5 + upstream % 3); };
    statement_simulation simulation(scenario);
    simulation.run();
    for (int upstream = 0; upstream < scenario.upstreams; ++upstream) {
        const int most = simulation.most_in_window(upstream, statement_simulation::start + 5s);
        cr_assert(most <= allowed_in_window(0.5 + upstream % 3), "upstream %d: %d calls", upstream, most);
    }
}

// A limit that falls must hold at its new value, and one that rises or ends must not go on limiting.
Test(shared_rate_limit, follows_a_limit_that_changes_and_ends)
{
    statement_scenario scenario;
    scenario.upstreams = 1;
    scenario.calls_per_s = 40.0;
    scenario.length = 40s;
    scenario.limit = [](int, duration t) -> std::optional<double> {
        return t < 10s   ? std::optional(8.0)
               : t < 20s ? std::optional(1.0)
               : t < 30s ? std::optional(4.0)
                         : std::nullopt;
    };
    statement_simulation simulation(scenario);
    simulation.run();
    const auto arrived = [&](duration from, duration to) {
        return simulation.arrived(0, statement_simulation::start + from, statement_simulation::start + to);
    };
    for (duration from = 13s; from <= 16s; from += 100ms) {
        cr_assert(arrived(from, from + 4s) <= allowed_in_window(1.0));
    }
    cr_assert(arrived(23s, 30s) >= 14, "%d calls in 7 s of a limit of 4", arrived(23s, 30s));
    cr_assert(arrived(33s, 40s) >= 196, "%d of 280 calls after the end of the limit", arrived(33s, 40s));
}

// A gateway that was suspended wakes with an old view of the calls of the others.
Test(shared_rate_limit, holds_when_a_gateway_was_frozen)
{
    statement_scenario scenario;
    scenario.limit = limit_of_first(1.0);
    scenario.upstreams = 1;
    scenario.length = 30s;
    scenario.frozen = [](int gateway, duration t) { return gateway == 0 && t >= 10s && t < 16s; };
    (void)run_and_check(scenario, 1.0, 2s + settle_time);
}

// Two halves of a fleet that don't hear each other would each send the whole limit. Gateways that were heard
// before count as known, so each half takes its part.
Test(shared_rate_limit, holds_over_both_parts_of_a_partition)
{
    statement_scenario scenario;
    scenario.limit = limit_of_first(2.0);
    scenario.upstreams = 1;
    scenario.length = 30s;
    scenario.side = [](int gateway, duration t) { return t >= 8s ? gateway % 2 : 0; };
    statement_simulation simulation(scenario);
    for (call_dispatcher& gateway : simulation.gateways) {
        gateway.set_gateways(2, {2, 4});
    }
    simulation.run();
    const int most = simulation.most_in_window(0, statement_simulation::start + 10s);
    cr_assert(most <= allowed_in_window(2.0), "%d calls in four seconds", most);
}

namespace {

constexpr instant start = statement_simulation::start;

/// A gateway before one upstream "u0" that states a limit; `calls_per_s` of callers are simulated elsewhere.
struct limited_gateway
{
    explicit limited_gateway(double calls_per_s)
        : simulation({.limit = [](int, duration) { return std::nullopt; }, .gateways = 1, .upstreams = 1})
        , gateway(simulation.gateways.front())
    {
        (void)gateway.availability().record(simulation.fleet.upstreams().at("u0").entry,
                                            {{true, calls_per_s}, {}, false}, response_at(start, start));
    }

    void add(std::uint64_t id, instant now, duration queue_time, bool returning = false)
    {
        waiting_call call;
        call.id = id;
        call.service = "bookings";
        call.aim = 100ms;
        call.latency_target_at = now + 100ms;
        call.queue_timeout_at = now + queue_time;
        call.client_timeout_at = call.deadline_at = now + 60s;
        call.returning = returning;
        gateway.add(std::move(call));
    }

    statement_simulation simulation;
    call_dispatcher& gateway;
};

} // namespace

// Guards against callers that are held although nothing can be sent for them in time: each is refused at
// once, and told a time at which it is served.
Test(shared_rate_limit, call_is_refused_at_once_with_the_time_of_its_turn)
{
    limited_gateway limited(0.5);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        limited.add(id, start, 300ms);
    }
    const auto round = limited.gateway.decide(limited.simulation.fleet, start);
    cr_assert(round.orders.empty() && round.refusals.size() == 4);
    cr_assert(limited.gateway.waiting() == 0);
    for (std::size_t i = 0; i < round.refusals.size(); ++i) {
        const instant returns_at = start + round.refusals[i].retry_after;
        cr_assert(round.refusals[i].retry_after == 2s * static_cast<int>(i + 1), "callers return in turn");
        limited.add(10 + i, returns_at, 300ms, true);
        const auto served = limited.gateway.decide(limited.simulation.fleet, returns_at);
        cr_assert(served.orders.size() == 1, "the caller returns when it was told to");
        limited.gateway.finish(served.orders.front().placed, returns_at + 20ms);
    }
}

// Callers that are refused one after the other, while nothing is sent, must not be told the same time.
Test(shared_rate_limit, callers_refused_at_different_times_return_in_turn)
{
    limited_gateway limited(0.5);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const instant now = start + 100ms * static_cast<int>(id);
        limited.add(id, now, 300ms);
        const auto round = limited.gateway.decide(limited.simulation.fleet, now);
        cr_assert(round.refusals.size() == 1);
        cr_assert(now + round.refusals.front().retry_after == start + 2s * static_cast<int>(id));
    }
}

Test(shared_rate_limit, call_waits_for_a_turn_that_comes_in_time)
{
    limited_gateway limited(5.0);
    limited.add(1, start, 300ms);
    cr_assert(limited.gateway.decide(limited.simulation.fleet, start).refusals.empty());
    cr_assert(limited.gateway.decide(limited.simulation.fleet, start + 200ms).orders.size() == 1);
}

// A client that was refused and came back has no further attempt left, while a new one has.
Test(shared_rate_limit, returning_caller_goes_before_a_new_one)
{
    limited_gateway limited(5.0);
    limited.add(1, start, 300ms);
    limited.add(2, start + 100ms, 300ms, true);
    const auto round = limited.gateway.decide(limited.simulation.fleet, start + 200ms);
    cr_assert(round.orders.size() == 1 && round.orders.front().call == 2);
}

// Guards against retries that come on top of a limit.
Test(shared_rate_limit, retried_call_needs_a_turn_like_any_other)
{
    limited_gateway limited(1.0);
    limited.add(1, start + 1s, 300ms);
    const auto first = limited.gateway.decide(limited.simulation.fleet, start + 1s);
    cr_assert(first.orders.size() == 1);
    waiting_call retried;
    retried.id = 1;
    retried.service = "bookings";
    retried.queue_timeout_at = retried.deadline_at = start + 10s;
    retried.attempts.dispatched();
    retried.attempts.ended(attempt_end::rejected, {"u0", "a"}, start + 1s);
    limited.gateway.add(retried);
    cr_assert(limited.gateway.decide(limited.simulation.fleet, start + 1900ms).orders.empty());
    cr_assert(limited.gateway.decide(limited.simulation.fleet, start + 2s).orders.size() == 1);
}

// A gateway that has just started has sent nothing to the upstream; it learns the limit from the others.
Test(shared_rate_limit, reported_limit_binds_a_gateway_that_has_sent_nothing)
{
    limited_gateway told(1.0);
    call_dispatcher gateway({"a", {0.2, 100.0, 10s}, 9});
    for (const rate_limit_report& report : told.gateway.availability().rate_limits().reports(start + 5s, 0)) {
        cr_assert(gateway.availability().apply_rate_limit_report("g1", report, start + 5s));
    }
    waiting_call call;
    call.id = 1;
    call.service = "bookings";
    call.queue_timeout_at = call.deadline_at = start + 5200ms;
    gateway.add(call);
    cr_assert(gateway.decide(told.simulation.fleet, start + 5s).orders.empty());
}

// A restart under the same id has no need any more and states no limit.
Test(shared_rate_limit, limit_ends_with_the_run_of_its_upstream)
{
    limited_gateway limited(0.1);
    upstream_entry restarted = limited.simulation.fleet.upstreams().at("u0").entry;
    restarted.started_ms = 5;
    limited.simulation.fleet.take("ku0", restarted, start + 1s);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        limited.add(id, start + 1s, 300ms);
    }
    cr_assert(limited.gateway.decide(limited.simulation.fleet, start + 1s).orders.size() == 3);
    limited.gateway.availability().expire(limited.simulation.fleet, start + 1min);
    cr_assert(limited.gateway.availability().rate_limits().beliefs().all().empty());
}

// Guards against a fixed Retry-After for a call that its upstreams rejected: its caller returned before its
// turn and was refused for good.
Test(shared_rate_limit, call_refused_after_an_attempt_is_told_the_time_of_its_turn)
{
    limited_gateway limited(0.5);
    limited.add(1, start, 300ms);
    cr_assert(limited.gateway.decide(limited.simulation.fleet, start).refusals.size() == 1);
    waiting_call rejected;
    rejected.id = 2;
    rejected.service = "bookings";
    rejected.deadline_at = start + 60s;
    const duration turn = limited.gateway.retry_after(limited.simulation.fleet, rejected, start);
    cr_assert(turn == 4s, "the first turn is taken");
    rejected.id = 3;
    cr_assert(limited.gateway.retry_after(limited.simulation.fleet, rejected, start) == 6s);
}
