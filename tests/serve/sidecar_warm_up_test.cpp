#include "serve/sidecar_core_fixture.h"

using namespace dragonflymill;
using sidecar_fixture::find;

namespace {

constexpr instant start{1'000s};
constexpr work_cost floor_cost = 10'000;
constexpr work_cost ceiling_cost = 100'000;

auto options() -> sidecar_core_options
{
    sidecar_core_options made;
    made.gate.ramp.floor = floor_cost;
    made.gate.ramp.ceiling = ceiling_cost;
    made.gate.first_token.expected = first_token_line{100ms, 0.0};
    made.ledger.upstream = upstream_id("u1");
    made.ledger.ticket_key = "a key of the tests";
    return made;
}

using actions_of_step = std::vector<sidecar_action>;

auto ask_large(sidecar_core& core, instant now, std::uint64_t call) -> bool
{
    attempt_spec spec;
    spec.request = request_id("large-" + std::to_string(call));
    spec.gateway = process_id("g1");
    spec.size = length_class::bulk;
    spec.prompt_tokens = 60'000;
    spec.prefill = 60'000;
    spec.max_tokens = 16;
    spec.remaining = 60s;
    const auto actions = core.step(now, sidecar_input::attempt_opened{call_number(call), spec});
    return find<sidecar_output::grant_attempt>(actions) != nullptr;
}

void set_capacity(sidecar_core& core)
{
    static_cast<void>(
        core.step(start, sidecar_input::capacity_changed{floor_cost, ceiling_cost, model_id("m")}));
}

/// Returns the warm-up request that follows the refusal of a large request.
auto first_warm_up(sidecar_core& core) -> sidecar_output::start_warm_up
{
    set_capacity(core);
    cr_assert(!ask_large(core, start, 1), "the prompt is larger than the floor");
    const auto actions = core.step(start + 20ms, sidecar_input::tick{});
    const auto* warm_up = find<sidecar_output::start_warm_up>(actions);
    cr_assert(warm_up != nullptr);
    return *warm_up;
}

} // namespace

FAULT_CELL_MORE(request_permit, upstream_cold, only_large)
{
    // Guards against refusing prompts of 60,000 tokens for good at an engine that holds 100,000 when warm. It
    // starts cold and only large prompts arrive: none can be granted, so no success raises the allowance.
    sidecar_core core(start, options());
    auto warm_up = first_warm_up(core);
    auto now = start + 20ms;
    bool granted = false;
    for (std::uint64_t i = 2; i < 200 && !granted; ++i) {
        cr_assert(core.load(now).outstanding <= core.load(now).allowed);
        cr_assert(core.step(now + 50ms, sidecar_input::engine_tokens{warm_up.call, 0, {"a"}}).empty());
        cr_assert(core.step(now + 60ms, sidecar_input::engine_finished{warm_up.call, 4, "length"}).empty());
        for (bool started = false; !started && !granted;) {
            now += 20ms;
            granted = ask_large(core, now + 60ms, i++);
            const auto actions = core.step(now + 60ms, sidecar_input::tick{});
            if (const auto* next = find<sidecar_output::start_warm_up>(actions)) {
                warm_up = *next;
                started = true;
            }
        }
        now += 60ms;
    }
    cr_assert(granted, "the prompt is still refused after the warm-up");
}

Test(sidecar_warm_up, at_most_one_runs_and_it_is_deterministic)
{
    sidecar_core one(start, options());
    sidecar_core two(start, options());
    const auto warm_up = first_warm_up(one);
    const auto same = first_warm_up(two);
    cr_assert(warm_up.spec == same.spec);
    cr_assert(warm_up.call == same.call);
    cr_assert(warm_up.spec.prompt_tokens + warm_up.spec.max_tokens <= floor_cost);
    for (auto now = start + 40ms; now < start + 10s; now += 20ms) {
        static_cast<void>(ask_large(one, now, static_cast<std::uint64_t>(now.time_since_epoch().count())));
        const auto actions = one.step(now, sidecar_input::tick{});
        cr_assert(find<sidecar_output::start_warm_up>(actions) == nullptr);
        cr_assert(find<sidecar_output::cancel_stream>(actions) == nullptr,
                  "the permit of a running warm-up has to be renewed");
    }
}

FAULT_CELL_MORE(request_permit, connection_silent, warm_up)
{
    // Guards against refusing large prompts for good after the engine accepted a warm-up request and never
    // answered. The warm-up has to time out and be cancelled before another one starts.
    sidecar_core core(start, options());
    const auto warm_up = first_warm_up(core);
    std::string cancelled;
    for (auto now = start + 40ms; now < start + 40s && cancelled.empty(); now += 20ms) {
        const auto actions = core.step(now, sidecar_input::tick{});
        cr_assert(find<sidecar_output::start_warm_up>(actions) == nullptr);
        cr_assert(find<sidecar_output::refuse_call>(actions) == nullptr, "a warm-up has no caller to refuse");
        if (const auto* cancel = find<sidecar_output::cancel_stream>(actions)) {
            cancelled = cancel->engine_request;
        }
    }
    cr_assert(cancelled == warm_up.engine_request);
}

Test(sidecar_warm_up, drain_and_stop_cancel_it_and_start_none)
{
    sidecar_core drained(start, options());
    first_warm_up(drained);
    const auto drain = drained.step(start + 1s, sidecar_input::drain_changed{true});
    cr_assert(find<sidecar_output::cancel_stream>(drain) != nullptr);
    sidecar_core stopped(start, options());
    const auto warm_up = first_warm_up(stopped);
    const auto stop = stopped.step(start + 1s, sidecar_input::stop_requested{});
    cr_assert(find<sidecar_output::cancel_stream>(stop)->engine_request == warm_up.engine_request);
    static_cast<void>(stopped.step(start + 1s, sidecar_input::cancel_confirmed{warm_up.engine_request}));
    const auto done = stopped.step(start + 2s, sidecar_input::tick{});
    cr_assert(find<sidecar_output::start_warm_up>(done) == nullptr);
    cr_assert(find<sidecar_output::all_done>(done) != nullptr);
}
