#include "quarantine_fleet.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

namespace {

constexpr instant start{1h};
constexpr prompt_part first = shared_part(1);
constexpr prompt_part bad = shared_part(7);

/// Records that an upstream ended under a call.
void crash(part_quarantine& quarantine, upstream_run upstream, prompt_parts parts, instant at)
{
    quarantine.evidence().record_lost_call({upstream, sorted(std::move(parts))}, at);
}

/// Records crashes of distinct upstreams, a second apart from `at` on, under calls with the part.
void crash_repeatedly(part_quarantine& quarantine, int count, instant at)
{
    for (int crashed = 0; crashed < count; ++crashed) {
        const auto number = static_cast<std::uint64_t>(crashed);
        crash(quarantine, 10 + number, {first, bad, own_part(50 + number)}, at + 1s * crashed);
    }
}

auto allows(part_quarantine& quarantine, prompt_parts parts, instant now) -> bool
{
    quarantine.update(now);
    return quarantine.check(sorted(std::move(parts)), now).allowed;
}

} // namespace

Test(part_quarantine, a_part_of_three_crashes_is_not_sent)
{
    part_quarantine quarantine;
    crash_repeatedly(quarantine, 2, start);
    cr_assert(allows(quarantine, {first, bad, own_part(9)}, start + 1500ms));
    crash(quarantine, 12, {first, bad, own_part(52)}, start + 2s);
    quarantine.evidence().record_answer({first}, start + 2100ms);
    cr_assert(!allows(quarantine, {first, bad, own_part(9)}, start + 2200ms));
    cr_assert(allows(quarantine, {first, own_part(9)}, start + 2200ms));
    cr_assert(allows(quarantine, {}, start + 2200ms), "calls without parts are never quarantined");
}

// Guards against a sound part that is blamed as it was in all calls with the part at fault.
Test(part_quarantine, parts_that_cannot_be_told_apart_are_quarantined_together_only)
{
    part_quarantine quarantine;
    crash_repeatedly(quarantine, 3, start);
    cr_assert(!allows(quarantine, {first, bad}, start + 2100ms));
    cr_assert(allows(quarantine, {first, own_part(9)}, start + 2100ms));
    cr_assert(allows(quarantine, {bad, own_part(9)}, start + 2100ms));
    crash(quarantine, 20, {bad, own_part(9)}, start + 2200ms);
    cr_assert(!allows(quarantine, {bad, own_part(10)}, start + 2300ms));
    cr_assert(allows(quarantine, {first, own_part(9)}, start + 2300ms));
}

// Guards against a call that ends one upstream after the other on its own, repeated by its caller.
Test(part_quarantine, a_call_that_shares_no_part_is_quarantined_itself)
{
    part_quarantine quarantine;
    for (std::uint64_t crashed = 0; crashed < 3; ++crashed) {
        const instant at = start + 1s * static_cast<int>(crashed);
        crash(quarantine, 10 + crashed, {first, own_part(5)}, at);
        quarantine.evidence().record_answer({first}, at + 100ms);
    }
    cr_assert(!allows(quarantine, {first, own_part(5)}, start + 3s));
    cr_assert(allows(quarantine, {first, own_part(6)}, start + 3s));
}

// Guards against blame for upstreams that ended in the same moment, as when a failure domain is lost.
Test(part_quarantine, crashes_at_one_time_count_once)
{
    part_quarantine quarantine;
    for (std::uint64_t crashed = 0; crashed < 10; ++crashed) {
        crash(quarantine, 10 + crashed, {first, bad}, start + 5ms * static_cast<int>(crashed));
    }
    cr_assert(allows(quarantine, {first, bad}, start + 1s));
}

// Guards against blame for one faulty upstream that ends again and again.
Test(part_quarantine, crashes_of_a_single_upstream_do_not_suffice)
{
    part_quarantine quarantine;
    for (int crashed = 0; crashed < 5; ++crashed) {
        crash(quarantine, 10, {first, bad}, start + 3s * crashed);
    }
    cr_assert(allows(quarantine, {first, bad}, start + 15s));
}

