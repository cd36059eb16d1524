#include "dragonflymill/serve/sidecar_core.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;

namespace {

constexpr instant start{1'000s};
/// 100 ms and 25,000 tokens a second.
constexpr first_token_line line{100ms, 40.0};
constexpr duration step = 20ms;

auto after(double seconds) -> instant
{
    return start + duration(static_cast<duration::rep>(seconds * 1e6));
}

/// Time of the first look, a step apart, at which something is silent; nothing before `end`.
auto first_silent(stream_stall_detector& watch, instant from, instant end) -> std::optional<instant>
{
    for (auto now = from; now < end; now += step) {
        if (!watch.silent(now, line).empty()) {
            return now;
        }
    }
    return std::nullopt;
}

} // namespace

FAULT_CELL_MORE(request_stream, connection_silent, before_first_token)
{
    // A caller waits for its first token. The connection between sidecar and engine has gone silent; only the
    // transport's own bound of minutes would end it. Eight times the line of a prompt of 10,000 tokens is 4
    // s.
    stream_stall_detector watch({});
    watch.began(start, call_number(1), 10'000);
    cr_assert(!first_silent(watch, start, after(4.0)));
    cr_assert(first_silent(watch, after(4.0), after(4.1)));
}

FAULT_CELL_MORE(request_stream, connection_silent, between_tokens)
{
    // Tokens come every 20 ms, then none: the floor holds, not the first token's bound.
    stream_stall_detector watch({});
    watch.began(start, call_number(1), 200'000);
    auto now = start;
    for (int token = 0; token < 100; ++token) {
        now += step;
        watch.progressed(now, call_number(1));
    }
    cr_assert(!first_silent(watch, now, now + 2s));
    cr_assert(first_silent(watch, now, now + 2s + 2 * step));
}

Test(stream_stall_detector, a_long_queue_is_no_silence_however_it_is_ordered)
{
    // Forty prompts of 100,000 tokens wait at once; the engine works at a quarter of the line's speed and
    // serves the newest first, and a new one comes before each. The oldest gets its first token last.
    stream_stall_detector watch({});
    std::vector<call_number> waiting;
    std::uint64_t next = 0;
    const auto put = [&](instant now) {
        waiting.emplace_back(++next);
        watch.began(now, waiting.back(), 100'000);
    };
    while (next < 40) {
        put(start);
    }
    auto now = start;
    while (!waiting.empty()) {
        const auto served = now + 16s + 100ms; // 100,000 tokens at 6,250 a second
        cr_assert(!first_silent(watch, now, served), "%zu wait", waiting.size());
        now = served;
        watch.progressed(now, waiting.back());
        watch.ended(waiting.back());
        waiting.pop_back();
        if (next < 60) {
            put(now);
        }
    }
}

Test(stream_stall_detector, work_of_a_predecessor_counts_as_the_engine_reports_it)
{
    // A sidecar that has just started knows no stream; its engine says that 400,000 tokens wait in it.
    stream_stall_detector watch({});
    watch.reported(400'000, false);
    watch.began(start, call_number(1), 1'000);
    cr_assert(!first_silent(watch, start, after(8 * 16)));
    cr_assert(first_silent(watch, after(8 * 16), after(8 * 17)));
}

Test(stream_stall_detector, a_cold_engine_gets_longer)
{
    stream_stall_detector watch({});
    watch.reported(0, true);
    watch.began(start, call_number(1), 10'000);
    cr_assert(!first_silent(watch, start, after(16.0)));
    cr_assert(first_silent(watch, after(16.0), after(16.1)));
}

Test(stream_stall_detector, without_a_line_a_first_token_is_not_judged)
{
    stream_stall_detector watch({});
    watch.began(start, call_number(1), 10'000);
    cr_assert(watch.silent(start + 500ms, std::nullopt).empty());
    cr_assert(watch.silent(start + 1s, std::nullopt).empty());
}

FAULT_CELL_MORE(request_stream, paused_wakes_late, own_pause_is_no_silence)
{
    // The sidecar is paused for a minute. What its engine sent meanwhile is unread in its sockets: cutting
    // off every stream on wake-up would cost each caller a resume.
    stream_stall_detector watch({});
    watch.began(start, call_number(1), 10'000);
    cr_assert(!first_silent(watch, start, after(1.0)));
    cr_assert(!first_silent(watch, after(61.0), after(63.5)));
    cr_assert(first_silent(watch, after(63.5), after(64.5)), "the rest of its time still counts");
}

FAULT_CELL_MORE(request_resume, connection_silent, given_up_and_cancelled)
{
    // What the sidecar does about it: the gateway hears at once that the try is lost, so that it resumes,
    // and the engine is told to let go by a connection of its own.
    sidecar_core_options options;
    options.gate.ramp.floor = 10'000;
    options.gate.ramp.ceiling = 100'000;
    options.gate.first_token.expected = line;
    sidecar_core core(start, options);
    attempt_spec spec;
    spec.request = request_id("r");
    spec.gateway = process_id("g1");
    spec.prompt_tokens = 1'000;
    spec.prefill = 1'000;
    spec.max_tokens = 16;
    spec.remaining = 60s;
    (void)core.step(start, sidecar_input::attempt_opened{call_number(1), spec});
    (void)core.step(start, sidecar_input::prompt_received{call_number(1)});
    bool told = false;
    bool cancelled = false;
    for (auto now = start; now < start + 3s; now += step) {
        (void)core.step(now, sidecar_input::gateway_heartbeat{spec.gateway});
        for (const auto& action : core.step(now, sidecar_input::tick{})) {
            const auto* refused = std::get_if<sidecar_output::refuse_call>(&action);
            told = told || (refused != nullptr && refused->why.code == refusal_code::upstream_gone &&
                            refused->why.ran == ran_state::unknown);
            cancelled = cancelled || std::holds_alternative<sidecar_output::cancel_stream>(action);
        }
    }
    cr_assert(told);
    cr_assert(cancelled);
}
