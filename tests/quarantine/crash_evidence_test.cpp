#include "quarantine_fleet.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

namespace {

constexpr instant start{1h};
constexpr prompt_part bad = shared_part(7);

} // namespace

// Guards against callers who fill the memory of gateways with parts of their own.
Test(crash_evidence, is_bounded_whatever_callers_send)
{
    crash_evidence evidence;
    for (std::uint64_t number = 1; number <= 2000; ++number) {
        const instant at = start + 2ms * static_cast<int>(number);
        evidence.record_lost_call({number % 300, {shared_part(number)}}, at);
        evidence.record_answer({shared_part(number)}, at + 1ms);
    }
    cr_assert(evidence.crashes().size() <= crash_evidence::max_crashes);
    for (const upstream_crash& crash : evidence.crashes()) {
        cr_assert(crash.calls.size() <= crash_evidence::max_calls);
    }
    const evidence_report report = evidence.reports(start + 5s);
    cr_assert(report.crashes.size() <= crash_evidence::max_reported_crashes);
    cr_assert(report.cleared.size() <= crash_evidence::max_reported_cleared);
}

// Guards against a mass loss of upstreams that displaces the evidence of a quarantine.
Test(crash_evidence, what_supports_a_quarantine_is_removed_last)
{
    part_quarantine quarantine;
    for (std::uint64_t crashed = 0; crashed < 3; ++crashed) {
        quarantine.evidence().record_lost_call({10 + crashed, {bad}}, start + 1s * static_cast<int>(crashed));
    }
    quarantine.update(start + 3s);
    for (std::uint64_t lost = 0; lost < 200; ++lost) {
        quarantine.evidence().record_lost_call({100 + lost, {shared_part(100 + lost)}}, start + 4s);
    }
    quarantine.update(start + 5s);
    cr_assert(!quarantine.check({bad}, start + 3500ms).allowed);
}

// Guards against a call that was being written for long and is suspected of a crash beside it.
Test(crash_evidence, a_call_that_was_written_for_long_is_not_suspect)
{
    crash_evidence evidence;
    evidence.record_lost_call({10, {bad}, 2s}, start);
    evidence.record_lost_call({10, {}}, start);
    cr_assert(evidence.crashes().empty());
}

// Guards against reports that go round: what came from a gateway of the same cell isn't repeated, and what
// came from another cell is.
Test(crash_evidence, only_news_for_the_cell_are_reported)
{
    crash_evidence first_hand;
    first_hand.record_lost_call({10, {bad}}, start);
    const evidence_report report = first_hand.reports(start + 1s);
    cr_assert(report.crashes.size() == 1 && report.crashes[0].age == 1s);
    cr_assert(first_hand.reports(start + 1s, first_hand.version()).empty());
    crash_evidence member;
    member.apply(report, report_origin::same_cell, start + 1s);
    cr_assert(member.crashes().size() == 1 && member.reports(start + 1s).empty());
    cr_assert(member.known(start + 1s).crashes.size() == 1);
    crash_evidence contact;
    contact.apply(report, report_origin::other_cell, start + 1s);
    cr_assert(contact.reports(start + 1s) == report);
    const std::uint64_t version = contact.version();
    contact.apply(report, report_origin::other_cell, start + 2s);
    cr_assert(contact.version() == version);
}

// Guards against digests that repeat old evidence for minutes.
Test(crash_evidence, is_repeated_for_a_short_time_only)
{
    part_quarantine quarantine;
    crash_evidence& evidence = quarantine.evidence();
    evidence.record_lost_call({10, {bad}}, start);
    const instant later = start + crash_evidence::repeat_time + 1s;
    cr_assert(evidence.reports(later).empty() && evidence.known_lately(later).empty());
    cr_assert(evidence.known(later).crashes.size() == 1, "a gateway that starts gets all of it");
    evidence.record_lost_call({11, {bad}}, start + 1s);
    evidence.record_lost_call({12, {bad}}, start + 2s);
    quarantine.update(start + 3s);
    cr_assert(evidence.known_lately(later + 5s).crashes.size() == 3, "it supports a quarantine");
}

// Guards against crashes that count twice, as each gateway sees them at another time.
Test(crash_evidence, reports_of_one_crash_are_merged)
{
    crash_evidence evidence;
    evidence.record_lost_call({10, {shared_part(2)}}, start + 30ms);
    evidence.apply({{{10, 1s, false, {{{bad}, 0s}}}}, {}}, report_origin::same_cell, start + 1s);
    cr_assert(evidence.crashes().size() == 1 && evidence.crashes()[0].calls.size() == 2);
    cr_assert(evidence.crashes()[0].at == start);
    evidence.record_lost_call({10, {bad}}, start + 10s);
    cr_assert(evidence.crashes().size() == 2, "a later end of the same upstream is another crash");
}

// Guards against reports whose numbers can't be true.
Test(crash_evidence, malformed_reports_are_ignored)
{
    crash_evidence evidence;
    const prompt_parts many(crash_evidence::max_call_parts + 1, bad);
    evidence.apply({{{10, -1s, false, {{{bad}, 0s}}}, {11, 1h, false, {{{bad}, 0s}}}}, {{bad, -1s}}},
                   report_origin::same_cell, start);
    cr_assert(evidence.crashes().empty());
    evidence.apply({{{12, 1s, false, {{many, 0s}, {{}, 0s}}}}, {}}, report_origin::same_cell, start);
    cr_assert(evidence.crashes().size() == 1 && evidence.crashes()[0].calls.empty());
}

// Guards against a restarted gateway that begins without the evidence of the others.
Test(crash_evidence, a_gateway_that_starts_learns_what_the_others_know)
{
    part_quarantine knowing;
    for (std::uint64_t crashed = 0; crashed < 6; ++crashed) {
        knowing.evidence().record_lost_call({10 + crashed, sorted({bad, own_part(crashed + 1)})},
                                            start + 1s * static_cast<int>(crashed));
    }
    knowing.update(start + 6s);
    part_quarantine started;
    started.evidence().apply(knowing.evidence().known(start + 6s), report_origin::same_cell, start + 6s);
    started.update(start + 6s);
    cr_assert(!started.check({bad}, start + 6s).allowed);
}

// Guards against the end of an upstream that counts for nothing since it had been silent for a moment shortly
// before and had answered again.
Test(crash_evidence, an_end_after_signs_of_life_is_another_crash)
{
    crash_evidence evidence;
    evidence.record_lost_call({10, {own_part(1)}, 0s, 1s, call_loss::silence}, start);
    evidence.record_sign_of_life(10, start + 300ms);
    cr_assert(evidence.crashes()[0].survived);
    evidence.record_lost_call({10, {own_part(2)}, 0s, 5ms}, start + 700ms);
    cr_assert(evidence.crashes().size() == 2 && !evidence.crashes()[1].survived);
}
