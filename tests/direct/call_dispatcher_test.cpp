#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "engine_samples.h"

#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

auto bookings(int slots_each, int count) -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    parts.services = {{"bookings", 50, 3s, 10.0, std::nullopt}};
    fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
    for (int i = 0; i < count; ++i) {
        upstream_entry entry;
        entry.id = "u" + std::to_string(i);
        entry.service = "bookings";
        entry.failure_domain = i == 0 ? "a" : "b";
        entry.slots = slots_each;
        fleet.take("k" + entry.id, entry, start);
    }
    return fleet;
}

auto leave(upstream_list& fleet, const std::string& id)
{
    upstream_entry entry = fleet.upstreams().at(id).entry;
    entry.leaving = true;
    fleet.take("k" + id, entry, start);
}

auto call(std::uint64_t id) -> waiting_call
{
    waiting_call made;
    made.id = id;
    made.service = "bookings";
    made.latency_target_at = start + 100ms;
    made.aim = 100ms;
    made.client_timeout_at = start + 1500ms;
    made.queue_timeout_at = start + 200ms;
    return made;
}

auto dispatcher() -> call_dispatcher
{
    return call_dispatcher({"a", {0.2, 10.0, 10s}, 1});
}

} // namespace

Test(call_dispatcher, a_call_goes_to_an_upstream_with_room)
{
    auto fleet = bookings(1, 2);
    auto decider = dispatcher();
    decider.add(call(1));
    decider.add(call(2));
    decider.add(call(3));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 2);
    cr_assert(round.orders[0].upstream.id != round.orders[1].upstream.id);
    cr_assert(decider.waiting() == 1);
    decider.finish(round.orders[0].placed, start);
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
}

// A booking waits for room. Meanwhile the upstream that it would have gone to reports that it leaves; bound
// to it at its arrival, the booking would be sent there after all.
Test(call_dispatcher, a_waiting_call_is_not_sent_to_an_upstream_that_began_to_leave)
{
    auto fleet = bookings(1, 2);
    auto decider = dispatcher();
    decider.add(call(1));
    decider.add(call(2));
    const auto first = decider.decide(fleet, start);
    decider.add(call(3));
    cr_assert(decider.decide(fleet, start).orders.empty());
    leave(fleet, "u0");
    for (const auto& order : first.orders) {
        decider.finish(order.placed, start);
    }
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1 && round.orders[0].upstream.id == "u1");
}

Test(call_dispatcher, a_domain_that_is_out_gets_no_call_that_waited)
{
    auto fleet = bookings(4, 2);
    auto decider = dispatcher();
    fleet.take("out", drained_domain{"b"}, start);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        decider.add(call(id));
    }
    for (const auto& order : decider.decide(fleet, start).orders) {
        cr_assert(order.upstream.id == "u0");
    }
}

// Nothing can serve the call: its caller is sent at once and comes back when there may be room, rather than
// after its deadline has passed in a line that can't move.
Test(call_dispatcher, what_no_upstream_can_take_is_refused_at_once)
{
    auto fleet = bookings(4, 1);
    leave(fleet, "u0");
    auto decider = dispatcher();
    decider.add(call(1));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.refusals.size() == 1);
    cr_assert(round.refusals[0].retry_after == call_dispatcher::retry_after_none);
    cr_assert(decider.waiting() == 0);
}

Test(call_dispatcher, a_call_that_waited_too_long_is_refused)
{
    auto fleet = bookings(1, 1);
    auto decider = dispatcher();
    decider.add(call(1));
    decider.add(call(2));
    (void)decider.decide(fleet, start);
    cr_assert(decider.decide(fleet, start + 199ms).refusals.empty());
    const auto round = decider.decide(fleet, start + 200ms);
    cr_assert(round.refusals.size() == 1 && round.refusals[0].call == 2);
}

// A burst makes the line longer than what can be on time. Calls that would be late in any case come last, so
// that they don't make the others late as well.
Test(call_dispatcher, what_can_still_be_on_time_goes_first)
{
    auto fleet = bookings(1, 1);
    auto decider = dispatcher();
    waiting_call late = call(1);
    late.latency_target_at = start + 20ms;
    decider.add(late);
    decider.add(call(2));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1 && round.orders[0].call == 2);
}

