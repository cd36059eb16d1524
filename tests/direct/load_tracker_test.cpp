#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/load_tracker.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);

auto long_call() -> placement
{
    return {"first", {{"helper", 0}, {"holder", 700}}, true, 500, 200ms, 800ms};
}

} // namespace

Test(load_tracker, a_call_counts_where_it_runs_until_it_ends)
{
    load_tracker board;
    const placement_id id = board.place({"u1", {}, false, 5000, 20ms, 200ms}, now);
    const upstream_load during = board.load_of("u1", now);
    cr_assert(during.short_calls == 1 && during.memory_tokens == 5000);
    cr_assert(during.pending_prefill == duration(20ms) && during.tightest_tbt_target == duration(200ms));
    cr_assert(board.own_calls("u1") == 1);
    board.finish(id, now);
    cr_assert(board.load_of("u1", now) == upstream_load{});
    cr_assert(board.own_calls("u1") == 0);
}

// Long prompts wait although engines are idle: each engine that had read a part of a prompt was counted as
// helping until that prompt's answer had ended, seconds after its reading was done.
Test(load_tracker, helpers_are_free_once_the_prompt_is_read)
{
    load_tracker board;
    const placement_id id = board.place(long_call(), now);
    cr_assert(board.load_of("helper", now).parts == 1);
    cr_assert(board.load_of("first", now).unread_calls == 1);
    board.reading_done(id, now + 200ms);
    cr_assert(board.load_of("helper", now + 200ms) == upstream_load{});
    cr_assert(board.load_of("holder", now + 200ms).memory_tokens == 700,
              "reserved memory stays until the end");
    cr_assert(board.load_of("first", now + 200ms).unread_calls == 0);
    cr_assert(board.load_of("first", now + 200ms).long_calls == 1);
    board.finish(id, now + 1s);
    cr_assert(board.load_of("holder", now + 1s) == upstream_load{});
}

Test(load_tracker, reading_shrinks_with_time_but_not_to_nothing_before_it_is_done)
{
    load_tracker board;
    (void)board.place({"u1", {}, true, 0, 1s, 800ms}, now);
    cr_assert(board.load_of("u1", now + 400ms).pending_prefill == duration(600ms));
    cr_assert(board.load_of("u1", now + 5s).pending_prefill == duration(600ms),
              "the engine is behind the forecast");
}

Test(load_tracker, the_tightest_pause_is_that_of_the_calls_in_hand)
{
    load_tracker board;
    (void)board.place({"u1", {}, true, 0, 0ms, 800ms}, now);
    const placement_id tight = board.place({"u1", {}, false, 0, 0ms, 200ms}, now);
    cr_assert(board.load_of("u1", now).tightest_tbt_target == duration(200ms));
    board.finish(tight, now);
    cr_assert(board.load_of("u1", now).tightest_tbt_target == duration(800ms));
}

Test(load_tracker, other_gateways_count_until_they_are_forgotten)
{
    load_tracker board;
    load_report report{"other", 1, true, {}};
    report.loads[stable_hash("u1")] = upstream_load{3, 1, 0, 2, 900, 50ms, 0, 500ms};
    board.apply_report(report, now);
    (void)board.place({"u1", {}, false, 100, 0ms, 0ms}, now);
    const upstream_load sum = board.load_of("u1", now);
    cr_assert(sum.short_calls == 4 && sum.long_calls == 1 && sum.parts == 2 && sum.memory_tokens == 1000);
    cr_assert(board.load_of("u1", now + 20ms).pending_prefill == duration(30ms));
    board.remove_gateway("other");
    cr_assert(board.load_of("u1", now).short_calls == 1);
}

// Datagrams overtake each other: an older report that arrives last must not bring back calls that have ended.
Test(load_tracker, a_report_that_was_overtaken_is_left_out)
{
    load_tracker board;
    load_report newer{"other", 5, true, {}};
    load_report older{"other", 4, true, {{stable_hash("u1"), upstream_load{9, 0, 0, 0, 0, 0ms, 0, 0ms}}}};
    board.apply_report(newer, now);
    board.apply_report(older, now);
    cr_assert(board.load_of("u1", now).short_calls == 0);
}

Test(load_tracker, a_report_of_changes_keeps_what_it_does_not_name)
{
    load_tracker teller;
    const placement_id first = teller.place({"u1", {}, false, 0, 0ms, 0ms}, now);
    load_tracker board;
    board.apply_report({"other", 1, true, teller.own_loads(now)}, now);
    const std::uint64_t told = teller.own_version();
    (void)teller.place({"u2", {}, false, 0, 0ms, 0ms}, now);
    const auto changes = teller.own_loads(now, told);
    cr_assert(changes.size() == 1, "only the upstream that changed is reported");
    board.apply_report({"other", 2, false, changes}, now);
    cr_assert(board.load_of("u1", now).short_calls == 1);
    cr_assert(board.load_of("u2", now).short_calls == 1);
    teller.finish(first, now);
    board.apply_report({"other", 3, false, teller.own_loads(now, told)}, now);
    cr_assert(board.load_of("u1", now).short_calls == 0, "that nothing is left is a change too");
}

Test(load_tracker, a_faulty_upstream_is_reported)
{
    load_tracker teller;
    teller.set_suspect("u1", true);
    load_tracker board;
    board.apply_report({"other", 1, true, teller.own_loads(now)}, now);
    cr_assert(board.load_of("u1", now).suspected_by == 1);
    const std::uint64_t told = teller.own_version();
    teller.set_suspect("u1", true);
    cr_assert(teller.own_version() == told, "no news is no change");
}

// A gateway tells that its calls at an upstream are over, then that it has others, then it is gone. Work that
// it no longer has must not keep other gateways away from the upstream.
Test(load_tracker, what_a_gateway_no_longer_has_is_forgotten)
{
    load_tracker board;
    const auto report_of = [](std::uint64_t sequence, bool whole, int first, int second) {
        load_report report{"g1", sequence, whole, {}};
        report.loads[stable_hash("u1")].short_calls = first;
        report.loads[stable_hash("u2")].short_calls = second;
        return report;
    };
    board.apply_report(report_of(1, true, 3, 4), instant(1s));
    board.apply_report(report_of(2, false, 0, 5), instant(1s));
    cr_assert(board.load_of("u1", instant(1s)) == upstream_load{});
    cr_assert(board.load_of("u2", instant(1s)).short_calls == 5);
    load_report only_first{"g1", 3, true, {}};
    only_first.loads[stable_hash("u1")].short_calls = 2;
    board.apply_report(only_first, instant(1s));
    cr_assert(board.load_of("u2", instant(1s)) == upstream_load{});
    board.remove_gateway("g1");
    cr_assert(board.load_of("u1", instant(1s)) == upstream_load{});
    board.apply_report(report_of(1, true, 7, 0), instant(1s));
    cr_assert(board.load_of("u1", instant(1s)).short_calls == 7, "a new start counts its reports anew");
}
