#include "dragonflymill/quarantine/repeated_request.h"
#include "quarantine_fleet.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

namespace {

constexpr instant start{1h};
constexpr prompt_part first = shared_part(1);
constexpr prompt_part request = own_part(5);

/// Records that an upstream ended under a call `in_flight` after it was sent.
void end(part_quarantine& quarantine, upstream_run upstream, instant at, duration in_flight,
         call_loss loss = call_loss::closed, duration writing_for = 0s)
{
    quarantine.evidence().record_lost_call({upstream, {first, request}, writing_for, in_flight, loss}, at);
}

/// Records the ends of `count` upstreams, each 10 ms after the call was sent to it, 20 ms apart.
void end_in_turn(part_quarantine& quarantine, int count, instant at = start)
{
    for (int number = 0; number < count; ++number) {
        end(quarantine, 10 + static_cast<std::uint64_t>(number), at + 20ms * number, 10ms);
    }
}

auto allows(part_quarantine& quarantine, const prompt_parts& parts, instant now) -> bool
{
    quarantine.update(now);
    return quarantine.check(sorted(parts), now).allowed;
}

} // namespace

// Guards against ends in quick succession that count as one crash, so that a request repeated at once ends
// five upstreams and more.
Test(repeated_request, three_ends_in_turn_block_it)
{
    part_quarantine quarantine;
    end_in_turn(quarantine, 2);
    cr_assert(allows(quarantine, {first, request}, start + 21ms));
    end(quarantine, 12, start + 40ms, 10ms);
    const auto verdict = quarantine.check({first, request}, start + 40ms);
    cr_assert(!verdict.allowed && verdict.is_request);
    cr_assert(verdict.retry_after >= first_block_time &&
              verdict.retry_after < first_block_time + release_spread);
}

// Guards against sound calls that are blocked since they share the first part of one request at fault.
Test(repeated_request, calls_that_share_a_part_with_it_are_sent)
{
    for (const duration apart : {20ms, 400ms}) {
        part_quarantine quarantine;
        for (int number = 0; number < 5; ++number) {
            end(quarantine, 10 + static_cast<std::uint64_t>(number), start + apart * number, 10ms);
        }
        const instant now = start + apart * 5 + part_quarantine::update_interval;
        cr_assert(!allows(quarantine, {first, request}, now));
        cr_assert(allows(quarantine, {first, own_part(6)}, now));
    }
}

// Guards against a part at fault that hides behind the request that was repeated first.
Test(repeated_request, a_part_at_fault_is_blamed_with_the_next_request)
{
    part_quarantine quarantine;
    for (int number = 0; number < 3; ++number) {
        end(quarantine, 10 + static_cast<std::uint64_t>(number), start + 400ms * number, 10ms);
    }
    cr_assert(allows(quarantine, {first, own_part(6)}, start + 1s));
    quarantine.evidence().record_lost_call({20, {first, own_part(6)}}, start + 1200ms);
    cr_assert(!allows(quarantine, {first, own_part(7)}, start + 1300ms));
}

// Guards against a popular request that is blocked since a rack is lost under several calls of it.
Test(repeated_request, calls_in_flight_at_the_same_time_count_once)
{
    part_quarantine quarantine;
    for (int number = 0; number < 8; ++number) {
        end(quarantine, 10 + static_cast<std::uint64_t>(number), start + 30ms * number, 300ms);
    }
    cr_assert(allows(quarantine, {first, request}, start + 300ms));
}

/// Records the ends of `count` upstreams, one of them under the request, `rounds` times; returns how often
/// the request was allowed before.
auto lose_together(int count, int rounds) -> int
{
    part_quarantine quarantine;
    int allowed = 0;
    for (int round = 0; round < rounds; ++round) {
        const instant at = start + 1s * round;
        const auto begin = 100 * static_cast<std::uint64_t>(round + 1);
        allowed += allows(quarantine, {first, request}, at) ? 1 : 0;
        end(quarantine, begin, at, 300ms);
        for (int other = 1; other < count; ++other) {
            const std::uint64_t number = begin + static_cast<std::uint64_t>(other);
            quarantine.evidence().record_lost_call({number, {own_part(number)}}, at + 5ms);
        }
    }
    return allowed;
}

// Guards against a sound request that is blocked since racks are lost one after the other, and against a
// request at fault that goes on while other upstreams end by chance, or is never blocked.
Test(repeated_request, ends_together_with_several_upstreams_count_less)
{
    cr_assert(lose_together(1, 9) == max_ends && lose_together(2, 9) == max_ends);
    cr_assert(lose_together(min_common_losses, 9) == max_shared_ends);
}

