#include "dragonflymill/direct/digest_reports.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start{1h};

auto gateway() -> call_dispatcher
{
    return call_dispatcher({"a", {0.2, 10.0, 10s}, 1});
}

auto engine(std::int64_t started_ms) -> upstream_entry
{
    upstream_entry entry;
    entry.id = "engine";
    entry.service = "model";
    entry.started_ms = started_ms;
    return entry;
}

} // namespace

// Guards against digests that tell each peer of a slow engine again and again, or that never tell a new peer.
Test(digest_reports, changes_and_whole_digests_list_slowdowns)
{
    auto sender = gateway();
    digest_state before;
    set_versions(before, sender);
    sender.speeds().observe_stated(1, 4.0, start);
    digest_state after;
    set_versions(after, sender);
    cr_assert(after != before, "a digest is due");

    peer_message change;
    add_reports(change, sender, {false, 0, 0, before.slowdown_changes}, start);
    const std::vector<slowdown_report> expected = {{1, 4.0, 0ms}};
    cr_assert(change.slowdowns == expected && !change.report.is_complete);
    peer_message later;
    add_reports(later, sender, {false, 0, 0, after.slowdown_changes}, start);
    cr_assert(later.slowdowns.empty());
    peer_message whole;
    add_reports(whole, sender, {true, 0, 0, after.slowdown_changes}, start);
    cr_assert(whole.slowdowns == expected && whole.report.is_complete);
}

// Guards against crashes of which the other gateways never hear.
Test(digest_reports, changes_and_whole_digests_list_crashes)
{
    auto sender = gateway();
    digest_state before;
    set_versions(before, sender);
    sender.quarantine().evidence().record_lost_call({1, {4, 6}, 0ms, 20ms}, start);
    digest_state after;
    set_versions(after, sender);
    cr_assert(after != before, "a digest is due");
    const evidence_report expected{{{1, 1s, false, {{{4, 6}, 20ms}}}}, {}};
    peer_message change;
    add_reports(change, sender, {false, 0, 0, 0, before.evidence_changes}, start + 1s);
    cr_assert(change.evidence == expected);
    peer_message later;
    add_reports(later, sender, {false, 0, 0, 0, after.evidence_changes}, start + 1s);
    cr_assert(later.evidence.empty());
    peer_message whole;
    add_reports(whole, sender, {true, 0, 0, 0, after.evidence_changes}, start + 1s);
    cr_assert(whole.evidence == expected);
}

// Guards against an engine that is avoided although it has restarted, or on the word of a lost gateway.
Test(digest_reports, slowdowns_end_with_the_run_and_the_gateway)
{
    upstream_list fleet;
    fleet.take("k", engine(1), start);
    auto receiver = gateway();
    (void)receiver.speeds().apply_report("g1", {run_of(engine(1)), 4.0, 0ms}, start);
    receiver.tick(fleet, start);
    cr_assert(receiver.speeds().is_slow(run_of(engine(1)), start));

    fleet.take("k", engine(2), start);
    cr_assert(!receiver.speeds().is_slow(run_of(engine(2)), start));
    receiver.tick(fleet, start + call_dispatcher::speeds_expiry_interval);
    cr_assert(!receiver.speeds().newest_evidence(run_of(engine(1))));

    (void)receiver.speeds().apply_report("g1", {run_of(engine(2)), 4.0, 0ms}, start);
    receiver.remove_gateway("g1");
    cr_assert(!receiver.speeds().newest_evidence(run_of(engine(2))));
}
