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

auto start_draining(upstream_list& fleet, const std::string& id)
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

Test(call_dispatcher, call_goes_to_an_upstream_with_capacity)
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

// Guards against a call that waits for its next attempt and keeps others from being sent, or is held for
// longer than it may wait.
Test(call_dispatcher, call_that_waits_for_its_next_attempt_blocks_no_others)
{
    auto fleet = bookings(4, 2);
    auto decider = dispatcher();
    for (std::uint64_t id = 1; id <= 6; ++id) {
        auto delayed = call(id);
        delayed.retry_at = start + (id == 1 ? 400ms : 50ms);
        decider.add(delayed);
    }
    decider.add(call(7));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1 && round.orders[0].call == 7 && round.refusals.empty());
    cr_assert(decider.decide(fleet, start + 49ms).orders.empty());
    cr_assert(decider.decide(fleet, start + 50ms).orders.size() == 5);
    const auto late = decider.decide(fleet, start + 200ms);
    cr_assert(late.orders.size() + late.refusals.size() == 1 && decider.waiting() == 0);
}

// While a call is queued, the upstream that it would have used begins to drain. A call that was bound to an
// upstream at its arrival would still be sent there.
Test(call_dispatcher, queued_call_is_not_sent_to_a_draining_upstream)
{
    auto fleet = bookings(1, 2);
    auto decider = dispatcher();
    decider.add(call(1));
    decider.add(call(2));
    const auto first = decider.decide(fleet, start);
    decider.add(call(3));
    cr_assert(decider.decide(fleet, start).orders.empty());
    start_draining(fleet, "u0");
    for (const auto& order : first.orders) {
        decider.finish(order.placed, start);
    }
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1 && round.orders[0].upstream.id == "u1");
}

Test(call_dispatcher, drained_domain_gets_no_queued_call)
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

// No upstream can serve the call. Its client must be refused at once, with a time to retry, and not after its
// deadline has passed in a queue that can't move.
Test(call_dispatcher, call_is_refused_at_once_if_no_upstream_accepts_work)
{
    auto fleet = bookings(4, 1);
    start_draining(fleet, "u0");
    auto decider = dispatcher();
    decider.add(call(1));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.refusals.size() == 1);
    cr_assert(round.refusals[0].retry_after == call_dispatcher::retry_after_no_upstream);
    cr_assert(decider.waiting() == 0);
}

Test(call_dispatcher, call_is_refused_after_its_queue_timeout)
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

// A burst makes the queue longer than what can be served in time. Calls that are late in any case go last;
// they would make the others late as well.
Test(call_dispatcher, calls_that_can_meet_their_target_go_first)
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

Test(call_dispatcher, call_with_higher_priority_goes_first)
{
    auto fleet = bookings(1, 1);
    auto decider = dispatcher();
    waiting_call low_priority = call(1);
    low_priority.priority = 2;
    decider.add(low_priority);
    decider.add(call(2));
    cr_assert(decider.decide(fleet, start).orders.front().call == 2);
}

Test(call_dispatcher, call_whose_client_disconnected_is_not_sent)
{
    auto fleet = bookings(1, 1);
    auto decider = dispatcher();
    decider.add(call(1));
    decider.drop(1);
    cr_assert(decider.decide(fleet, start).orders.empty());
}

// An upstream that restarts is cold and idle and would be every gateway's first choice; at full load it
// crashes.
Test(call_dispatcher, cold_upstream_gets_only_its_limited_rate)
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

Test(call_dispatcher, second_attempt_uses_another_upstream)
{
    auto fleet = bookings(5, 2);
    auto decider = dispatcher();
    waiting_call retried = call(1);
    retried.attempts.dispatched();
    retried.attempts.ended(attempt_end::rejected, {"u0", "a"}, start);
    decider.add(retried);
    cr_assert(decider.decide(fleet, start).orders.front().upstream.id == "u1");
}

// A single gateway may have a faulty network path to an upstream; two others that suspect it are evidence
// enough.
Test(call_dispatcher, avoids_an_upstream_that_two_other_gateways_suspect)
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

/// Returns engines that are assigned in turn to the failure domains "d0", "d1" and so on.
auto engines(int domains = 1) -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    parts.services = {{"answers", 400, 3s, 0.0, sample_profile()}};
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

auto long_call(std::uint64_t id) -> waiting_call
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