Test(call_dispatcher, a_more_urgent_call_goes_first)
{
    auto fleet = bookings(1, 1);
    auto decider = dispatcher();
    waiting_call lesser = call(1);
    lesser.priority = 2;
    decider.add(lesser);
    decider.add(call(2));
    cr_assert(decider.decide(fleet, start).orders.front().call == 2);
}

Test(call_dispatcher, a_caller_that_left_is_not_served)
{
    auto fleet = bookings(1, 1);
    auto decider = dispatcher();
    decider.add(call(1));
    decider.drop(1);
    cr_assert(decider.decide(fleet, start).orders.empty());
}

// An upstream comes back cold and idle and would be everybody's first choice; at full load it falls over.
Test(call_dispatcher, a_cold_upstream_gets_its_part_only)
{
    auto fleet = bookings(100, 1);
    upstream_entry cold = fleet.upstreams().at("u0").entry;
    cold.cold_remaining = 3s;
    fleet.take("ku0", cold, start);
    auto decider = dispatcher();
    decider.set_gateways(2);
    int sent = 0;
    for (int ms = 0; ms < 1000; ++ms) {
        waiting_call next = call(static_cast<std::uint64_t>(ms) + 1);
        next.queue_timeout_at = start + 2s;
        decider.add(next);
        sent += static_cast<int>(decider.decide(fleet, start + ms * 1ms).orders.size());
    }
    cr_assert(sent <= 6, "%d calls in a second of 10 that two gateways share", sent);
    cr_assert(sent >= 4, "%d", sent);
}

Test(call_dispatcher, a_second_attempt_goes_elsewhere)
{
    auto fleet = bookings(5, 2);
    auto decider = dispatcher();
    waiting_call again = call(1);
    again.attempts.dispatched();
    again.attempts.ended(attempt_end::rejected, {"u0", "a"}, start);
    decider.add(again);
    cr_assert(decider.decide(fleet, start).orders.front().upstream.id == "u1");
}

// One gateway may have a faulty way to an upstream; two others that also fail there prove it faulty.
Test(call_dispatcher, what_two_others_find_faulty_is_avoided)
{
    auto fleet = bookings(5, 2);
    auto decider = dispatcher();
    load_report report{"g1", 1, true, {}};
    report.loads[stable_hash("u0")].suspected_by = 1;
    decider.loads().apply_report(report, start);
    decider.add(call(1));
    cr_assert(decider.decide(fleet, start).orders.front().upstream.id == "u0");
    report.gateway = "g2";
    decider.loads().apply_report(report, start);
    decider.add(call(2));
    cr_assert(decider.decide(fleet, start).orders.front().upstream.id == "u1");
}

namespace {

constexpr int engine_count = 16;

/// Engines that stand in turn in so many failure domains, "d0", "d1" and so on.
auto engines(int domains = 1) -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    parts.services = {{"answers", 400, 3s, 0.0, sample_figures()}};
    route_rule route;
    route.services = {{"answers", 1}};
    route.kind = call_kind::streaming;
    route.tbt_target = 200ms;
    parts.routes = {route};
    fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
    for (int i = 0; i < engine_count; ++i) {
        upstream_entry entry;
        entry.id = "e" + std::to_string(i);
        entry.service = "answers";
        entry.failure_domain = "d" + std::to_string(i % domains);
        entry.slots = 16;
        fleet.take("k" + entry.id, entry, start);
    }
    return fleet;
}

auto document(std::uint64_t id) -> waiting_call
{
    waiting_call made = call(id);
    made.service = "answers";
    made.prompt_tokens = 210'000;
    made.answer_tokens = 800;
    made.tbt_target = 800ms;
    made.aim = 3s;
    made.latency_target_at = start + made.aim;
    made.client_timeout_at = start + 12s;
    made.queue_timeout_at = start + 4s;
    return made;
}

