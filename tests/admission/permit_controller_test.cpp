#include "admission/permit_controller_fixture.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::test;

Test(permit_controller, cold_upstream_gets_no_more_than_the_floor)
{
    permit_controller gate(at(0s), gate_options());
    cr_assert(granted(gate, at(0s), ask_of("g1", 500)));
    const auto second = refused(gate, at(0s), ask_of("g2", 600));
    cr_assert(second);
    cr_assert(second->code == refusal_code::upstream_cold);
    cr_assert(second->ran == ran_state::no);
    cr_assert(second->retry_after > 0us);
}

Test(permit_controller, fast_successes_at_full_load_raise_the_allowance_to_the_ceiling)
{
    permit_controller gate(at(0s), gate_options());
    const instant warm = warm_up(gate, at(0s));
    cr_assert(gate.ramp().warm());
    cr_assert(warm < at(3s));
}

Test(permit_controller, successes_at_low_load_do_not_raise_the_allowance)
{
    permit_controller gate(at(0s), gate_options());
    for (duration t = 0s; t < 100s; t += 1s) {
        const auto lease = granted(gate, at(t), ask_of("g", 100));
        cr_assert(gate.begin(at(t), *lease));
        gate.first_token(at(t + 10ms), *lease);
        gate.done(at(t + 20ms), *lease, work_outcome::success);
    }
    cr_assert(gate.load().allowed == 1'000);
}

Test(permit_controller, short_requests_keep_reserved_capacity)
{
    permit_controller gate(at(0s), gate_options());
    const instant now = warm_up(gate, at(0s));
    while (granted(gate, now, ask_of("g", 500, length_class::bulk))) {
    }
    cr_assert(refused(gate, now, ask_of("g", 500, length_class::bulk))->code == refusal_code::overloaded);
    cr_assert(granted(gate, now, ask_of("g", 1'000, length_class::interactive)));
    cr_assert(gate.load().outstanding <= gate.load().allowed);
}

Test(permit_controller, refuses_as_too_large_what_never_fits)
{
    permit_controller gate(at(0s), gate_options());
    cr_assert(gate.largest_cost(length_class::bulk) == 8'000);
    const auto rejected = refused(gate, at(0s), ask_of("g", 8'001, length_class::bulk));
    cr_assert(rejected->code == refusal_code::too_large);
    cr_assert(rejected->retry_after == 0us);
}

Test(permit_controller, warm_up_is_needed_when_only_large_requests_arrive)
{
    permit_controller gate(at(0s), gate_options());
    cr_assert(gate.warm_up_cost(at(0s)) == 0);
    cr_assert(refused(gate, at(0s), ask_of("g", 5'000, length_class::bulk)));
    const work_cost cost = gate.warm_up_cost(at(1s));
    cr_assert(cost > 0);
    cr_assert(granted(gate, at(1s), ask_of("sidecar", cost)));
    cr_assert(gate.warm_up_cost(at(1s)) == 0);
}

Test(permit_controller, refuses_beyond_max_permits)
{
    permit_controller_options options = gate_options();
    options.max_permits = 2;
    permit_controller gate(at(0s), options);
    cr_assert(granted(gate, at(0s), ask_of("g", 1)));
    cr_assert(granted(gate, at(0s), ask_of("g", 1)));
    const auto third = refused(gate, at(0s), ask_of("g", 1));
    cr_assert(third->code == refusal_code::overloaded);
    cr_assert(third->ran == ran_state::no);
}

Test(permit_controller, retry_times_are_spread)
{
    permit_controller gate(at(0s), gate_options());
    cr_assert(granted(gate, at(0s), ask_of("g", 1'000 - 50)));
    std::array<int, 10> in_slot{};
    constexpr int gateways = 400;
    for (int i = 0; i < gateways; ++i) {
        const auto rejected = refused(gate, at(0s), ask_of("gateway-" + std::to_string(i), 900));
        cr_assert(rejected->retry_after < 3s);
        ++in_slot[std::min<std::size_t>(9, static_cast<std::size_t>(rejected->retry_after / 300ms))];
    }
    for (const int count : in_slot) {
        cr_assert(count < gateways / 2);
    }
}

Test(permit_controller, over_allowance_returns_long_and_new_work_first)
{
    permit_controller gate(at(0s), gate_options());
    const instant now = warm_up(gate, at(0s));
    const auto bulk = granted(gate, now, ask_of("g", 5'000, length_class::bulk));
    const auto small = granted(gate, now, ask_of("g", 900));
    cr_assert(gate.begin(now, *bulk));
    cr_assert(gate.begin(now, *small));
    cr_assert(gate.over_allowance().empty());
    gate.report(now, {incarnation(1), true, 0, 0us});
    cr_assert(gate.over_allowance() == std::vector<lease_id>{*bulk});
}

Test(permit_controller, three_slow_first_tokens_in_a_row_are_a_cold_sign)
{
    permit_controller gate(at(0s), gate_options());
    instant now = warm_up(gate, at(0s));
    const auto answer_after = [&](duration time) {
        const auto lease = granted(gate, now, ask_of("g", 100));
        cr_assert(gate.begin(now, *lease));
        now += time;
        gate.first_token(now, *lease);
        gate.done(now, *lease, work_outcome::success);
    };
    for (int i = 0; i < 10; ++i) {
        answer_after(900ms);
        answer_after(10ms);
    }
    cr_assert(gate.ramp().warm());
    for (int i = 0; i < 3; ++i) {
        answer_after(900ms);
    }
    cr_assert(!gate.ramp().warm());
}

Test(first_token_model, learns_the_line_from_a_warm_upstream_and_classifies)
{
    first_token_model model({});
    cr_assert(model.judge(1'000, 10s) == first_token_verdict::unjudged);
    for (token_count tokens = 100; tokens <= 3'200; tokens += 100) {
        model.learn(at(0s), tokens, 10ms + duration(tokens * 20), first_token_learning::every);
    }
    cr_assert(model.trusted());
    cr_assert(std::abs(model.line().us_per_token - 20.0) < 1.0);
    cr_assert(model.judge(1'000, 30ms) == first_token_verdict::warm);
    cr_assert(model.judge(1'000, 150ms) == first_token_verdict::slow);
    cr_assert(model.judge(1'000, 400ms) == first_token_verdict::cold);
}

Test(first_token_model, warming_upstream_does_not_raise_the_line)
{
    first_token_model model({.expected = first_token_line{10ms, 20.0}});
    const first_token_line before = model.line();
    for (int i = 0; i < 1'000; ++i) {
        model.learn(at(0s), 1'000, 60ms, first_token_learning::faster_only);
    }
    cr_assert(model.line() == before);
}

Test(first_token_model, relearns_the_line_of_a_permanently_slower_upstream)
{
    first_token_model model({.expected = first_token_line{10ms, 20.0}});
    for (duration t = 0s; t <= 200s; t += 1s) {
        model.learn(at(t), 1'000, 900ms, first_token_learning::every);
    }
    cr_assert(model.judge(1'000, 900ms) == first_token_verdict::warm);
}

Test(cold_start_ramp, ignores_evidence_of_an_earlier_epoch)
{
    cold_start_ramp ramp(at(0s), {.floor = 10, .ceiling = 100});
    const std::uint64_t old = ramp.epoch();
    ramp.reset_to_floor(at(1s));
    ramp.succeeded(at(2s), {old, 10, 10, false, 1.0});
    cr_assert(ramp.allowed() == 10);
    ramp.succeeded(at(2s), {ramp.epoch(), 10, 10, false, 1.0});
    cr_assert(ramp.allowed() == 15);
}

Test(cold_start_ramp, slow_upstream_limits_the_allowance)
{
    cold_start_ramp ramp(at(0s), {.floor = 10, .ceiling = 100});
    for (int i = 1; i < 100; ++i) {
        ramp.succeeded(at(1s * i), {ramp.epoch(), ramp.allowed(), ramp.allowed(), false, 2.05});
    }
    cr_assert(ramp.allowed() == 50);
}

Test(cold_start_ramp, fragmented_load_raises_the_allowance)
{
    cold_start_ramp ramp(at(0s), {.floor = 100, .ceiling = 1'000});
    ramp.succeeded(at(1s), {ramp.epoch(), 60, 60, false, 1.0});
    cr_assert(ramp.allowed() == 100);
    ramp.succeeded(at(1s), {ramp.epoch(), 60, 60, true, 1.0});
    cr_assert(ramp.allowed() == 150);
}

Test(load_step_detector, queue_explained_by_own_work_is_no_cold_sign)
{
    load_step_detector detector({});
    detector.set_outstanding(at(0s), 10'000);
    cr_assert(!detector.report(at(5s), 2'000, 100ms));
    detector.set_outstanding(at(6s), 40'000);
    cr_assert(!detector.report(at(6s), 20'000, 100ms));
    cr_assert(!detector.report(at(7s), 90'000, 3s), "the report is older than the maximum lag");
}