// Guards against an upstream that breaks off single answers and is taken for a crashed one.
Test(part_quarantine, an_upstream_that_answers_on_has_not_crashed)
{
    part_quarantine quarantine;
    crash_repeatedly(quarantine, 3, start);
    quarantine.evidence().record_sign_of_life(10, start + 500ms);
    cr_assert(allows(quarantine, {first, bad}, start + 2100ms));
    // Bytes that were on their way don't count, nor do those of a process that was started again.
    quarantine.evidence().record_sign_of_life(11, start + 1050ms);
    quarantine.evidence().record_sign_of_life(12, start + 4s);
    crash(quarantine, 13, {first, bad}, start + 4s);
    cr_assert(!allows(quarantine, {first, bad}, start + 4100ms));
}

// Guards against sound calls that share an upstream with the calls at fault and are blamed beside them.
Test(part_quarantine, crashes_that_are_explained_blame_nobody_else)
{
    part_quarantine quarantine;
    const prompt_part neighbour = shared_part(30);
    for (std::uint64_t crashed = 0; crashed < 4; ++crashed) {
        const instant at = start + 1s * static_cast<int>(crashed);
        crash(quarantine, 10 + crashed, {first, bad, own_part(50 + crashed)}, at);
        if (crashed > 0) {
            crash(quarantine, 10 + crashed, {first, neighbour}, at + 1ms);
        }
    }
    quarantine.evidence().record_answer({first}, start + 3100ms);
    cr_assert(!allows(quarantine, {first, bad}, start + 3200ms));
    cr_assert(allows(quarantine, {first, neighbour}, start + 3200ms));
}

Test(part_quarantine, a_complete_answer_ends_it)
{
    part_quarantine quarantine;
    crash_repeatedly(quarantine, 5, start);
    cr_assert(!allows(quarantine, {first, bad}, start + 4100ms));
    quarantine.evidence().record_answer({first, bad}, start + 5s);
    cr_assert(allows(quarantine, {first, bad}, start + 5100ms));
}

// Guards against a quarantine that outlasts its evidence.
Test(part_quarantine, it_ends_with_the_age_of_its_evidence)
{
    part_quarantine quarantine;
    crash_repeatedly(quarantine, 3, start);
    quarantine.tick(start + 3s);
    quarantine.set_gateways("g1", {}, false);
    cr_assert(!allows(quarantine, {first, bad}, start + crash_evidence::max_age - 1s));
    const auto verdict = quarantine.check({first, bad}, start + crash_evidence::max_age - 1s);
    cr_assert(verdict.retry_after == 1s);
    cr_assert(allows(quarantine, {first, bad}, start + crash_evidence::max_age + 1s));
    quarantine.tick(start + crash_evidence::max_age + 3s);
    cr_assert(quarantine.quarantines().empty() && quarantine.evidence().crashes().empty());
}

// Guards against a blame that can never be found false, and against trials that cost an upstream each time.
Test(part_quarantine, single_trials_at_growing_intervals_are_allowed)
{
    part_quarantine quarantine;
    crash_repeatedly(quarantine, 3, start);
    const prompt_parts call = sorted({first, bad});
    const auto trial_at = [&](instant now) {
        quarantine.tick(now);
        return quarantine.check(call, now).is_trial;
    };
    cr_assert(!trial_at(start + 3900ms) && trial_at(start + 4s));
    quarantine.trial_sent(call, start + 4s);
    cr_assert(!trial_at(start + 4100ms), "one call at a time");
    crash(quarantine, 30, call, start + 4200ms);
    cr_assert(!trial_at(start + 34s) && trial_at(start + 35s));
    quarantine.trial_sent(call, start + 35s);
    crash(quarantine, 31, call, start + 35200ms);
    cr_assert(!trial_at(start + 5min) && trial_at(start + 336s));
}

// Guards against a trial by each gateway of the fleet.
Test(part_quarantine, one_gateway_makes_the_trials)
{
    int trials = 0;
    for (const int self : {0, 1, 2, 3}) {
        part_quarantine quarantine;
        std::vector<std::string> peers;
        for (const int other : {0, 1, 2, 3}) {
            if (other != self) {
                peers.push_back("g" + std::to_string(other));
            }
        }
        quarantine.set_gateways("g" + std::to_string(self), peers, true);
        crash_repeatedly(quarantine, 3, start);
        quarantine.tick(start + 5s);
        trials += quarantine.check(sorted({first, bad}), start + 5s).is_trial ? 1 : 0;
        quarantine.set_gateways("g" + std::to_string(self), peers, false);
        cr_assert(!quarantine.check(sorted({first, bad}), start + 5s).allowed);
    }
    cr_assert(trials == 1, "%d", trials);
}