/// A gateway's report that each engine has so much to read.
auto reading_report(std::uint64_t sequence, duration reading) -> load_report
{
    load_report report{"reader", sequence, true, {}};
    for (int i = 0; i < engine_count && reading > 0s; ++i) {
        upstream_load& load = report.loads[stable_hash("e" + std::to_string(i))];
        load.pending_prefill = reading;
        load.parts = 1;
    }
    return report;
}

/// When a gateway of thirty sends a document that found all engines busy until `start` + 100 ms.
auto sent_after_waiting(std::uint64_t seed) -> instant
{
    const auto fleet = engines();
    call_dispatcher decider({"a", {0.2, 10.0, 10s}, seed});
    decider.set_gateways(30);
    decider.add(document(1));
    decider.loads().apply_report(reading_report(1, 2s), start);
    cr_assert(decider.decide(fleet, start).orders.empty());
    decider.loads().apply_report(reading_report(2, 0s), start + 100ms);
    for (instant now = start + 100ms; now < start + 300ms; now += 1ms) {
        if (!decider.decide(fleet, now).orders.empty()) {
            return now;
        }
    }
    return start + 300ms;
}

} // namespace

// Three gateways hold documents that wait, and learn in the same moment that engines are idle. All sent at
// once, to the same engines: each document was read behind the two others, and those that had to reserve
// memory took it from each other and began again, together. Now each goes at a moment of its own, and the
// next gateway has heard of it by then.
Test(call_dispatcher, waiting_documents_of_several_gateways_do_not_go_at_once)
{
    std::set<instant> moments;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const instant sent = sent_after_waiting(seed);
        cr_assert(sent <= start + 100ms + call_dispatcher::max_backoff);
        moments.insert(sent);
    }
    cr_assert(moments.size() >= 8, "%zu moments of 10 gateways", moments.size());
}

Test(call_dispatcher, a_document_that_finds_room_goes_at_once)
{
    const auto fleet = engines();
    auto decider = dispatcher();
    decider.set_gateways(30);
    decider.add(document(1));
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
}

// A gateway starts again and the calls of all its callers come at once. Decided in one round they must go
// where they would have gone one by one: each sees what the ones before it take up, on cold upstreams too.
Test(call_dispatcher, calls_of_one_round_see_each_other)
{
    const auto fleet = engines();
    const auto nth = [](std::uint64_t id) {
        waiting_call made = document(id);
        const bool middle = id % 7 == 0;
        made.prompt_tokens = middle ? 40'000 : 5'000;
        made.tbt_target = middle ? 500ms : 200ms;
        made.aim = 300ms + id * 1us;
        made.latency_target_at = start + made.aim;
        return made;
    };
    auto together = dispatcher();
    for (std::uint64_t id = 1; id <= 60; ++id) {
        together.add(nth(id));
    }
    const auto round = together.decide(fleet, start);
    cr_assert(round.orders.size() >= 50, "%zu", round.orders.size());
    auto one_by_one = dispatcher();
    for (const auto& order : round.orders) {
        one_by_one.add(nth(order.call));
        const auto single = one_by_one.decide(fleet, start);
        cr_assert(single.orders.size() == 1);
        cr_assert(single.orders[0].choice == order.choice, "call %lu",
                  static_cast<unsigned long>(order.call));
    }
}

// Pattern: more short calls than the upstreams serve. Guards against serving each call late by serving them
// in the order of arrival: one that is late even if it goes now comes behind one that is not.
Test(call_dispatcher, lateness_is_judged_by_the_first_token_times_seen)
{
    call_dispatcher decider = dispatcher();
    upstream_list fleet = bookings(1, 1);
    decider.add(call(1));
    const auto first = decider.decide(fleet, start).orders;
    cr_assert(first.size() == 1);
    decider.first_token(first[0].placed, start + 60ms);
    decider.finish(first[0].placed, start + 60ms);
    waiting_call older = call(2);
    older.latency_target_at = start + 110ms;
    older.queue_timeout_at = start + 300ms;
    waiting_call newer = call(3);
    newer.latency_target_at = start + 150ms;
    decider.add(older);
    decider.add(newer);
    const auto next = decider.decide(fleet, start + 60ms).orders;
    cr_assert(next.size() == 1 && next[0].call == 3, "50 ms are left of the older one's aim");
}

