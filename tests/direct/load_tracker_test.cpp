#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/load_tracker.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);

auto long_call() -> placement
{
    return {"decode", {{"prefill", 0}, {"reserved", 700}}, true, 500, 200ms, 800ms};
}

} // namespace

Test(load_tracker, call_counts_at_its_upstream_until_it_ends)
{
    load_tracker tracker;
    const placement_id id = tracker.place({"u1", {}, false, 5000, 20ms, 200ms}, now);
    const upstream_load during = tracker.load_of("u1", now);
    cr_assert(during.short_calls == 1 && during.memory_tokens == 5000);
    cr_assert(during.pending_prefill == duration(20ms) && during.tightest_tbt_target == duration(200ms));
    cr_assert(tracker.own_calls("u1") == 1);
    tracker.finish(id, now);
    cr_assert(tracker.load_of("u1", now) == upstream_load{});
    cr_assert(tracker.own_calls("u1") == 0);
}

// Long prompts waited although engines were idle: each engine with a prefill part counted as busy until the
// answer had ended, seconds after its part was done.
Test(load_tracker, prefill_engines_are_free_once_the_prefill_is_done)
{
    load_tracker tracker;
    const placement_id id = tracker.place(long_call(), now);
    cr_assert(tracker.load_of("prefill", now).parts == 1);
    cr_assert(tracker.load_of("decode", now).unread_calls == 1);
    tracker.prefill_done(id, now + 200ms);
    cr_assert(tracker.load_of("prefill", now + 200ms) == upstream_load{});
    cr_assert(tracker.load_of("reserved", now + 200ms).memory_tokens == 700,
              "reserved memory stays until the end");
    cr_assert(tracker.load_of("decode", now + 200ms).unread_calls == 0);
    cr_assert(tracker.load_of("decode", now + 200ms).long_calls == 1);
    tracker.finish(id, now + 1s);
    cr_assert(tracker.load_of("reserved", now + 1s) == upstream_load{});
}

Test(load_tracker, pending_prefill_decreases_with_time_but_not_to_zero)
{
    load_tracker tracker;
    (void)tracker.place({"u1", {}, true, 0, 1s, 800ms}, now);
    cr_assert(tracker.load_of("u1", now + 400ms).pending_prefill == duration(600ms));
    cr_assert(tracker.load_of("u1", now + 5s).pending_prefill == duration(600ms),
              "the engine is behind the forecast");
}

Test(load_tracker, tightest_tbt_target_is_that_of_the_calls_in_flight)
{
    load_tracker tracker;
    (void)tracker.place({"u1", {}, true, 0, 0ms, 800ms}, now);
    const placement_id tight = tracker.place({"u1", {}, false, 0, 0ms, 200ms}, now);
    cr_assert(tracker.load_of("u1", now).tightest_tbt_target == duration(200ms));
    tracker.finish(tight, now);
    cr_assert(tracker.load_of("u1", now).tightest_tbt_target == duration(800ms));
}

Test(load_tracker, load_of_other_gateways_counts_until_they_are_removed)
{
    load_tracker tracker;
    load_report report{"other", 1, true, {}};
    report.loads[stable_hash("u1")] = upstream_load{3, 1, 0, 2, 900, 50ms, 0, 500ms};
    tracker.apply_report(report, now);
    (void)tracker.place({"u1", {}, false, 100, 0ms, 0ms}, now);
    const upstream_load sum = tracker.load_of("u1", now);
    cr_assert(sum.short_calls == 4 && sum.long_calls == 1 && sum.parts == 2 && sum.memory_tokens == 1000);
    cr_assert(tracker.load_of("u1", now + 20ms).pending_prefill == duration(30ms));
    tracker.remove_gateway("other");
    cr_assert(tracker.load_of("u1", now).short_calls == 1);
}

// Datagrams arrive out of order: an older report that arrives last must not restore calls that have ended.
Test(load_tracker, ignores_an_outdated_report)
{
    load_tracker tracker;
    load_report newer{"other", 5, true, {}};
    load_report older{"other", 4, true, {{stable_hash("u1"), upstream_load{9, 0, 0, 0, 0, 0ms, 0, 0ms}}}};
    tracker.apply_report(newer, now);
    tracker.apply_report(older, now);
    cr_assert(tracker.load_of("u1", now).short_calls == 0);
}

Test(load_tracker, incremental_report_keeps_unlisted_upstreams)
{
    load_tracker reporter;
    const placement_id first = reporter.place({"u1", {}, false, 0, 0ms, 0ms}, now);
    load_tracker tracker;
    tracker.apply_report({"other", 1, true, reporter.own_loads(now)}, now);
    const std::uint64_t reported_version = reporter.own_version();
    (void)reporter.place({"u2", {}, false, 0, 0ms, 0ms}, now);
    const auto changes = reporter.own_loads(now, reported_version);
    cr_assert(changes.size() == 1, "only the upstream that changed is reported");
    tracker.apply_report({"other", 2, false, changes}, now);
    cr_assert(tracker.load_of("u1", now).short_calls == 1);
    cr_assert(tracker.load_of("u2", now).short_calls == 1);
    reporter.finish(first, now);
    tracker.apply_report({"other", 3, false, reporter.own_loads(now, reported_version)}, now);
    cr_assert(tracker.load_of("u1", now).short_calls == 0, "a load that became zero is reported as a change");
}

Test(load_tracker, reports_a_suspect_upstream)
{
    load_tracker reporter;
    reporter.set_suspect("u1", true);
    load_tracker tracker;
    tracker.apply_report({"other", 1, true, reporter.own_loads(now)}, now);
    cr_assert(tracker.load_of("u1", now).suspected_by == 1);
    const std::uint64_t reported_version = reporter.own_version();
    reporter.set_suspect("u1", true);
    cr_assert(reporter.own_version() == reported_version, "an unchanged suspicion is no change");
}

// A gateway reports that its calls at an upstream ended, then that it has others, then it stops. Load that it
// no longer has must not keep other gateways away from the upstream.
Test(load_tracker, removes_load_that_a_gateway_no_longer_reports)
{
    load_tracker tracker;
    const auto report_of = [](std::uint64_t sequence, bool is_complete, int first, int second) {
        load_report report{"g1", sequence, is_complete, {}};
        report.loads[stable_hash("u1")].short_calls = first;
        report.loads[stable_hash("u2")].short_calls = second;
        return report;
    };
    tracker.apply_report(report_of(1, true, 3, 4), instant(1s));
    tracker.apply_report(report_of(2, false, 0, 5), instant(1s));
    cr_assert(tracker.load_of("u1", instant(1s)) == upstream_load{});
    cr_assert(tracker.load_of("u2", instant(1s)).short_calls == 5);
    load_report only_first{"g1", 3, true, {}};
    only_first.loads[stable_hash("u1")].short_calls = 2;
    tracker.apply_report(only_first, instant(1s));
    cr_assert(tracker.load_of("u2", instant(1s)) == upstream_load{});
    tracker.remove_gateway("g1");
    cr_assert(tracker.load_of("u1", instant(1s)) == upstream_load{});
    tracker.apply_report(report_of(1, true, 7, 0), instant(1s));
    cr_assert(tracker.load_of("u1", instant(1s)).short_calls == 7,
              "a restarted gateway numbers its reports from 1 again");
}