/// Returns a gateway's report in which each engine has this pending prefill.
auto prefill_report(std::uint64_t sequence, duration pending_prefill) -> load_report
{
    load_report report{"other", sequence, true, {}};
    for (int i = 0; i < engine_count && pending_prefill > 0s; ++i) {
        upstream_load& load = report.loads[stable_hash("e" + std::to_string(i))];
        load.pending_prefill = pending_prefill;
        load.parts = 1;
    }
    return report;
}

/// Returns when one of thirty gateways sends a long call that found all engines busy until `start` + 100 ms.
auto sent_after_waiting(std::uint64_t seed) -> instant
{
    const auto fleet = engines();
    call_dispatcher decider({"a", {0.2, 10.0, 10s}, seed});
    decider.set_gateways(30);
    decider.add(long_call(1));
    decider.loads().apply_report(prefill_report(1, 2s), start);
    cr_assert(decider.decide(fleet, start).orders.empty());
    decider.loads().apply_report(prefill_report(2, 0s), start + 100ms);
    for (instant now = start + 100ms; now < start + 300ms; now += 1ms) {
        if (!decider.decide(fleet, now).orders.empty()) {
            return now;
        }
    }
    return start + 300ms;
}

} // namespace

// Several gateways have long calls queued and learn at the same moment that engines are idle. Sent at once to
// the same engines, each prompt was prefilled behind the others; calls that had to reserve memory blocked
// each other and retried together. With a random backoff, the next gateway knows of the first one's call in
// time.
Test(call_dispatcher, queued_long_calls_of_several_gateways_are_sent_at_different_times)
{
    std::set<instant> moments;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const instant sent = sent_after_waiting(seed);
        cr_assert(sent <= start + 100ms + call_dispatcher::max_backoff);
        moments.insert(sent);
    }
    cr_assert(moments.size() >= 8, "%zu moments of 10 gateways", moments.size());
}

Test(call_dispatcher, long_call_that_finds_capacity_is_sent_at_once)
{
    const auto fleet = engines();
    auto decider = dispatcher();
    decider.set_gateways(30);
    decider.add(long_call(1));
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
}

