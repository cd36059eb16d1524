#include "dragonflymill/direct/call_dispatcher.h"
#include "engine_samples.h"
#include "statement_simulation.h"

#include <criterion/criterion.h>
#include <set>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start = statement_simulation::start;
/// Length of a pushback where it doesn't matter.
constexpr duration usual_length = 3s;

/// Four gateways before fourteen upstreams, two of which reject all calls for three seconds and push back.
auto two_push_back() -> statement_scenario
{
    statement_scenario scenario;
    scenario.upstreams = 14;
    scenario.length = 10s;
    scenario.pushback = [](int upstream, duration since_start) {
        const bool overloaded = since_start >= 3s && since_start < 6s;
        return upstream < 2 && overloaded ? duration(3s) : duration(0s);
    };
    return scenario;
}

/// Returns a service "bookings" of upstreams "u0", "u1" and so on, and a service "answers" of as many
/// engines.
auto fleet_of(int upstreams, int slots) -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    parts.services = {{"bookings", 50, 3s, 10.0, std::nullopt}, {"answers", 400, 3s, 0.0, sample_profile()}};
    route_rule route;
    route.services = {{"answers", 1}};
    route.kind = call_kind::streaming;
    route.tbt_target = 200ms;
    parts.routes = {route};
    fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
    for (int i = 0; i < upstreams; ++i) {
        for (const char* service : {"bookings", "answers"}) {
            upstream_entry entry;
            entry.service = service;
            entry.id = (entry.service == "answers" ? "e" : "u") + std::to_string(i);
            entry.failure_domain = "a";
            entry.slots = slots;
            entry.started_ms = 1;
            fleet.take("k" + entry.id, entry, start);
        }
    }
    return fleet;
}

auto dispatcher() -> call_dispatcher
{
    return call_dispatcher({"a", {0.2, 10.0, 10s}, 1});
}

auto call(std::uint64_t id, instant now = start) -> waiting_call
{
    waiting_call made;
    made.id = id;
    made.service = "bookings";
    made.aim = 100ms;
    made.latency_target_at = now + made.aim;
    made.client_timeout_at = now + 10s;
    made.deadline_at = now + 10s;
    made.queue_timeout_at = now + 125ms;
    return made;
}

void push_back(call_dispatcher& decider, const upstream_list& fleet, const std::string& id, instant now,
               duration length = usual_length)
{
    upstream_statement statement;
    statement.pushback.length = length;
    (void)decider.availability().record(fleet.upstreams().at(id).entry, statement, response_at(now, now));
}

void state_drain(call_dispatcher& decider, const upstream_list& fleet, const std::string& id, instant now)
{
    upstream_statement statement;
    statement.draining = true;
    (void)decider.availability().record(fleet.upstreams().at(id).entry, statement, response_at(now, now));
}

auto long_prompt(std::uint64_t id) -> waiting_call
{
    waiting_call made = call(id);
    made.service = "answers";
    made.prompt_tokens = 210'000;
    made.answer_tokens = 800;
    made.tbt_target = 800ms;
    made.aim = 3s;
    made.latency_target_at = start + made.aim;
    return made;
}

/// Sends a call to each of two upstreams with one slot, and queues a third one; returns the first two.
auto fill_and_queue_one(call_dispatcher& decider, const upstream_list& fleet)
    -> std::vector<dispatch_assignment>
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        decider.add(call(id));
    }
    auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 2 && decider.waiting() == 1);
    return round.orders;
}

void finish_all(call_dispatcher& decider, const std::vector<dispatch_assignment>& orders)
{
    for (const dispatch_assignment& order : orders) {
        decider.finish(order.placed, start);
    }
}

/// Returns the upstreams to which a gateway sends ten calls at once.
auto used_upstreams(call_dispatcher& decider, const upstream_list& fleet, instant now)
    -> std::set<std::string>
{
    std::set<std::string> used;
    static std::uint64_t next_id = 1000;
    for (int i = 0; i < 10; ++i) {
        decider.add(call(++next_id, now));
    }
    for (const dispatch_assignment& order : decider.decide(fleet, now).orders) {
        used.insert(order.upstream.id);
        decider.finish(order.placed, now);
    }
    return used;
}

} // namespace

// Guards against sending further calls to an upstream that has rejected one and asked for a pause: a fixed
// backoff is shorter, and an upstream that rejects at once looks idle.
Test(pushback, holds_against_new_calls_and_retries)
{
    statement_simulation simulation(two_push_back());
    simulation.run();
    cr_assert(!simulation.statements.empty());
    cr_assert(simulation.most_during_pushback() <= 2, "%d calls", simulation.most_during_pushback());
}

