#include "serve/sidecar_core_fixture.h"

#include <algorithm>

using namespace dragonflymill;
using namespace dragonflymill::sidecar_fixture;

namespace {

auto engine_options() -> sidecar_core_options
{
    return options(10'000, 100'000);
}

auto spec(std::string name, duration remaining = 10s) -> attempt_spec
{
    attempt_spec made;
    made.request = request_id(std::move(name));
    made.attempt = attempt_number(1);
    made.gateway = process_id("g1");
    made.model = model_id("m");
    made.prompt_tokens = 1'000;
    made.prefill = 1'000;
    made.max_tokens = 16;
    made.remaining = remaining;
    return made;
}

/// Starts a stream at the engine as call 1 and returns its name there.
auto begin_stream(sidecar_core& core) -> std::string
{
    const auto granted = core.step(start, sidecar_input::attempt_opened{call_number(1), spec("r")});
    cr_assert(find<sidecar_output::grant_attempt>(granted) != nullptr);
    const auto begun = core.step(start, sidecar_input::prompt_received{call_number(1)});
    const auto* stream = find<sidecar_output::start_stream>(begun);
    cr_assert(stream != nullptr);
    return stream->engine_request;
}

/// Applies an event and ignores the actions.
void feed(sidecar_core& core, instant now, const sidecar_event& event)
{
    static_cast<void>(core.step(now, event));
}

/// Ticks every 100 ms and returns the engine request of the first cancel; empty if there is none.
auto tick_until_cancel(sidecar_core& core, instant from, instant to) -> std::string
{
    for (auto now = from; now <= to; now += 100ms) {
        const auto actions = core.step(now, sidecar_input::tick{});
        if (const auto* cancel = find<sidecar_output::cancel_stream>(actions)) {
            return cancel->engine_request;
        }
    }
    return {};
}

auto report(std::vector<sidecar_input::engine_holding> held, std::uint64_t engine_start = 1)
    -> sidecar_input::engine_reported
{
    sidecar_input::engine_reported made;
    made.status.start = incarnation(engine_start);
    made.held = std::move(held);
    return made;
}

} // namespace

Test(sidecar_core, finished_stream_releases_its_permit)
{
    sidecar_core core(start, engine_options());
    begin_stream(core);
    const auto passed = core.step(start + 10ms, sidecar_input::engine_tokens{call_number(1), 0, {"a", "b"}});
    cr_assert(find<sidecar_output::send_tokens>(passed)->tokens.size() == 2);
    const auto ended = core.step(start + 20ms, sidecar_input::engine_finished{call_number(1), 2, "stop"});
    cr_assert(find<sidecar_output::finish_attempt>(ended)->tokens == 2);
    cr_assert(core.load(start + 20ms).outstanding == 0);
}

Test(sidecar_core, refuses_as_not_ready_before_the_first_bundle)
{
    // Guards against a refusal as too large, without a retry time, of a request that the upstream could hold:
    // it arrives at a newly started sidecar before the bundle does.
    auto before_the_bundle = engine_options();
    before_the_bundle.gate.ramp = {};
    sidecar_core core(start, before_the_bundle);
    const auto actions = core.step(start, sidecar_input::attempt_opened{call_number(1), spec("r")});
    const auto* refused = find<sidecar_output::refuse_call>(actions);
    cr_assert(refused != nullptr && refused->why.code == refusal_code::not_ready);
    cr_assert(refused->why.ran == ran_state::no && refused->why.retry_after > duration::zero());
    feed(core, start, sidecar_input::capacity_changed{10'000, 100'000, model_id{}});
    const auto later = core.step(start, sidecar_input::attempt_opened{call_number(2), spec("r2")});
    cr_assert(find<sidecar_output::grant_attempt>(later) != nullptr);
}

Test(sidecar_core, same_events_give_same_actions)
{
    sidecar_core one(start, engine_options());
    sidecar_core two(start, engine_options());
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const auto now = start + duration(static_cast<std::int64_t>(i) * 1'000);
        const sidecar_event event = sidecar_input::attempt_opened{call_number(i), spec(std::to_string(i))};
        const auto first = one.step(now, event);
        const auto second = two.step(now, event);
        cr_assert(first.size() == second.size());
        const auto* a = find<sidecar_output::refuse_call>(first);
        const auto* b = find<sidecar_output::refuse_call>(second);
        cr_assert((a == nullptr) == (b == nullptr));
        cr_assert(a == nullptr || a->why == b->why);
    }
}

FAULT_CELL(request_dispatch, paused_wakes_late)
{
    // Guards against engine work for a caller that has already been refused. The sidecar grants a permit to
    // an attempt with 10 s left and is paused for 11 s while the prompt is on its way.
    sidecar_core core(start, engine_options());
    const auto granted = core.step(start, sidecar_input::attempt_opened{call_number(1), spec("r")});
    cr_assert(find<sidecar_output::grant_attempt>(granted) != nullptr);
    const auto late = core.step(start + 11s, sidecar_input::prompt_received{call_number(1)});
    cr_assert(find<sidecar_output::start_stream>(late) == nullptr);
    cr_assert(find<sidecar_output::refuse_call>(late)->why.ran == ran_state::no);
}

