#include "admission/permit_controller_fixture.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr work_cost whole_floor = 900;

} // namespace

FAULT_CELL(request_permit, process_dies)
{
    // Guards against capacity that is lost for good when a gateway dies between the grant and the use of a
    // permit. The permit expires and its capacity is free again.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("dead", whole_floor));
    cr_assert(refused(gate, at(1s), ask_of("g", whole_floor)));
    cr_assert(granted(gate, at(4s), ask_of("g", whole_floor)), "the dead gateway's permit has not expired");
    const auto ended = gate.tick(at(4s));
    cr_assert(ended.size() == 1);
    cr_assert(ended[0] == (ended_permit{*lease, process_id("dead"), permit_end::never_used, false}));
}

FAULT_CELL_MORE(request_permit, process_dies, while_its_stream_runs)
{
    // Guards against double load on the upstream. A gateway dies while its stream runs; the upstream still
    // works on it, so its cost counts until the cancel is confirmed.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("dead", whole_floor));
    cr_assert(gate.begin(at(0s), *lease));
    gate.first_token(at(20ms), *lease);
    const auto ended = gate.tick(at(500ms)).size() + gate.tick(at(1'400ms)).size() +
                       gate.tick(at(2'300ms)).size() + gate.tick(at(3'200ms)).size();
    cr_assert(ended == 1, "the expired permit has to be returned once, to be cancelled");
    cr_assert(refused(gate, at(3'300ms), ask_of("g", whole_floor)));
    gate.done(at(3'400ms), *lease, work_outcome::cancelled);
    cr_assert(granted(gate, at(3'500ms), ask_of("g", whole_floor)));
}

FAULT_CELL(request_permit, paused_wakes_late)
{
    // Guards against double load on the upstream. A gateway is paused for a minute while it holds a permit,
    // whose capacity goes to others meanwhile. When it resumes, the permit has expired.
    permit_controller gate(at(0s), gate_options());
    const auto old = granted(gate, at(0s), ask_of("paused", whole_floor));
    for (duration t = 500ms; t < 60s; t += 500ms) {
        static_cast<void>(gate.tick(at(t)));
    }
    cr_assert(!gate.begin(at(60s), *old), "an expired permit was accepted");
    cr_assert(!gate.renew(at(60s), *old));
}

FAULT_CELL_MORE(request_permit, paused_wakes_late, the_sidecar_itself)
{
    // Guards against cancelling healthy streams after the sidecar was paused for ten seconds: their renewals
    // are still in its socket buffers.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", whole_floor));
    cr_assert(gate.begin(at(0s), *lease));
    gate.first_token(at(10ms), *lease);
    cr_assert(gate.tick(at(100ms)).empty());
    cr_assert(gate.tick(at(10s)).empty(), "the sidecar's own pause ended a healthy stream");
    cr_assert(gate.renew(at(10s), *lease));
}

FAULT_CELL(request_permit, message_lost)
{
    // Guards against a lost grant, after which the gateway requests again. The first permit is never used and
    // expires; until then its cost still counts.
    permit_controller gate(at(0s), gate_options());
    cr_assert(granted(gate, at(0s), ask_of("g", 600)));
    cr_assert(refused(gate, at(10ms), ask_of("g", 600)));
    cr_assert(granted(gate, at(3'100ms), ask_of("g", 600)));
    cr_assert(gate.load().outstanding == 600);
}

FAULT_CELL(request_permit, message_late)
{
    // Guards against a late renewal that revives an expired permit, whose capacity was granted to another.
    permit_controller gate(at(0s), gate_options());
    const auto old = granted(gate, at(0s), ask_of("late", whole_floor));
    static_cast<void>(gate.tick(at(900ms)));
    static_cast<void>(gate.tick(at(1'800ms)));
    static_cast<void>(gate.tick(at(2'700ms)));
    cr_assert(granted(gate, at(3'100ms), ask_of("g", whole_floor)));
    cr_assert(!gate.renew(at(3'200ms), *old));
    cr_assert(gate.load().outstanding == whole_floor);
}

FAULT_CELL(request_permit, message_doubled)
{
    // Guards against a duplicated end of a request that frees its cost twice, so that grants exceed the
    // capacity.
    permit_controller gate(at(0s), gate_options());
    const auto first = granted(gate, at(0s), ask_of("g", 400));
    cr_assert(granted(gate, at(0s), ask_of("g", 400)));
    gate.done(at(1s), *first, work_outcome::success);
    gate.done(at(1s), *first, work_outcome::success);
    cr_assert(gate.load().outstanding == 400);
}

FAULT_CELL(request_permit, message_reordered)
{
    // Guards against reordered messages: a first token before the start of the work, and one that arrives
    // after the end of the request. The late one concerns a released permit and changes nothing.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 400));
    gate.first_token(at(1ms), *lease);
    cr_assert(gate.begin(at(2ms), *lease));
    gate.done(at(20ms), *lease, work_outcome::failed);
    const admission_load before = gate.load();
    gate.first_token(at(9s), *lease);
    cr_assert(!gate.begin(at(9s), *lease));
    cr_assert(gate.load() == before);
}

FAULT_CELL(request_permit, connection_silent)
{
    // Guards against a stream that keeps its capacity after the connection to its gateway went silent:
    // neither a renewal nor an end arrives. The lease expires and the ended permit is returned once, to be
    // cancelled.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("silent", whole_floor));
    cr_assert(gate.begin(at(0s), *lease));
    gate.first_token(at(20ms), *lease);
    std::vector<ended_permit> ended;
    for (duration t = 500ms; t < 4s && ended.empty(); t += 500ms) {
        ended = gate.tick(at(t));
    }
    cr_assert(ended.size() == 1);
    cr_assert(ended[0].why == permit_end::not_renewed && ended[0].begun);
    cr_assert(!gate.renew(at(4s), *lease), "a permit whose work is being cancelled was renewed");
}

FAULT_CELL(request_permit, partition)
{
    // Guards against capacity that is lost with partitioned gateways, or granted twice. The others get all of
    // it after one lease term, not before.
    permit_controller gate(at(0s), gate_options());
    cr_assert(granted(gate, at(0s), ask_of("cut-off-1", 450)));
    cr_assert(granted(gate, at(0s), ask_of("cut-off-2", 450)));
    cr_assert(refused(gate, at(2s), ask_of("near", 450)));
    static_cast<void>(gate.tick(at(2'500ms)));
    cr_assert(granted(gate, at(3s), ask_of("near", 450)));
    cr_assert(granted(gate, at(3s), ask_of("near", 450)));
}

FAULT_CELL(request_permit, partition_one_way)
{
    // Guards against the use of an expired permit. A gateway receives from the sidecar but its renewals are
    // lost, so it assumes that its permit is valid; the sidecar refuses the use.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("unheard", 450));
    static_cast<void>(gate.tick(at(1s)));
    static_cast<void>(gate.tick(at(2s)));
    static_cast<void>(gate.tick(at(3s)));
    cr_assert(!gate.begin(at(3'500ms), *lease));
    cr_assert(gate.load().outstanding == 0);
}

FAULT_CELL(request_permit, domain_out)
{
    // Guards against new work in a drained failure domain. Operators drain it and 410 gateways don't know it
    // yet: each request is refused with ran `no`.
    permit_controller gate(at(0s), gate_options());
    gate.set_draining(at(1s), true);
    for (int i = 0; i < 410; ++i) {
        const auto rejected = refused(gate, at(2s), ask_of("gateway-" + std::to_string(i), 1));
        cr_assert(rejected, "new work was granted in a drained domain");
        cr_assert(rejected->code == refusal_code::draining && rejected->ran == ran_state::no);
    }
}

FAULT_CELL(request_permit, two_faults)
{
    // Guards against capacity that stays taken when the engine restarts cold and the gateway that held most
    // of it dies at the same time. The restart ends all permits: the floor is free at once, and no more than
    // the floor.
    permit_controller gate(at(0s), gate_options());
    gate.report(at(0s), {incarnation(1), false, 0, 0us});
    const instant now = warm_up(gate, at(0s));
    const auto lease = granted(gate, now, ask_of("dead", 8'000));
    cr_assert(gate.begin(now, *lease));
    gate.report(now + 100ms, {incarnation(2), false, 0, 0us});
    cr_assert(gate.load().outstanding == 0);
    cr_assert(gate.load().allowed == 1'000);
    const auto ended = gate.tick(now + 100ms);
    cr_assert(ended.size() == 1 && ended[0].why == permit_end::upstream_started);
    cr_assert(granted(gate, now + 200ms, ask_of("g", whole_floor)));
    cr_assert(refused(gate, now + 200ms, ask_of("g", whole_floor)));
}

FAULT_CELL(request_permit, same_twice)
{
    // Guards against a repeated report of a new start being taken for another restart. The engine restarts
    // twice within a second.
    permit_controller gate(at(0s), gate_options());
    gate.report(at(0s), {incarnation(1), false, 0, 0us});
    gate.report(at(1s), {incarnation(2), false, 0, 0us});
    gate.report(at(1'500ms), {incarnation(3), false, 0, 0us});
    const std::uint64_t epoch = gate.ramp().epoch();
    gate.report(at(2s), {incarnation(3), false, 0, 0us});
    cr_assert(gate.ramp().epoch() == epoch);
    cr_assert(gate.load().allowed == 1'000);
}

FAULT_CELL(request_dispatch, upstream_cold)
{
    // Guards against overload by permits granted while the upstream was warm. It turns cold between grant and
    // use: its queue grows by a step without more work from this sidecar. Unused permits are revoked.
    permit_controller gate(at(0s), gate_options());
    instant now = warm_up(gate, at(0s));
    const auto running = granted(gate, now, ask_of("g", 3'000));
    cr_assert(gate.begin(now, *running));
    gate.first_token(now + 60ms, *running);
    now += 5s;
    cr_assert(gate.renew(now, *running));
    gate.report(now, {incarnation(1), false, 500, 100ms});
    const auto unused = granted(gate, now, ask_of("g", 400));
    gate.report(now + 100ms, {incarnation(1), false, 3'000, 100ms});
    cr_assert(gate.load().allowed == 1'000, "the step of the queue is a cold sign");
    cr_assert(!gate.begin(now + 200ms, *unused));
    cr_assert(refused(gate, now + 200ms, ask_of("g", 100)),
              "nothing is granted until outstanding work is below the floor");
}

FAULT_CELL_MORE(request_dispatch, upstream_cold, answers_nothing)
{
    // Guards against a cold upstream that accepts requests and answers none, so that no first token is
    // measured. The overdue first tokens count as a cold sign.
    permit_controller gate(at(0s), gate_options());
    const instant now = warm_up(gate, at(0s));
    for (int i = 0; i < 3; ++i) {
        const auto lease = granted(gate, now, ask_of("g", 1'000));
        cr_assert(gate.begin(now, *lease));
    }
    cr_assert(gate.tick(now + 100ms).empty());
    cr_assert(gate.ramp().warm());
    cr_assert(gate.tick(now + 900ms).empty());
    cr_assert(gate.load().allowed == 1'000);
}

FAULT_CELL(request_dispatch, paused_wakes_late)
{
    // Guards against the use of a permit that expired while the sidecar was paused between the grant and the
    // first byte of the request.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 500));
    cr_assert(!gate.begin(at(30s), *lease));
    cr_assert(gate.load().outstanding == 0);
}

FAULT_CELL(request_dispatch, message_doubled)
{
    // Guards against sending a request twice: a duplicated start, as after a reconnect, is refused.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 500));
    cr_assert(gate.begin(at(1ms), *lease));
    cr_assert(!gate.begin(at(2ms), *lease));
}

FAULT_CELL(request_dispatch, domain_out)
{
    // Guards against work that starts in a domain that was drained between the grant and the first byte.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 500));
    gate.set_draining(at(1s), true);
    cr_assert(!gate.begin(at(1s), *lease));
}

FAULT_CELL(drain_leave, same_twice)
{
    // Guards against a drain that is applied twice, by bundle and by gossip. Running work continues, and an
    // unused permit is returned once.
    permit_controller gate(at(0s), gate_options());
    const auto running = granted(gate, at(0s), ask_of("g", 300));
    cr_assert(gate.begin(at(0s), *running));
    cr_assert(granted(gate, at(0s), ask_of("g", 300)));
    gate.set_draining(at(1s), true);
    gate.set_draining(at(1'100ms), true);
    cr_assert(gate.tick(at(1'200ms)).size() == 1);
    cr_assert(gate.renew(at(2s), *running), "a drain must not end running work");
}

FAULT_CELL(drain_return, upstream_cold)
{
    // Guards against full load on cold caches when a domain returns to service after an hour: the ramp
    // restarts at the floor.
    permit_controller gate(at(0s), gate_options());
    const instant now = warm_up(gate, at(0s));
    gate.set_draining(now, true);
    gate.set_draining(now + 3600s, false);
    cr_assert(gate.load().allowed == 1'000);
    cr_assert(granted(gate, now + 3601s, ask_of("g", whole_floor)));
    cr_assert(refused(gate, now + 3601s, ask_of("g", whole_floor)));
}