// Guards against a queued call that goes to the upstream that it was waiting for, though that has asked for a
// pause meanwhile.
Test(pushback, queued_call_goes_elsewhere)
{
    const auto fleet = fleet_of(2, 1);
    auto decider = dispatcher();
    const auto first = fill_and_queue_one(decider, fleet);
    push_back(decider, fleet, "u0", start);
    finish_all(decider, first);
    const auto next = decider.decide(fleet, start + 1ms);
    cr_assert(next.orders.size() == 1 && next.orders[0].upstream.id == "u1");
}

// Guards against a retry at an upstream whose pushback the gateway knows from another call.
Test(pushback, retried_call_goes_elsewhere)
{
    const auto fleet = fleet_of(3, 4);
    auto decider = dispatcher();
    push_back(decider, fleet, "u0", start);
    push_back(decider, fleet, "u1", start);
    waiting_call retried = call(1);
    retried.attempts.dispatched();
    retried.attempts.ended(attempt_end::broken, {"u2", "a"}, start);
    retried.queue_timeout_at = start + 9s;
    decider.add(retried);
    for (instant now = start; now < start + usual_length; now += 10ms) {
        for (const dispatch_assignment& order : decider.decide(fleet, now).orders) {
            cr_assert(order.upstream.id == "u2");
        }
    }
}

// Guards against prompts that an engine prefills for another one while it wants nothing from this gateway.
Test(pushback, engine_gets_no_part_of_a_prompt)
{
    const auto fleet = fleet_of(16, 16);
    auto decider = dispatcher();
    std::set<std::string> pushing_back;
    for (int i = 0; i < 16; i += 2) {
        pushing_back.insert("e" + std::to_string(i));
        push_back(decider, fleet, "e" + std::to_string(i), start);
    }
    decider.add(long_prompt(1));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1 && !round.orders[0].prefill_engines.empty());
    cr_assert(!pushing_back.contains(round.orders[0].upstream.id));
    for (const prefill_engine& engine : round.orders[0].prefill_engines) {
        cr_assert(!pushing_back.contains(engine.upstream.id), "%s", engine.upstream.id.c_str());
    }
}

// Guards against the fall-back to the upstreams of other cells as a way round a pushback.
Test(pushback, holds_for_upstreams_of_other_cells)
{
    const auto fleet = fleet_of(static_cast<int>(2 * fleet_cells::min_part_size), 4);
    auto decider = dispatcher();
    fleet_cells cells("10.0.0.1:1");
    (void)cells.update(fleet.largest_service(), start);
    decider.set_cells(cells);
    int others = 0;
    for (const auto& [id, state] : fleet.upstreams()) {
        const bool own = cells.in_own_part(state.key, fleet.size_of(state.entry.service));
        if (state.entry.service == "bookings" && (own || ++others > 1)) {
            push_back(decider, fleet, id, start);
        }
    }
    const auto used = used_upstreams(decider, fleet, start + 1ms);
    cr_assert(used.size() == 1, "%zu", used.size());
    push_back(decider, fleet, *used.begin(), start + 1ms);
    cr_assert(used_upstreams(decider, fleet, start + 1s).empty());
}

// Guards against a call that is held, or refused with a time at which it would be refused again, while all
// upstreams push back.
Test(pushback, callers_are_refused_at_once_until_the_first_one_ends)
{
    const auto fleet = fleet_of(2, 2);
    auto decider = dispatcher();
    push_back(decider, fleet, "u0", start, 2s);
    push_back(decider, fleet, "u1", start, 3s);
    std::set<duration> times;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        decider.add(call(id, start + 1s));
    }
    const auto round = decider.decide(fleet, start + 1s);
    cr_assert(round.orders.empty() && round.refusals.size() == 20 && decider.waiting() == 0);
    for (const dispatch_refusal& refusal : round.refusals) {
        times.insert(refusal.retry_after);
        cr_assert(refusal.reason == to_string(wait_reason::pushback));
    }
    cr_assert(*times.begin() >= 1s && *times.begin() < 1100ms, "the end of the first pushback");
    cr_assert(*times.rbegin() < 3s, "the slots free up faster than that");
    cr_assert(times.size() >= 10, "callers return at different times");
    const duration after_attempt = decider.retry_after(fleet, call(21, start + 1s), start + 1s);
    cr_assert(after_attempt >= 1s && after_attempt < 3s);
    cr_assert(!used_upstreams(decider, fleet, start + 2s).empty(), "a pushback ends");
}