// Pattern: a burst that outlasts the first refusals. Guards against asking all callers back into it.
Test(call_dispatcher, the_longer_there_is_no_room_the_later_callers_are_asked_back)
{
    call_dispatcher decider = dispatcher();
    upstream_list fleet = bookings(1, 1);
    decider.add(call(1));
    (void)decider.decide(fleet, start);
    std::vector<duration> returns;
    for (std::uint64_t id = 2; id <= 22; ++id) {
        const instant now = start + 100ms * static_cast<int>(id);
        waiting_call refused = call(id);
        refused.queue_timeout_at = now;
        refused.deadline_at = now + 10s;
        decider.add(refused);
        const auto round = decider.decide(fleet, now);
        cr_assert(round.refusals.size() == 1);
        returns.push_back(round.refusals[0].retry_after);
    }
    cr_assert(returns.front() <= 500ms);
    cr_assert(returns.back() >= 1600ms && returns.back() <= 2400ms);
}

namespace {

/// A document that found the first two engines of a failure domain gone.
auto document_after_losses_in(int domain) -> waiting_call
{
    waiting_call made = document(1);
    for (int i = domain; i < domain + 4; i += 3) {
        made.attempts.dispatched();
        made.attempts.ended(attempt_end::reader_lost, {"e" + std::to_string(i), "d" + std::to_string(domain)},
                            start);
    }
    return made;
}

auto domains_of(const upstream_list& fleet, const dispatch_assignment& order) -> std::set<std::string>
{
    std::set<std::string> found{fleet.upstreams().at(order.upstream.id).entry.failure_domain};
    for (const prefill_engine& helper : order.prefill_engines) {
        found.insert(helper.upstream.failure_domain);
    }
    return found;
}

} // namespace

// A failure domain of engines goes away; each plan for a document names readers there, of which a rejection
// tells one. Four rejections later the document was refused, with two thirds of the engines idle.
Test(call_dispatcher, a_domain_that_went_away_reads_no_part_of_a_document)
{
    const auto fleet = engines(3);
    auto decider = dispatcher();
    decider.add(document_after_losses_in(0));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1);
    const std::set<std::string> others{"d1", "d2"};
    cr_assert(domains_of(fleet, round.orders.front()) == others);
}

// Losses in the only failure domain there is must not keep a call from its other engines.
Test(call_dispatcher, a_domain_is_not_avoided_if_there_is_no_other)
{
    const auto fleet = engines(1);
    auto decider = dispatcher();
    waiting_call lost = document(1);
    lost.attempts.dispatched();
    lost.attempts.ended(attempt_end::not_sent, {"e0", "d0"}, start);
    lost.attempts.ended(attempt_end::not_sent, {"e1", "d0"}, start);
    decider.add(lost);
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
}

// Calls whose readers were gone were sent again as if for the first time: in an outage of a domain all
// gateways together went over the retry budget that they share.
Test(call_dispatcher, a_call_whose_reader_was_lost_draws_on_the_retry_budget)
{
    const auto fleet = engines(3);
    call_dispatcher decider({"d1", {0.0, 1.5, 10s}, 1});
    cr_assert(decider.retry_allowed("answers", start));
    decider.add(document_after_losses_in(0));
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
    cr_assert(!decider.retry_allowed("answers", start));
}

// An upstream that refuses connections has had no arrival: going round it costs no second attempt.
Test(call_dispatcher, a_call_that_reached_no_upstream_leaves_the_retry_budget_alone)
{
    const auto fleet = engines(3);
    call_dispatcher decider({"d1", {0.0, 1.5, 10s}, 1});
    waiting_call unsent = document(1);
    unsent.attempts.dispatched();
    unsent.attempts.ended(attempt_end::not_sent, {"e0", "d0"}, start);
    decider.add(unsent);
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
    cr_assert(decider.retry_allowed("answers", start));
}
