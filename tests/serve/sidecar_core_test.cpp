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

/// A core with one stream at the engine, as call 1.
auto begin_stream(sidecar_core& core) -> std::string
{
    const auto granted = core.step(start, sidecar_input::attempt_opened{call_number(1), spec("r")});
    cr_assert(find<sidecar_output::grant_attempt>(granted) != nullptr);
    const auto begun = core.step(start, sidecar_input::prompt_received{call_number(1)});
    const auto* stream = find<sidecar_output::start_stream>(begun);
    cr_assert(stream != nullptr);
    return stream->engine_request;
}

/// Feeds an event whose actions don't matter to the test.
void feed(sidecar_core& core, instant now, const sidecar_event& event)
{
    static_cast<void>(core.step(now, event));
}

/// Ticks as a shell does; the first cancel that comes out, if any.
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

Test(sidecar_core, a_stream_goes_through_and_frees_its_permit)
{
    sidecar_core core(start, engine_options());
    begin_stream(core);
    const auto passed = core.step(start + 10ms, sidecar_input::engine_tokens{call_number(1), 0, {"a", "b"}});
    cr_assert(find<sidecar_output::send_tokens>(passed)->tokens.size() == 2);
    const auto ended = core.step(start + 20ms, sidecar_input::engine_finished{call_number(1), 2, "stop"});
    cr_assert(find<sidecar_output::finish_attempt>(ended)->tokens == 2);
    cr_assert(core.load(start + 20ms).outstanding == 0);
}

Test(sidecar_core, before_its_bundle_it_is_not_ready_and_calls_nothing_too_large)
{
    // A request reaches a sidecar that has just started, before the bundle does. It was refused as too large,
    // with no time to come back, though the upstream could well have held it.
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

Test(sidecar_core, the_same_events_give_the_same_actions)
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
    // A caller with a 10 s limit waits. The sidecar grants its permit and is paused for 11 s while the prompt
    // is on its way. It wakes and finds the prompt. Had it sent it, the engine would work for nobody: the
    // caller has its refusal already.
    sidecar_core core(start, engine_options());
    const auto granted = core.step(start, sidecar_input::attempt_opened{call_number(1), spec("r")});
    cr_assert(find<sidecar_output::grant_attempt>(granted) != nullptr);
    const auto late = core.step(start + 11s, sidecar_input::prompt_received{call_number(1)});
    cr_assert(find<sidecar_output::start_stream>(late) == nullptr);
    cr_assert(find<sidecar_output::refuse_call>(late)->why.ran == ran_state::no);
}

FAULT_CELL(request_cancel, message_lost)
{
    // A caller leaves; the engine goes on for nobody and its memory is gone for good. The gateway's cancel
    // reaches the sidecar, whose own cancel to the engine is lost on the way.
    sidecar_core core(start, engine_options());
    const auto name = begin_stream(core);
    const auto first = core.step(start + 1s, sidecar_input::call_cancelled{call_number(1)});
    cr_assert(find<sidecar_output::cancel_stream>(first)->engine_request == name);
    cr_assert(core.load(start + 1s).outstanding > 0, "the engine still holds it");
    const auto again = core.step(start + 2s, sidecar_input::tick{});
    cr_assert(find<sidecar_output::cancel_stream>(again)->engine_request == name);
    feed(core, start + 2s, sidecar_input::cancel_confirmed{name});
    cr_assert(core.load(start + 2s).outstanding == 0);
    cr_assert(find<sidecar_output::cancel_stream>(core.step(start + 3s, sidecar_input::tick{})) == nullptr);
}

FAULT_CELL(request_stream, process_dies)
{
    // A caller's gateway dies while the answer streams. Nobody cancels; the engine would hold the stream's
    // memory until the answer's last token, and the permit with it. The gateway was last heard of after one
    // second.
    sidecar_core core(start, engine_options());
    const auto name = begin_stream(core);
    feed(core, start + 1s, sidecar_input::gateway_heartbeat{process_id("g1")});
    const auto term = permit_controller_options{}.lease_term;
    cr_assert(tick_until_cancel(core, start + 1s, start + 900ms + term).empty());
    cr_assert(tick_until_cancel(core, start + 1s + term, start + 2s + term) == name);
}

FAULT_CELL_MORE(request_stream, message_lost, renewed_by_new_work)
{
    // A long answer is cut off although its gateway lives and puts new work to the same engine all the time.
    // Order: the renewal is lost with its connection; another try of the gateway comes before the term ends.
    // Cause: only heartbeats counted as a sign of life.
    sidecar_core core(start, engine_options());
    begin_stream(core);
    const auto term = permit_controller_options{}.lease_term;
    cr_assert(tick_until_cancel(core, start, start + term - 200ms).empty());
    feed(core, start + term - 100ms, sidecar_input::attempt_opened{call_number(2), spec("s")});
    cr_assert(tick_until_cancel(core, start + term, start + 2 * term - 200ms).empty());
}

FAULT_CELL(request_cancel, process_dies)
{
    // Memory at an engine shrinks from day to day. A sidecar dies in the middle of a stream and its successor
    // starts with an empty table: only the engine knows of the stream.
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
    // A stream stops in the middle of the answer. The engine died and is up again within one report interval,
    // so that its port answers and only its start number differs; the stream would wait until the caller's
    // limit.
    sidecar_core core(start, engine_options());
    feed(core, start, report({}, 1));
    begin_stream(core);
    const auto lost = core.step(start + 1s, report({}, 2));
    cr_assert(find<sidecar_output::refuse_call>(lost)->why.code == refusal_code::upstream_gone);
    cr_assert(core.load(start + 1s).outstanding == 0, "a new engine holds nothing");
}

FAULT_CELL(process_stop, message_late)
{
    // An upgrade stops a sidecar while a caller reads an answer. The stop comes first, the last token later:
    // the sidecar refuses new work, keeps the stream, and ends only after its last token.
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