// Guards against calls that are held for a rate limit with no turn for them, as other upstreams push back.
Test(pushback, callers_behind_the_turn_of_a_rate_limit_are_refused_at_once)
{
    const auto fleet = fleet_of(2, 4);
    auto decider = dispatcher();
    upstream_statement limit;
    limit.rate.calls_per_s = 0.1;
    (void)decider.availability().record(fleet.upstreams().at("u0").entry, limit, response_at(start, start));
    const instant now = start + 9950ms; // 50 ms before the first turn
    push_back(decider, fleet, "u1", now);
    for (std::uint64_t id = 2; id <= 6; ++id) {
        decider.add(call(id, now));
    }
    const auto round = decider.decide(fleet, now);
    cr_assert(round.refusals.size() == 4 && decider.waiting() == 1, "%zu", round.refusals.size());
    for (const dispatch_refusal& refusal : round.refusals) {
        cr_assert(refusal.retry_after >= usual_length && refusal.retry_after < usual_length + 1s);
    }
}

// Guards against a second refusal, which is final for its caller, shortly before a pushback ends.
Test(pushback, caller_that_has_come_back_waits_for_its_end)
{
    const auto fleet = fleet_of(1, 2);
    auto decider = dispatcher();
    push_back(decider, fleet, "u0", start);
    const instant now = start + usual_length - 100ms;
    waiting_call returning = call(1, now);
    returning.returning = true;
    decider.add(returning);
    const auto held = decider.decide(fleet, now);
    cr_assert(held.orders.empty() && held.refusals.empty());
    cr_assert(decider.decide(fleet, start + usual_length).orders.size() == 1);
}

// Guards against a pushback that a later, shorter one ends, and against one that lasts for ever.
Test(pushback, longest_statement_counts_and_ends)
{
    const auto fleet = fleet_of(1, 2);
    auto decider = dispatcher();
    push_back(decider, fleet, "u0", start, 2s);
    push_back(decider, fleet, "u0", start + 500ms, 100ms);
    cr_assert(used_upstreams(decider, fleet, start + 2s - 1ms).empty());
    push_back(decider, fleet, "u0", start + 1s, 2s);
    cr_assert(used_upstreams(decider, fleet, start + 3s - 1ms).empty());
    cr_assert(!used_upstreams(decider, fleet, start + 3s).empty());
    push_back(decider, fleet, "u0", start + 4s, 0s);
    cr_assert(!used_upstreams(decider, fleet, start + 4s).empty());
    push_back(decider, fleet, "u0", start + 5s, duration::max());
    cr_assert(used_upstreams(decider, fleet, start + 9min).empty());
    cr_assert(!used_upstreams(decider, fleet, start + 5s + upstream_statements::max_pushback).empty());
}

// Guards against a pushback that is lost with the published entry, which may vanish and return while the
// registry is unavailable.
Test(pushback, survives_the_loss_of_the_published_entry)
{
    auto fleet = fleet_of(1, 2);
    auto decider = dispatcher();
    push_back(decider, fleet, "u0", start, 20s);
    upstream_entry entry = fleet.upstreams().at("u0").entry;
    fleet.remove("ku0", false, start + 1s);
    decider.availability().expire(fleet, start + 5s);
    fleet.take("ku0", entry, start + 10s);
    cr_assert(used_upstreams(decider, fleet, start + 11s).empty());
    entry.started_ms = 0; // written by somebody else
    fleet.take("ku0", entry, start + 12s);
    cr_assert(used_upstreams(decider, fleet, start + 13s).empty());
}

// Guards against a restarted upstream that stays unused for what its earlier run had asked, and against one
// whose own pushback ends as its entry is read late.
Test(pushback, ends_with_the_run_that_stated_it)
{
    auto fleet = fleet_of(1, 2);
    auto decider = dispatcher();
    push_back(decider, fleet, "u0", start, 1min);
    upstream_entry restarted = fleet.upstreams().at("u0").entry;
    restarted.started_ms = started_ms_at(start + 500ms);
    fleet.take("ku0", restarted, start + 1s);
    cr_assert(used_upstreams(decider, fleet, start + upstream_statements::min_notice_time).empty());
    cr_assert(!used_upstreams(decider, fleet, start + upstream_statements::min_notice_time + 1ms).empty());
}

// Guards against calls during the pushback of a run that started and pushed back before its entry was read.
Test(pushback, holds_if_the_entry_of_its_run_is_read_late)
{
    auto fleet = fleet_of(1, 4);
    auto decider = dispatcher();
    upstream_entry restarted = fleet.upstreams().at("u0").entry;
    restarted.started_ms = started_ms_at(start - 500ms);
    push_back(decider, fleet, "u0", start, 30s); // by the new run
    fleet.take("ku0", restarted, start + 1s);
    cr_assert(used_upstreams(decider, fleet, start + 29s).empty());
    cr_assert(!used_upstreams(decider, fleet, start + 30s).empty());
}

