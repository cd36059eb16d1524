#include "dragonflymill/serve/sidecar_core.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;

namespace {

constexpr instant start{1'000s};
/// 100 ms plus the time for a prefill of 25,000 tokens a second.
constexpr first_token_line line{100ms, 40.0};
constexpr duration step = 20ms;

auto after(double seconds) -> instant
{
    return start + duration(static_cast<duration::rep>(seconds * 1e6));
}

/// Returns the time of the first check, one step apart, that finds a stalled stream; nothing before `end`.
auto first_stall(stream_stall_detector& detector, instant from, instant end) -> std::optional<instant>
{
    for (auto now = from; now < end; now += step) {
        if (!detector.silent(now, line).empty()) {
            return now;
        }
    }
    return std::nullopt;
}

} // namespace

FAULT_CELL_MORE(request_stream, connection_silent, before_first_token)
{
    // The connection between sidecar and engine goes silent before the first token, and only the transport's
    // timeout of minutes would end it. Eight times the predicted time to first token of a prompt of 10,000
    // tokens is 4 s.
    stream_stall_detector detector({});
    detector.began(start, call_number(1), 10'000);
    cr_assert(!first_stall(detector, start, after(4.0)));
    cr_assert(first_stall(detector, after(4.0), after(4.1)));
}

FAULT_CELL_MORE(request_stream, connection_silent, between_tokens)
{
    // Tokens arrive every 20 ms and then stop. The minimum stall time applies, not the bound of the first
    // token.
    stream_stall_detector detector({});
    detector.began(start, call_number(1), 200'000);
    auto now = start;
    for (int token = 0; token < 100; ++token) {
        now += step;
        detector.progressed(now, call_number(1));
    }
    cr_assert(!first_stall(detector, now, now + 2s));
    cr_assert(first_stall(detector, now, now + 2s + 2 * step));
}

Test(stream_stall_detector, does_not_report_a_long_queue_in_any_order_as_a_stall)
{
    // Forty prompts of 100,000 tokens wait at once. The engine works at a quarter of the predicted speed and
    // processes the newest first, and a new one is submitted before each. The oldest gets its first token
    // last.
    stream_stall_detector detector({});
    std::vector<call_number> waiting;
    std::uint64_t next = 0;
    const auto submit = [&](instant now) {
        waiting.emplace_back(++next);
        detector.began(now, waiting.back(), 100'000);
    };
    while (next < 40) {
        submit(start);
    }
    auto now = start;
    while (!waiting.empty()) {
        const auto served = now + 16s + 100ms; // 100,000 tokens at 6,250 a second
        cr_assert(!first_stall(detector, now, served), "stall reported while %zu streams wait",
                  waiting.size());
        now = served;
        detector.progressed(now, waiting.back());
        detector.ended(waiting.back());
        waiting.pop_back();
        if (next < 60) {
            submit(now);
        }
    }
}

Test(stream_stall_detector, counts_queued_work_that_the_engine_reports)
{
    // A sidecar that has just started knows no streams; its engine reports 400,000 queued tokens.
    stream_stall_detector detector({});
    detector.reported(400'000, false);
    detector.began(start, call_number(1), 1'000);
    cr_assert(!first_stall(detector, start, after(8 * 16)));
    cr_assert(first_stall(detector, after(8 * 16), after(8 * 17)));
}

Test(stream_stall_detector, allows_a_cold_engine_more_time)
{
    stream_stall_detector detector({});
    detector.reported(0, true);
    detector.began(start, call_number(1), 10'000);
    cr_assert(!first_stall(detector, start, after(16.0)));
    cr_assert(first_stall(detector, after(16.0), after(16.1)));
}

Test(stream_stall_detector, does_not_judge_the_first_token_without_a_line)
{
    stream_stall_detector detector({});
    detector.began(start, call_number(1), 10'000);
    cr_assert(detector.silent(start + 500ms, std::nullopt).empty());
    cr_assert(detector.silent(start + 1s, std::nullopt).empty());
}

FAULT_CELL_MORE(request_stream, paused_wakes_late, own_pause_is_no_silence)
{
    // The sidecar is paused for a minute, and what its engine sent meanwhile is unread in its sockets.
    // Cutting off every stream on wake-up would cost each caller a resume.
    stream_stall_detector detector({});
    detector.began(start, call_number(1), 10'000);
    cr_assert(!first_stall(detector, start, after(1.0)));
    cr_assert(!first_stall(detector, after(61.0), after(63.5)));
    cr_assert(first_stall(detector, after(63.5), after(64.5)), "the time before the pause must still count");
}

FAULT_CELL_MORE(request_resume, connection_silent, given_up_and_cancelled)
{
    // When a stream stalls, the sidecar must report the lost attempt to the gateway at once, so that it
    // resumes, and cancel it at the engine over a separate connection.
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
    bool reported_lost = false;
    bool cancelled = false;
    for (auto now = start; now < start + 3s; now += step) {
        (void)core.step(now, sidecar_input::gateway_heartbeat{spec.gateway});
        for (const auto& action : core.step(now, sidecar_input::tick{})) {
            const auto* refused = std::get_if<sidecar_output::refuse_call>(&action);
            reported_lost =
                reported_lost || (refused != nullptr && refused->why.code == refusal_code::upstream_gone &&
                                  refused->why.ran == ran_state::unknown);
            cancelled = cancelled || std::holds_alternative<sidecar_output::cancel_stream>(action);
        }
    }
    cr_assert(reported_lost);
    cr_assert(cancelled);
}