FAULT_CELL(request_cancel, message_lost)
{
    // Guards against a stream that holds engine memory for good after its caller disconnected. The gateway's
    // cancel reaches the sidecar, but the sidecar's cancel to the engine is lost.
    sidecar_core core(start, engine_options());
    const auto name = begin_stream(core);
    const auto first = core.step(start + 1s, sidecar_input::call_cancelled{call_number(1)});
    cr_assert(find<sidecar_output::cancel_stream>(first)->engine_request == name);
    cr_assert(core.load(start + 1s).outstanding > 0, "the permit counts until the cancel is confirmed");
    const auto again = core.step(start + 2s, sidecar_input::tick{});
    cr_assert(find<sidecar_output::cancel_stream>(again)->engine_request == name);
    feed(core, start + 2s, sidecar_input::cancel_confirmed{name});
    cr_assert(core.load(start + 2s).outstanding == 0);
    cr_assert(find<sidecar_output::cancel_stream>(core.step(start + 3s, sidecar_input::tick{})) == nullptr);
}

FAULT_CELL(request_stream, process_dies)
{
    // Guards against a stream that keeps engine memory and its permit until the last token after its gateway
    // died. The last heartbeat of the gateway is received after one second.
    sidecar_core core(start, engine_options());
    const auto name = begin_stream(core);
    feed(core, start + 1s, sidecar_input::gateway_heartbeat{process_id("g1")});
    const auto term = permit_controller_options{}.lease_term;
    cr_assert(tick_until_cancel(core, start + 1s, start + 900ms + term).empty());
    cr_assert(tick_until_cancel(core, start + 1s + term, start + 2s + term) == name);
}

FAULT_CELL_MORE(request_stream, message_lost, renewed_by_new_work)
{
    // Guards against cancelling a long answer although its gateway is alive and keeps sending work to the
    // same engine. The renewal is lost with its connection, and another attempt of the gateway arrives before
    // the term ends: it has to renew the permits as a heartbeat does.
    sidecar_core core(start, engine_options());
    begin_stream(core);
    const auto term = permit_controller_options{}.lease_term;
    cr_assert(tick_until_cancel(core, start, start + term - 200ms).empty());
    feed(core, start + term - 100ms, sidecar_input::attempt_opened{call_number(2), spec("s")});
    cr_assert(tick_until_cancel(core, start + term, start + 2 * term - 200ms).empty());
}

FAULT_CELL(request_cancel, process_dies)
{
    // Guards against a memory leak at the engine. A sidecar dies during a stream, and its successor starts
    // with an empty table: only the engine knows the stream.
    sidecar_core successor(start, engine_options());
    const auto found = successor.step(start, report({{"r.1", 1'000}}));
    cr_assert(find<sidecar_output::cancel_stream>(found)->engine_request == "r.1");
    const auto repeated = successor.step(start + 1s, sidecar_input::tick{});
    cr_assert(find<sidecar_output::cancel_stream>(repeated) != nullptr);
    feed(successor, start + 1s, sidecar_input::cancel_confirmed{"r.1"});
    cr_assert(find<sidecar_output::cancel_stream>(successor.step(start + 2s, sidecar_input::tick{})) ==
              nullptr);
}

FAULT_CELL(request_stream, upstream_cold)
{
    // Guards against a stream that stalls until the caller's deadline. The engine restarts within one report
    // interval, so that only its start number shows the restart.
    sidecar_core core(start, engine_options());
    feed(core, start, report({}, 1));
    begin_stream(core);
    const auto lost = core.step(start + 1s, report({}, 2));
    cr_assert(find<sidecar_output::refuse_call>(lost)->why.code == refusal_code::upstream_gone);
    cr_assert(core.load(start + 1s).outstanding == 0, "a restarted engine holds nothing");
}

FAULT_CELL(process_stop, message_late)
{
    // Guards against a planned stop that cuts off an answer. The stop is requested before the last token: the
    // sidecar refuses new work, keeps the stream, and finishes only after its end.
    sidecar_core core(start, engine_options());
    begin_stream(core);
    cr_assert(find<sidecar_output::all_done>(core.step(start + 1s, sidecar_input::stop_requested{})) ==
              nullptr);
    const auto refused = core.step(start + 1s, sidecar_input::attempt_opened{call_number(2), spec("s")});
    cr_assert(find<sidecar_output::refuse_call>(refused)->why.code == refusal_code::stopping);
    cr_assert(find<sidecar_output::refuse_call>(refused)->why.ran == ran_state::no);
    feed(core, start + 2s, sidecar_input::gateway_heartbeat{process_id("g1")});
    const auto ended = core.step(start + 2s, sidecar_input::engine_finished{call_number(1), 4, "stop"});
    cr_assert(find<sidecar_output::finish_attempt>(ended) != nullptr);
    cr_assert(find<sidecar_output::all_done>(core.step(start + 2s, sidecar_input::tick{})) != nullptr);
}