// After a gateway restarts, all clients call at the same time. Calls decided in one round must go where they
// would have gone one by one: each accounts for the load of those before it, also on cold upstreams.
Test(call_dispatcher, calls_of_one_round_account_for_each_other)
{
    const auto fleet = engines();
    const auto nth = [](std::uint64_t id) {
        waiting_call made = long_call(id);
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

// More short calls arrive than the upstreams can serve. Served in order of arrival, every call would be late:
// a call that is late even if it is sent now must go behind one that is not.
Test(call_dispatcher, lateness_uses_the_measured_time_to_first_token)
{
    call_dispatcher decider = dispatcher();
    upstream_list fleet = bookings(1, 1);
    decider.add(call(1));
    const auto first = decider.decide(fleet, start).orders;
    cr_assert(first.size() == 1);
    (void)decider.event_received(first[0].placed, start + 60ms);
    decider.finish(first[0].placed, start + 60ms);
    waiting_call older = call(2);
    older.latency_target_at = start + 110ms;
    older.queue_timeout_at = start + 300ms;
    waiting_call newer = call(3);
    newer.latency_target_at = start + 150ms;
    decider.add(older);
    decider.add(newer);
    const auto next = decider.decide(fleet, start + 60ms).orders;
    cr_assert(next.size() == 1 && next[0].call == 3, "the older call has 50 ms left until its target");
}

// During a burst that outlasts the first refusals, clients must not be asked to retry while it lasts.
Test(call_dispatcher, retry_after_grows_with_the_length_of_a_saturation)
{
    call_dispatcher decider = dispatcher();
    upstream_list fleet = bookings(1, 1);
    decider.add(call(1));
    (void)decider.decide(fleet, start);
    std::vector<duration> retry_times;
    for (std::uint64_t id = 2; id <= 22; ++id) {
        const instant now = start + 100ms * static_cast<int>(id);
        waiting_call refused = call(id);
        refused.queue_timeout_at = now;
        refused.deadline_at = now + 10s;
        decider.add(refused);
        const auto round = decider.decide(fleet, now);
        cr_assert(round.refusals.size() == 1);
        retry_times.push_back(round.refusals[0].retry_after);
    }
    cr_assert(retry_times.front() <= 500ms);
    cr_assert(retry_times.back() >= 1600ms && retry_times.back() <= 2400ms);
}

// Guards against a fixed Retry-After for calls that are refused after an attempt or at their deadline.
Test(call_dispatcher, call_refused_after_an_attempt_returns_when_the_saturation_is_over)
{
    call_dispatcher decider = dispatcher();
    upstream_list fleet = bookings(1, 1);
    decider.add(call(1));
    (void)decider.decide(fleet, start);
    instant now = start;
    waiting_call rejected = call(100);
    rejected.deadline_at = start + 60s;
    cr_assert(decider.retry_after(fleet, rejected, now) <= 500ms, "no saturation yet");
    for (std::uint64_t id = 2; id <= 21; ++id) {
        now = start + 100ms * static_cast<int>(id);
        waiting_call queued = call(id);
        queued.queue_timeout_at = now;
        decider.add(queued);
        (void)decider.decide(fleet, now);
    }
    const duration saturated = decider.retry_after(fleet, rejected, now);
    cr_assert(saturated >= 1500ms && saturated <= 2300ms, "%lld us",
              static_cast<long long>(saturated.count()));
    rejected.deadline_at = now;
    cr_assert(decider.retry_after(fleet, rejected, now) == saturated,
              "the caller may have more time than stated");
    start_draining(fleet, "u0");
    cr_assert(decider.retry_after(fleet, rejected, now) == call_dispatcher::retry_after_no_upstream);
}

namespace {

/// Returns a long call that lost attempts at the first two engines of a failure domain.
auto long_call_after_losses_in(int domain) -> waiting_call
{
    waiting_call made = long_call(1);
    for (int i = domain; i < domain + 4; i += 3) {
        made.attempts.dispatched();
        made.attempts.ended(attempt_end::reader_lost, {"e" + std::to_string(i), "d" + std::to_string(domain)},
                            start);
    }
    return made;
}

auto domains_of(const upstream_list& fleet, const dispatch_assignment& assignment) -> std::set<std::string>
{
    std::set<std::string> domains{fleet.upstreams().at(assignment.upstream.id).entry.failure_domain};
    for (const prefill_engine& engine : assignment.prefill_engines) {
        domains.insert(engine.upstream.failure_domain);
    }
    return domains;
}

} // namespace

// All engines of a failure domain are lost. Each plan for a long prompt used prefill engines there, and each
// rejection names only one of them: after four rejections the call was refused although two thirds of the
// engines were idle.
Test(call_dispatcher, lost_domain_gets_no_prefill_part)
{
    const auto fleet = engines(3);
    auto decider = dispatcher();
    decider.add(long_call_after_losses_in(0));
    const auto round = decider.decide(fleet, start);
    cr_assert(round.orders.size() == 1);
    const std::set<std::string> others{"d1", "d2"};
    cr_assert(domains_of(fleet, round.orders.front()) == others);
}

// Losses in the only failure domain must not exclude its other engines.
Test(call_dispatcher, only_domain_is_not_avoided)
{
    const auto fleet = engines(1);
    auto decider = dispatcher();
    waiting_call lost = long_call(1);
    lost.attempts.dispatched();
    lost.attempts.ended(attempt_end::not_sent, {"e0", "d0"}, start);
    lost.attempts.ended(attempt_end::not_sent, {"e1", "d0"}, start);
    decider.add(lost);
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
}

// Calls whose prefill engines were lost were sent again as if for the first time. In an outage of a domain
// all gateways together exceeded the retry budget that they share.
Test(call_dispatcher, retry_after_a_lost_prefill_engine_uses_the_retry_budget)
{
    const auto fleet = engines(3);
    call_dispatcher decider({"d1", {0.0, 1.5, 10s}, 1});
    cr_assert(decider.retry_allowed("answers", start));
    decider.add(long_call_after_losses_in(0));
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
    cr_assert(!decider.retry_allowed("answers", start));
}

// An upstream that refuses connections receives no call, so the next attempt costs no retry.
Test(call_dispatcher, call_that_reached_no_upstream_does_not_use_the_retry_budget)
{
    const auto fleet = engines(3);
    call_dispatcher decider({"d1", {0.0, 1.5, 10s}, 1});
    waiting_call unsent = long_call(1);
    unsent.attempts.dispatched();
    unsent.attempts.ended(attempt_end::not_sent, {"e0", "d0"}, start);
    decider.add(unsent);
    cr_assert(decider.decide(fleet, start).orders.size() == 1);
    cr_assert(decider.retry_allowed("answers", start));
}
