#include "admission/permit_controller_fixture.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr work_cost whole_floor = 900;

} // namespace

FAULT_CELL(request_permit, process_dies)
{
    // A gateway dies between getting a permit and using it. Without an end to the permit the upstream would
    // refuse everyone else for good; its lease ends, and the capacity is there again.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("dead", whole_floor));
    cr_assert(refused(gate, at(1s), ask_of("g", whole_floor)));
    cr_assert(granted(gate, at(4s), ask_of("g", whole_floor)), "the dead gateway's permit still counts");
    const auto ended = gate.tick(at(4s));
    cr_assert(ended.size() == 1);
    cr_assert(ended[0] == (ended_permit{*lease, process_id("dead"), permit_end::never_used, false}));
}

FAULT_CELL_MORE(request_permit, process_dies, while_its_stream_runs)
{
    // A gateway dies while its stream runs. The upstream still works on it, so the cost counts until the
    // cancel is confirmed: giving it away at once would put twice the work on the upstream.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("dead", whole_floor));
    cr_assert(gate.begin(at(0s), *lease));
    gate.first_token(at(20ms), *lease);
    const auto ended = gate.tick(at(500ms)).size() + gate.tick(at(1'400ms)).size() +
                       gate.tick(at(2'300ms)).size() + gate.tick(at(3'200ms)).size();
    cr_assert(ended == 1, "the holder's end has to be handed out once, to be cancelled");
    cr_assert(refused(gate, at(3'300ms), ask_of("g", whole_floor)));
    gate.done(at(3'400ms), *lease, work_outcome::cancelled);
    cr_assert(granted(gate, at(3'500ms), ask_of("g", whole_floor)));
}

FAULT_CELL(request_permit, paused_wakes_late)
{
    // A gateway is paused for a minute with a permit in hand, and others got its capacity meanwhile. When it
    // wakes and wants to send, the permit is over.
    permit_controller gate(at(0s), gate_options());
    const auto old = granted(gate, at(0s), ask_of("paused", whole_floor));
    for (duration t = 500ms; t < 60s; t += 500ms) {
        static_cast<void>(gate.tick(at(t)));
    }
    cr_assert(!gate.begin(at(60s), *old), "the old permit would double the load");
    cr_assert(!gate.renew(at(60s), *old));
}

FAULT_CELL_MORE(request_permit, paused_wakes_late, the_sidecar_itself)
{
    // The sidecar is paused for ten seconds while streams run well; their renewals wait in its sockets.
    // When it wakes, callers' streams go on, instead of all being cut off as not renewed.
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
    // The grant is lost on the way to its gateway, which asks again. The first permit is never used and ends
    // by itself; meanwhile less is granted, never more.
    permit_controller gate(at(0s), gate_options());
    cr_assert(granted(gate, at(0s), ask_of("g", 600)));
    cr_assert(refused(gate, at(10ms), ask_of("g", 600)));
    cr_assert(granted(gate, at(3'100ms), ask_of("g", 600)));
    cr_assert(gate.load().outstanding == 600);
}

FAULT_CELL(request_permit, message_late)
{
    // A renewal arrives after the permit has ended and its capacity went to another. It must not bring the
    // permit back to life.
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
    // The end of a request is told twice. Its cost comes back once: twice would let more in than the
    // upstream carries.
    permit_controller gate(at(0s), gate_options());
    const auto first = granted(gate, at(0s), ask_of("g", 400));
    cr_assert(granted(gate, at(0s), ask_of("g", 400)));
    gate.done(at(1s), *first, work_outcome::success);
    gate.done(at(1s), *first, work_outcome::success);
    cr_assert(gate.load().outstanding == 400);
}

FAULT_CELL(request_permit, message_reordered)
{
    // The first token's note overtakes nothing and the end overtakes the first token: the late note is about
    // a permit that is gone and changes nothing.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 400));
    gate.first_token(at(1ms), *lease);
    cr_assert(gate.begin(at(2ms), *lease));
    gate.done(at(20ms), *lease, work_outcome::failed);
    const gate_load before = gate.load();
    gate.first_token(at(9s), *lease);
    cr_assert(!gate.begin(at(9s), *lease));
    cr_assert(gate.load() == before);
}

FAULT_CELL(request_permit, connection_silent)
{
    // The connection to a gateway goes silent while its stream runs: no renewal, no end. The lease ends, the
    // sidecar is told to cancel, and the capacity is free once the engine confirms.
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
    cr_assert(!gate.renew(at(4s), *lease), "its cancel is on the way");
}

FAULT_CELL(request_permit, partition)
{
    // Half of the gateways are cut off with permits in hand. The others get all of the capacity after one
    // lease term, not before.
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
    // A gateway hears the sidecar but its own words get lost: it believes that its permit runs on. The
    // sidecar alone decides, and refuses the use of what has ended.
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
    // Operators take the failure domain out while 410 gateways have not heard of it. Each ask is refused
    // with `no`, and it is true.
    permit_controller gate(at(0s), gate_options());
    gate.set_draining(at(1s), true);
    for (int i = 0; i < 410; ++i) {
        const auto said = refused(gate, at(2s), ask_of("gateway-" + std::to_string(i), 1));
        cr_assert(said, "new work went to a domain that is out");
        cr_assert(said->code == refusal_code::draining && said->ran == ran_state::no);
    }
}

FAULT_CELL(request_permit, two_faults)
{
    // The engine restarts cold, and the gateway that held most of it dies at the same time. What the old
    // start held is gone with it: the floor is free at once, and no more than the floor.
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
    // The engine restarts twice within a second; the second report of the new start is no third restart.
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
    // The upstream turns cold between grant and use: a load report steps up with no more work from us. What
    // has not begun is taken back, so that it doesn't fall over under what was promised while it was warm.
    permit_controller gate(at(0s), gate_options());
    instant now = warm_up(gate, at(0s));
    const auto running = granted(gate, now, ask_of("g", 3'000));
    cr_assert(gate.begin(now, *running));
    gate.first_token(now + 60ms, *running);
    now += 5s;
    cr_assert(gate.renew(now, *running));
    gate.report(now, {incarnation(1), false, 500, 100ms});
    const auto promised = granted(gate, now, ask_of("g", 400));
    gate.report(now + 100ms, {incarnation(1), false, 3'000, 100ms});
    cr_assert(gate.load().allowed == 1'000, "the step in its queue is a cold sign");
    cr_assert(!gate.begin(now + 200ms, *promised));
    cr_assert(refused(gate, now + 200ms, ask_of("g", 100)), "nothing new until it is below the floor");
}

FAULT_CELL_MORE(request_dispatch, upstream_cold, answers_nothing)
{
    // A cold upstream takes requests and answers nothing. No first token is ever measured; the wait itself
    // closes the gate.
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
    // The sidecar is paused between granting a permit and sending the request. When it wakes the permit has
    // ended and must not be used: the request is refused with a true `no`.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 500));
    cr_assert(!gate.begin(at(30s), *lease));
    cr_assert(gate.load().outstanding == 0);
}

FAULT_CELL(request_dispatch, message_doubled)
{
    // The order to begin comes twice, as after a reconnect. Only the first one may send.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 500));
    cr_assert(gate.begin(at(1ms), *lease));
    cr_assert(!gate.begin(at(2ms), *lease));
}

FAULT_CELL(request_dispatch, domain_out)
{
    // The domain is taken out between grant and first byte: the permit must not be used any more.
    permit_controller gate(at(0s), gate_options());
    const auto lease = granted(gate, at(0s), ask_of("g", 500));
    gate.set_draining(at(1s), true);
    cr_assert(!gate.begin(at(1s), *lease));
}

FAULT_CELL(drain_leave, same_twice)
{
    // The word that takes the domain out arrives by bundle and by gossip. Running work goes on to its end
    // both times, and what had not begun is handed back once.
    permit_controller gate(at(0s), gate_options());
    const auto running = granted(gate, at(0s), ask_of("g", 300));
    cr_assert(gate.begin(at(0s), *running));
    cr_assert(granted(gate, at(0s), ask_of("g", 300)));
    gate.set_draining(at(1s), true);
    gate.set_draining(at(1'100ms), true);
    cr_assert(gate.tick(at(1'200ms)).size() == 1);
    cr_assert(gate.renew(at(2s), *running), "a drain cuts off no running work");
}

FAULT_CELL(drain_return, upstream_cold)
{
    // The domain comes back after an hour and its caches are cold. Work returns by the ramp, not all at once.
    permit_controller gate(at(0s), gate_options());
    const instant now = warm_up(gate, at(0s));
    gate.set_draining(now, true);
    gate.set_draining(now + 3600s, false);
    cr_assert(gate.load().allowed == 1'000);
    cr_assert(granted(gate, now + 3601s, ask_of("g", whole_floor)));
    cr_assert(refused(gate, now + 3601s, ask_of("g", whole_floor)));
}
