#include "dragonflymill/lease/lease_table.h"
#include "dragonflymill/lease/own_lease.h"

#include "support/fault_cell.h"
#include "support/virtual_time.h"

using namespace dragonflymill;
using dragonflymill::test::at;

namespace {

auto stream(const std::string& id) -> holding
{
    return {{false, id}, holding_kind::stream, 100};
}

auto span(const std::string& id) -> holding
{
    return {{true, id}, holding_kind::exported_span, 1'000};
}

const process_id gateway("g1");

/// Ticks every 100 ms and collects the actions.
auto ticks(lease_table& table, duration from, duration to) -> lease_actions
{
    lease_actions all;
    for (duration t = from; t < to; t += 100ms) {
        const lease_actions actions = table.tick(at(t));
        all.cancels.insert(all.cancels.end(), actions.cancels.begin(), actions.cancels.end());
        all.ended.insert(all.ended.end(), actions.ended.begin(), actions.ended.end());
    }
    return all;
}

} // namespace

Test(lease_table, holds_renews_releases_and_confirms)
{
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    cr_assert(table.tokens() == 100);
    cr_assert(table.renew(at(4s), lease.lease));
    cr_assert(table.hold(at(4s), gateway, stream("r1")).value().lease == lease.lease);
    table.release(at(5s), lease.lease);
    cr_assert(!table.renew(at(5s), lease.lease));
    const std::vector<cancel_request> one_cancel{{{false, "r1"}, 1}};
    cr_assert(table.tick(at(5s)).cancels == one_cancel);
    cr_assert(table.cancelling() == 1);
    table.confirmed({false, "r1"});
    cr_assert(table.cancelling() == 0 && table.owned() == 0 && table.tokens() == 0);
}

Test(lease_table, refuses_another_owner)
{
    lease_table table({}, 1);
    cr_assert(table.hold(at(0s), gateway, stream("r1")));
    cr_assert(table.hold(at(0s), process_id("g2"), stream("r1")).error().kind() == error_kind::conflict);
}

Test(lease_table, refuses_beyond_max_holdings)
{
    lease_table table({.max_holdings = 1}, 1);
    cr_assert(table.hold(at(0s), gateway, stream("r1")));
    cr_assert(table.hold(at(0s), gateway, stream("r2")).error().kind() == error_kind::limit_reached);
    cr_assert(!table.knows({false, "r2"}));
}

Test(lease_table, tick_returns_a_bounded_number_of_cancels)
{
    lease_table table({.max_cancels = 3}, 1);
    for (int i = 0; i < 10; ++i) {
        cr_assert(table.hold(at(0s), gateway, stream(std::to_string(i))));
    }
    table.owner_gone(at(1s), gateway);
    cr_assert(table.tick(at(1s)).cancels.size() == 3);
    cr_assert(table.tick(at(1s)).cancels.size() == 3);
}

Test(lease_table, same_inputs_same_actions)
{
    for (std::uint64_t seed = 1; seed < 5; ++seed) {
        lease_table one({}, seed);
        lease_table other({}, seed);
        cr_assert(one.hold(at(0s), gateway, stream("r1")) && other.hold(at(0s), gateway, stream("r1")));
        cr_assert(ticks(one, 0s, 60s) == ticks(other, 0s, 60s));
    }
}

Test(own_lease, needs_both_confirmations_after_the_wait_for_the_predecessor)
{
    own_lease lease(at(0s), {.self = incarnation(2)});
    cr_assert(!lease.live(at(5s)));
    lease.confirmed(at(1s), incarnation(2));
    lease.bundle_confirmed(at(1s));
    cr_assert(!lease.live(at(2s)), "the predecessor may still act");
    lease.confirmed(at(4s), incarnation(2));
    cr_assert(lease.live(at(5s)));
    cr_assert(!lease.live(at(7s)));
    lease.confirmed(at(11s), incarnation(2));
    cr_assert(!lease.live(at(12'500ms)), "the bundle confirmation has expired");
}

FAULT_CELL(request_cancel, message_lost)
{
    // Guards against a memory leak at the engine when cancels are lost again and again. The cancel is
    // repeated with backoff until the engine confirms it.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    table.release(at(0s), lease.lease);
    const std::size_t first_minute = ticks(table, 0s, 60s).cancels.size();
    cr_assert(first_minute > 10 && first_minute < 60);
    cr_assert(!ticks(table, 600s, 610s).cancels.empty(), "the cancel is no longer repeated");
    table.confirmed({false, "r1"});
    cr_assert(ticks(table, 610s, 640s).cancels.empty());
}

FAULT_CELL(request_cancel, message_doubled)
{
    // Guards against a leak by a duplicated confirmation that arrives when the name is in use again. The copy
    // ends the new lease early, but the engine's inventory restores the holding.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    table.release(at(0s), lease.lease);
    table.confirmed({false, "r1"});
    cr_assert(table.hold(at(1s), gateway, stream("r1")));
    table.confirmed({false, "r1"});
    table.reconcile(at(2s), {at(2s), incarnation(1), {stream("r1")}});
    cr_assert(table.knows({false, "r1"}));
    cr_assert(!ticks(table, 2s, 20s).cancels.empty());
}

FAULT_CELL(request_cancel, message_reordered)
{
    // Guards against a stream without an owner. The cancel overtakes the request on the way to the engine,
    // which confirms that it holds nothing; then the request arrives. The next inventory lists it and it is
    // cancelled.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    table.release(at(10ms), lease.lease);
    table.confirmed({false, "r1"});
    table.reconcile(at(2s), {at(2s), incarnation(1), {stream("r1")}});
    const auto actions = ticks(table, 2s, 13s);
    cr_assert(!actions.cancels.empty(), "a stream without an owner has to be cancelled");
    cr_assert(actions.ended.at(0).why == lease_end::not_claimed);
}

FAULT_CELL(request_cancel, process_dies)
{
    // Guards against cancels that are lost with the sidecar. Its successor finds the holdings at the engine,
    // waits for their owners to claim them, and cancels the rest.
    lease_table successor({}, 1);
    successor.reconcile(at(0s), {at(0s), incarnation(1), {stream("orphan"), span("kept")}});
    cr_assert(ticks(successor, 0s, 5s).cancels.empty());
    const holding_lease kept = successor.hold(at(5s), gateway, span("kept")).value();
    cr_assert(ticks(successor, 5s, 9'900ms).cancels.empty());
    cr_assert(successor.renew(at(9'900ms), kept.lease));
    const auto actions = ticks(successor, 9'900ms, 14s);
    cr_assert(!actions.cancels.empty());
    for (const cancel_request& cancel : actions.cancels) {
        cr_assert(cancel.what.id == "orphan", "a claimed holding was cancelled");
    }
}

FAULT_CELL(request_stream, process_dies)
{
    // Guards against a memory leak when a gateway dies during a stream: the lease expires and the stream is
    // cancelled.
    lease_table table({}, 1);
    cr_assert(table.hold(at(0s), gateway, stream("r1")));
    const auto actions = ticks(table, 0s, 6s);
    cr_assert(actions.ended.size() == 1, "the lease did not expire");
    cr_assert(actions.ended[0].why == lease_end::not_renewed);
    cr_assert(!actions.cancels.empty());
}

FAULT_CELL(request_stream, paused_wakes_late)
{
    // Guards against reviving an expired lease. A gateway is paused for a minute and then renews it; the
    // renewal fails and the gateway has to restart its request.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    cr_assert(ticks(table, 0s, 60s).ended.size() == 1);
    cr_assert(!table.renew(at(60s), lease.lease));
    cr_assert(table.hold(at(60s), gateway, stream("r1")).error().kind() == error_kind::conflict);
}

FAULT_CELL_MORE(request_stream, paused_wakes_late, the_sidecar_itself)
{
    // Guards against cancelling a healthy stream after the sidecar was paused for a minute: the renewals are
    // still in its socket buffers.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    cr_assert(table.tick(at(1s)).ended.empty());
    cr_assert(table.tick(at(60s)).ended.empty());
    cr_assert(table.renew(at(60s), lease.lease));
}

FAULT_CELL(request_stream, upstream_cold)
{
    // Guards against cancels to a restarted engine, which holds nothing, and against owners that learn of the
    // loss only when their leases expire.
    lease_table table({}, 1);
    table.reconcile(at(0s), {at(0s), incarnation(1), {}});
    cr_assert(table.hold(at(1s), gateway, stream("r1")));
    table.reconcile(at(2s), {at(2s), incarnation(2), {}});
    const auto actions = table.tick(at(2s));
    cr_assert(actions.cancels.empty());
    cr_assert(actions.ended.at(0).why == lease_end::engine_started);
    cr_assert(table.owned() == 0);
}

FAULT_CELL(request_stream, message_late)
{
    // Guards against an old inventory that arrives after a newer one and after the engine's restart: it must
    // not drop the present holdings.
    lease_table table({}, 1);
    table.reconcile(at(5s), {at(5s), incarnation(2), {}});
    cr_assert(table.hold(at(5s), gateway, stream("r1")));
    table.reconcile(at(6s), {at(4s), incarnation(1), {}});
    cr_assert(table.knows({false, "r1"}));
}

FAULT_CELL(request_stream, message_lost)
{
    // Guards against a lease that stays after the stream's end was lost between engine and sidecar. The
    // inventory no longer lists the stream, so the lease ends and its owner is notified.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, stream("r1")).value();
    cr_assert(table.renew(at(4s), lease.lease));
    table.reconcile(at(4s), {at(4s), incarnation(1), {}});
    cr_assert(table.knows({false, "r1"}), "it may still be on its way to the engine");
    cr_assert(table.renew(at(8s), lease.lease));
    table.reconcile(at(8s), {at(8s), incarnation(1), {}});
    cr_assert(!table.knows({false, "r1"}));
    cr_assert(table.tick(at(8s)).ended.at(0).why == lease_end::engine_dropped);
}

FAULT_CELL(request_resume, process_dies)
{
    // Guards against cancelling a stream when the sidecar is replaced. The gateway claims the stream at the
    // successor: it is resumed, and no other owner can claim it.
    lease_table successor({}, 1);
    successor.reconcile(at(0s), {at(0s), incarnation(1), {stream("r1")}});
    cr_assert(successor.hold(at(3s), gateway, stream("r1")));
    cr_assert(!successor.hold(at(4s), process_id("g2"), stream("r1")));
    cr_assert(ticks(successor, 0s, 7s).cancels.empty());
}

FAULT_CELL(gang_release, process_dies)
{
    // Guards against gang shares that stay reserved until they expire although their gateway is known to be
    // dead.
    lease_table table({}, 1);
    cr_assert(table.hold(at(0s), gateway, {{true, "share-1"}, holding_kind::gang_share, 200'000}));
    cr_assert(table.hold(at(0s), process_id("g2"), span("other")));
    table.owner_gone(at(1s), gateway);
    const auto actions = table.tick(at(1s));
    cr_assert(actions.cancels.size() == 1 && actions.cancels[0].what.id == "share-1");
    cr_assert(table.owned() == 1);
}

FAULT_CELL(gang_release, message_lost)
{
    // Guards against a memory leak when the release of a gang's span is lost on the way to the engine,
    // 200,000 tokens of memory. The release is repeated until it is confirmed.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, span("span-1")).value();
    table.release(at(0s), lease.lease);
    cr_assert(ticks(table, 0s, 3s).cancels.size() > 2);
    cr_assert(table.cancelling() == 1);
}

FAULT_CELL(gang_release, two_faults)
{
    // Guards against a leaked span when the gateway dies and the sidecar is replaced before it can release
    // the span. The successor finds the span, waits for a claim that never comes, and releases it.
    lease_table successor({}, 1);
    successor.reconcile(at(0s), {at(0s), incarnation(1), {span("span-1")}});
    successor.owner_gone(at(1s), gateway);
    cr_assert(!ticks(successor, 0s, 11s).cancels.empty());
}

FAULT_CELL(request_cancel, upstream_cold)
{
    // Guards against sending cancels for an earlier start of the engine to its new start.
    lease_table table({}, 1);
    table.reconcile(at(0s), {at(0s), incarnation(1), {}});
    table.release(at(1s), table.hold(at(0s), gateway, stream("r1")).value().lease);
    table.reconcile(at(2s), {at(2s), incarnation(2), {}});
    cr_assert(table.cancelling() == 0);
    cr_assert(ticks(table, 2s, 10s).cancels.empty());
}

FAULT_CELL(request_cancel, paused_wakes_late)
{
    // Guards against a pending cancel that is dropped when the sidecar is paused.
    lease_table table({}, 1);
    table.release(at(0s), table.hold(at(0s), gateway, stream("r1")).value().lease);
    cr_assert(table.tick(at(0s)).cancels.size() == 1);
    cr_assert(table.tick(at(600s)).cancels.size() == 1);
}

FAULT_CELL(gang_release, paused_wakes_late)
{
    // Guards against reviving a gang share that expired while its gateway was paused: the rest of the gang is
    // lost as well.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, span("share")).value();
    cr_assert(!ticks(table, 0s, 10s).cancels.empty());
    cr_assert(!table.renew(at(10s), lease.lease));
}

FAULT_CELL(gang_release, message_doubled)
{
    // Guards against two cancels for a release that arrives twice: one cancel stays pending with its own
    // backoff.
    lease_table table({}, 1);
    const holding_lease lease = table.hold(at(0s), gateway, span("share")).value();
    table.release(at(0s), lease.lease);
    cr_assert(table.tick(at(0s)).cancels.size() == 1);
    table.release(at(10ms), lease.lease);
    cr_assert(table.tick(at(10ms)).cancels.empty());
    cr_assert(table.cancelling() == 1);
}