// Guards against a rate limit that is exceeded when a pushback ends, and against the reverse.
Test(pushback, holds_beside_a_rate_limit)
{
    statement_scenario scenario;
    scenario.upstreams = 3;
    scenario.limit = [](int upstream, duration) { return upstream == 0 ? std::optional(1.0) : std::nullopt; };
    scenario.pushback = [](int upstream, duration since_start) {
        const auto second = since_start / 1s;
        return upstream <= second % 3 && second % 7 < 3 ? duration(2s) : duration(0s);
    };
    statement_simulation simulation(scenario);
    simulation.run();
    cr_assert(simulation.most_during_pushback() <= 2, "%d calls", simulation.most_during_pushback());
    const int most = simulation.most_in_window(0, start + 4s);
    cr_assert(most <= allowed_in_window(1.0), "%d calls", most);
}

// Guards against sending new calls to an upstream that is still published as ready, or never published as
// draining, after it has stated in a response that it is draining.
Test(stated_drain, holds_against_new_calls)
{
    statement_scenario scenario;
    scenario.length = 8s;
    scenario.draining = [](int upstream, duration since_start) { return upstream == 0 && since_start >= 3s; };
    statement_simulation simulation(scenario);
    simulation.run();
    cr_assert(!simulation.statements.empty());
    cr_assert(simulation.calls_to_draining() == 0, "%d calls", simulation.calls_to_draining());
}

// Guards against a queued call, and a retry, that go to the upstream that they were waiting for, though that
// has stated its drain meanwhile.
Test(stated_drain, queued_and_retried_calls_go_elsewhere)
{
    const auto fleet = fleet_of(2, 1);
    auto decider = dispatcher();
    const auto first = fill_and_queue_one(decider, fleet);
    state_drain(decider, fleet, "u0", start);
    finish_all(decider, first);
    const auto next = decider.decide(fleet, start + 1ms);
    cr_assert(next.orders.size() == 1 && next.orders[0].upstream.id == "u1");
    decider.finish(next.orders[0].placed, start + 1ms);
    waiting_call retried = call(4);
    retried.attempts.dispatched();
    retried.attempts.ended(attempt_end::broken, {"u1", "a"}, start);
    decider.add(retried);
    const auto again = decider.decide(fleet, start + 2ms);
    cr_assert(again.orders.size() == 1 && again.orders[0].upstream.id == "u1");
}

// Guards against a prompt whose engines include one that is about to exit with its part.
Test(stated_drain, engine_gets_no_part_of_a_prompt)
{
    const auto fleet = fleet_of(16, 16);
    auto decider = dispatcher();
    std::set<std::string> draining;
    for (int i = 0; i < 16; i += 2) {
        draining.insert("e" + std::to_string(i));
        state_drain(decider, fleet, "e" + std::to_string(i), start);
    }
    decider.add(long_prompt(1));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1 && !round.orders[0].prefill_engines.empty());
    cr_assert(!draining.contains(round.orders[0].upstream.id));
    for (const prefill_engine& engine : round.orders[0].prefill_engines) {
        cr_assert(!draining.contains(engine.upstream.id), "%s", engine.upstream.id.c_str());
    }
}

// Guards against the fall-back to the upstreams of other cells as a way to one that drains.
Test(stated_drain, holds_for_upstreams_of_other_cells)
{
    const auto fleet = fleet_of(static_cast<int>(2 * fleet_cells::min_part_size), 4);
    auto decider = dispatcher();
    fleet_cells cells("10.0.0.1:1");
    (void)cells.update(fleet.largest_service(), start);
    decider.set_cells(cells);
    std::set<std::string> others;
    for (const auto& [id, state] : fleet.upstreams()) {
        if (state.entry.service != "bookings") {
            continue;
        }
        if (cells.in_own_part(state.key, fleet.size_of("bookings")) || !others.empty()) {
            state_drain(decider, fleet, id, start);
            continue;
        }
        others.insert(id);
    }
    cr_assert(used_upstreams(decider, fleet, start + 1s) == others);
}