// Guards against a request at fault that goes on since another one ends upstreams in turn at the same time.
Test(repeated_request, ends_in_turn_under_another_request_are_no_common_loss)
{
    part_quarantine quarantine;
    end_in_turn(quarantine, 3);
    for (std::uint64_t number = 0; number < 4; ++number) {
        const instant at = start + 10ms * static_cast<int>(number);
        quarantine.evidence().record_lost_call({50 + number, {own_part(60)}, 0s, 5ms}, at);
    }
    cr_assert(!allows(quarantine, {first, request}, start + 100ms));
    cr_assert(!allows(quarantine, {own_part(60)}, start + 100ms));
}

// Guards against blame for a single upstream that is faulty itself.
Test(repeated_request, an_upstream_that_ends_again_counts_once)
{
    part_quarantine quarantine;
    for (int number = 0; number < 6; ++number) {
        end(quarantine, 10 + static_cast<std::uint64_t>(number) % 2, start + 2s * number, 10ms);
    }
    cr_assert(allows(quarantine, {first, request}, start + 11s));
}

// Guards against a request under which upstreams end long after its first event, or fall silent, and that is
// never blocked as neither says anything about its parts.
Test(repeated_request, late_ends_and_silence_count_against_it_only)
{
    for (const call_loss loss : {call_loss::closed, call_loss::silence}) {
        part_quarantine quarantine;
        for (int number = 0; number < 3; ++number) {
            end(quarantine, 10 + static_cast<std::uint64_t>(number), start + 2s * number, 1500ms, loss,
                1200ms);
        }
        cr_assert(!allows(quarantine, {first, request}, start + 5s));
        cr_assert(allows(quarantine, {first, own_part(6)}, start + 5s));
        cr_assert(quarantine.quarantines().empty());
    }
}

// Guards against a long stream that is blocked since it outlived several upstreams.
Test(repeated_request, ends_of_long_streams_do_not_count)
{
    part_quarantine quarantine;
    for (int number = 0; number < 5; ++number) {
        end(quarantine, 10 + static_cast<std::uint64_t>(number), start + 20s * number, 19s, call_loss::closed,
            18s);
    }
    cr_assert(allows(quarantine, {first, request}, start + 81s));
}

// Guards against a blame that outlasts the proof that the request is sound.
Test(repeated_request, an_answer_or_an_upstream_that_goes_on_ends_the_block)
{
    part_quarantine quarantine;
    end_in_turn(quarantine, 3);
    cr_assert(!allows(quarantine, {first, request}, start + 100ms));
    quarantine.evidence().record_sign_of_life(11, start + 320ms);
    cr_assert(allows(quarantine, {first, request}, start + 320ms));
    end_in_turn(quarantine, 3, start + 10s);
    cr_assert(!allows(quarantine, {first, request}, start + 11s));
    quarantine.evidence().record_answer({first, request}, start + 12s);
    cr_assert(allows(quarantine, {first, request}, start + 12s));
}

// Guards against a blame without end, and against one that ends at all gateways in the same moment.
Test(repeated_request, is_released_at_growing_intervals_and_not_by_all_gateways_at_once)
{
    constexpr prompt_part any = own_part(9);
    const auto released_after = [](int count, const char* gateway) {
        return request_blocked_until({count, count, start}, any, gateway).value() - start;
    };
    cr_assert(!request_blocked_until({max_ends - 1, max_ends - 1, start}, any, "g1"));
    cr_assert(released_after(3, "g1") >= first_block_time);
    cr_assert(released_after(4, "g1") >= second_block_time);
    cr_assert(released_after(5, "g1") >= later_block_time &&
              released_after(9, "g1") < later_block_time + 31s);
    cr_assert(released_after(3, "g1") != released_after(3, "g2"));
}

// Guards against a gateway to which the caller comes back, and which lost none of the upstreams itself.
Test(repeated_request, is_blocked_by_the_ends_that_other_gateways_report)
{
    part_quarantine one;
    part_quarantine other;
    end_in_turn(one, 2);
    other.evidence().apply(one.evidence().reports(start + 25ms), report_origin::same_cell, start + 26ms);
    cr_assert(allows(other, {first, request}, start + 30ms));
    end(other, 30, start + 40ms, 10ms);
    cr_assert(!allows(other, {first, request}, start + 40ms));
}

// Guards against a prompt that ends the engines which prefill parts of it, and against blame for engines that
// were lost before.
Test(repeated_request, lost_prefill_engines_count_if_they_crashed_meanwhile)
{
    part_quarantine quarantine;
    for (std::uint64_t number = 0; number < 3; ++number) {
        const instant sent_at = start + 3s * static_cast<int>(number);
        quarantine.evidence().record_lost_call({10 + number, {own_part(70 + number)}}, sent_at + 100ms);
        quarantine.evidence().record_lost_prefill(10 + number, {first, request}, sent_at + 200ms);
        cr_assert(allows(quarantine, {first, request}, sent_at + 300ms), "crashed before");
        quarantine.evidence().record_lost_prefill(10 + number, {first, request}, sent_at);
    }
    cr_assert(!allows(quarantine, {first, request}, start + 8s));
}