// Guards against callers that are held while all upstreams drain.
Test(stated_drain, callers_are_refused_at_once_if_all_upstreams_drain)
{
    const auto fleet = fleet_of(2, 4);
    auto decider = dispatcher();
    state_drain(decider, fleet, "u0", start);
    state_drain(decider, fleet, "u1", start);
    decider.add(call(1));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.refusals.size() == 1 && decider.waiting() == 0);
    cr_assert(round.refusals[0].retry_after == call_dispatcher::retry_after_no_upstream);
}

// Guards against a refusal that names the time of no upstream although the pushback of one ends.
Test(stated_drain, callers_return_after_the_pushback_of_the_upstream_that_stays)
{
    const auto fleet = fleet_of(2, 4);
    auto decider = dispatcher();
    state_drain(decider, fleet, "u0", start);
    push_back(decider, fleet, "u1", start, 2s);
    decider.add(call(1));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.refusals.size() == 1);
    cr_assert(round.refusals[0].retry_after >= 2s && round.refusals[0].retry_after < 2100ms);
}

// Guards against a drain that is lost with the published entry, or undone by a stale one that says ready.
Test(stated_drain, survives_changes_of_the_published_entry)
{
    auto fleet = fleet_of(1, 4);
    auto decider = dispatcher();
    state_drain(decider, fleet, "u0", start);
    upstream_entry entry = fleet.upstreams().at("u0").entry;
    entry.cold_remaining = 1s;
    fleet.take("ku0", entry, start + 1s);
    cr_assert(used_upstreams(decider, fleet, start + 2s).empty());
    fleet.remove("ku0", false, start + 3s);
    decider.availability().expire(fleet, start + 60s);
    fleet.take("ku0", entry, start + 61s);
    cr_assert(used_upstreams(decider, fleet, start + 65s).empty());
}

// Guards against an upstream that is never used again: after a restart, or as it runs on.
Test(stated_drain, ends_with_its_run_or_after_the_longest_drain)
{
    auto fleet = fleet_of(1, 4);
    auto decider = dispatcher();
    state_drain(decider, fleet, "u0", start);
    cr_assert(used_upstreams(decider, fleet, start + upstream_statements::max_drain - 1ms).empty());
    cr_assert(!used_upstreams(decider, fleet, start + upstream_statements::max_drain).empty());

    const instant again = start + 1h;
    state_drain(decider, fleet, "u0", again);
    upstream_entry restarted = fleet.upstreams().at("u0").entry;
    restarted.started_ms = started_ms_at(again + 9s);
    fleet.take("ku0", restarted, again + 10s);
    cr_assert(!used_upstreams(decider, fleet, again + 11s).empty());
}

// Guards against a service without upstreams while all of them are restarted in place: each would count as
// draining though its new run takes work.
Test(stated_drain, does_not_outlast_a_restart_in_place)
{
    auto fleet = fleet_of(3, 4);
    auto decider = dispatcher();
    instant now = start;
    for (const char* id : {"u0", "u1", "u2"}) {
        state_drain(decider, fleet, id, now);
        upstream_entry restarted = fleet.upstreams().at(id).entry;
        restarted.started_ms = started_ms_at(now + 500ms);
        fleet.take(std::string("k") + id, restarted, now + 1s);
        now += upstream_statements::min_notice_time + 1ms;
        cr_assert(used_upstreams(decider, fleet, now).contains(id), "%s", id);
    }
}

// Guards against calls to an upstream that restarted and stated its drain while the source was out of reach:
// the entry of its run is read after the statement.
Test(stated_drain, holds_if_the_entry_of_its_run_is_read_late)
{
    auto fleet = fleet_of(1, 4);
    auto decider = dispatcher();
    upstream_entry restarted = fleet.upstreams().at("u0").entry;
    restarted.started_ms = 2;
    state_drain(decider, fleet, "u0", start); // by the new run
    fleet.take("ku0", restarted, start + 1s);
    cr_assert(used_upstreams(decider, fleet, start + 2s).empty());
    cr_assert(used_upstreams(decider, fleet, start + 30s).empty());
}

// Guards against an incident without a trace: a call that was sent in spite of a statement is counted.
Test(stated_drain, response_to_a_call_sent_afterwards_is_reported)
{
    const auto fleet = fleet_of(1, 4);
    upstream_statements statements;
    upstream_statement drain;
    drain.draining = true;
    const upstream_entry& upstream = fleet.upstreams().at("u0").entry;
    cr_assert(statements.record(upstream, drain, response_at(start, start + 1s)) ==
              (statement_changes{false, false, true, false}));
    cr_assert(!statements.record(upstream, {}, response_at(start + 500ms, start + 2s)).unwanted,
              "sent before it was known");
    cr_assert(statements.record(upstream, {}, response_at(start + 1500ms, start + 2s)).unwanted);
}
