#include "serve/gateway_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::fixture;

namespace {

const refusal cold{refusal_code::upstream_cold, ran_state::no, 700ms, ""};

/// A request that delivered two tokens, lost its engine, and has its second attempt open.
struct resumed_request
{
    gateway_core core{start, options()};
    gateway_output::open_attempt first;
    gateway_output::open_attempt second;

    resumed_request()
    {
        adopt(core, small_bundle());
        first = open(core, 1);
        feed(core, start, gateway_input::attempt_granted{first.key});
        feed(core, start, gateway_input::attempt_tokens{first.key, 0, {"a", "b"}});
        second = *find<gateway_output::open_attempt>(core.step(start, lost(first.key)));
        cr_assert(second.spec.resume_offset == 2);
    }

    /// Delivers the rest from an attempt and checks that the answer is complete.
    void finish(const attempt_key& key, instant now)
    {
        const auto rest = core.step(now, gateway_input::attempt_tokens{key, 2, {"c"}});
        cr_assert(find<gateway_output::deliver>(rest)->offset == 2);
        const auto ended = core.step(now, gateway_input::attempt_finished{key, 3, "stop"});
        cr_assert(find<gateway_output::finish>(ended)->tokens == 3);
        cr_assert(core.in_flight() == 0);
    }
};

} // namespace

FAULT_CELL(request_resume, message_doubled)
{
    // The loss of an engine is reported twice, by its link and by its heartbeat. The answer must be resumed
    // once: a second attempt in parallel would waste an engine's prefill.
    resumed_request scenario;
    const auto again = scenario.core.step(start, lost(scenario.first.key));
    cr_assert(find<gateway_output::open_attempt>(again) == nullptr);
    cr_assert(find<gateway_output::cancel_attempt>(again) == nullptr);
    scenario.finish(scenario.second.key, start);
}

FAULT_CELL(request_resume, message_late)
{
    // The grant of an abandoned attempt arrives late. Its prompt would start work that nobody waits for, so
    // it must be cancelled while the next attempt continues.
    resumed_request scenario;
    const auto late = scenario.core.step(start + 1s, gateway_input::attempt_granted{scenario.first.key});
    cr_assert(find<gateway_output::send_prompt>(late) == nullptr);
    cr_assert(find<gateway_output::cancel_attempt>(late)->key == scenario.first.key);
    scenario.finish(scenario.second.key, start + 1s);
}

FAULT_CELL(request_resume, message_reordered)
{
    // Tokens after a resume arrive out of order, the end first. The caller must receive them in order, and
    // the end after the last token.
    resumed_request scenario;
    auto& core = scenario.core;
    const auto end = core.step(start, gateway_input::attempt_finished{scenario.second.key, 4, "stop"});
    cr_assert(find<gateway_output::finish>(end) == nullptr);
    const auto ahead = core.step(start, gateway_input::attempt_tokens{scenario.second.key, 3, {"d"}});
    cr_assert(find<gateway_output::deliver>(ahead) == nullptr);
    const auto gap = core.step(start, gateway_input::attempt_tokens{scenario.second.key, 2, {"c"}});
    cr_assert(find<gateway_output::deliver>(gap)->offset == 2);
    cr_assert(find<gateway_output::finish>(gap)->tokens == 4);
}

FAULT_CELL(request_resume, message_lost)
{
    // Tokens after a resume are lost and later ones arrive. If the gap stays open, the answer must be resumed
    // from the last delivered token, and the attempt with the gap cancelled.
    resumed_request scenario;
    auto& core = scenario.core;
    feed(core, start, gateway_input::attempt_granted{scenario.second.key});
    feed(core, start, gateway_input::attempt_tokens{scenario.second.key, 4, {"e"}});
    const auto waited = core.step(start + 3s, gateway_input::tick{});
    cr_assert(find<gateway_output::cancel_attempt>(waited)->key == scenario.second.key);
    const auto* third = find<gateway_output::open_attempt>(waited);
    cr_assert(third != nullptr);
    cr_assert(third->spec.resume_offset == 2);
    scenario.finish(third->key, start + 3s);
}

FAULT_CELL(request_resume, connection_silent)
{
    // The connection of a resumed answer goes silent: neither a grant nor an end arrives. The caller must not
    // wait beyond its time limit; it is refused as possibly run, and the silent attempt is cancelled.
    resumed_request scenario;
    cr_assert(find<gateway_output::refuse>(scenario.core.step(start + 9s, gateway_input::tick{})) == nullptr);
    const auto over = scenario.core.step(start + 10s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::refuse>(over)->why.ran == ran_state::unknown);
    cr_assert(find<gateway_output::cancel_attempt>(over)->key == scenario.second.key);
    cr_assert(scenario.core.in_flight() == 0);
}

FAULT_CELL(request_resume, partition)
{
    // A gateway is cut off from all sidecars in the middle of an answer. The caller must be refused at once
    // as possibly run with a time to retry after, instead of keeping an open stream until its time limit.
    resumed_request scenario;
    for (std::uint64_t i = 1; i <= engine_count; ++i) {
        feed(scenario.core, start,
             gateway_input::upstream_changed{upstream_id("e" + std::to_string(i)), upstream_state::dead});
    }
    auto actions = scenario.core.step(start + 1s, lost(scenario.second.key));
    auto now = start + 1s;
    while (find<gateway_output::refuse>(actions) == nullptr && now < start + 4s) {
        now += 10ms;
        actions = scenario.core.step(now, gateway_input::tick{});
    }
    cr_assert(find<gateway_output::refuse>(actions) != nullptr,
              "must be refused before its time limit of ten seconds");
    cr_assert(find<gateway_output::refuse>(actions)->why.ran == ran_state::unknown);
    cr_assert(find<gateway_output::refuse>(actions)->why.retry_after > duration::zero());
    cr_assert(scenario.core.in_flight() == 0);
}

FAULT_CELL(request_resume, host_list_lags)
{
    // The host list still contains an engine whose host is gone. The resume goes there and breaks before a
    // byte of the prompt was sent; it must continue at the third engine from the same token.
    resumed_request scenario;
    const auto again = scenario.core.step(start, gateway_input::attempt_broken{scenario.second.key, false});
    const auto* third = find<gateway_output::open_attempt>(again);
    cr_assert(third != nullptr);
    cr_assert(third->upstream != scenario.first.upstream);
    cr_assert(third->upstream != scenario.second.upstream);
    cr_assert(third->spec.resume_offset == 2);
    scenario.finish(third->key, start);
}

FAULT_CELL(request_resume, upstream_cold)
{
    // An answer's engine is lost and the others are cold. They refuse the resume as "not run"; it must be
    // retried, and if it is given up the refusal must be "unknown", since a part of the answer was delivered.
    resumed_request scenario;
    auto& core = scenario.core;
    auto now = start;
    auto actions = core.step(now, gateway_input::attempt_refused{scenario.second.key, cold});
    while (find<gateway_output::refuse>(actions) == nullptr && now < start + 10s) {
        const auto* opened = find<gateway_output::open_attempt>(actions);
        now += 10ms;
        actions = opened != nullptr ? core.step(now, gateway_input::attempt_refused{opened->key, cold})
                                    : core.step(now, gateway_input::tick{});
    }
    cr_assert(find<gateway_output::refuse>(actions)->why.ran == ran_state::unknown);
    cr_assert(find<gateway_output::refuse>(actions)->why.retry_after >= 700ms);
    cr_assert(core.in_flight() == 0);
}

FAULT_CELL(request_dispatch, message_lost)
{
    // The sidecar's grant is lost, so the prompt is never sent. At the time limit the caller must be refused
    // and the attempt cancelled, so that its permit is released.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto opened = open(core, 1);
    const auto over = core.step(start + 10s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::cancel_attempt>(over)->key == opened.key);
}

FAULT_CELL(request_dispatch, message_reordered)
{
    // The first tokens overtake the grant of their attempt. They must be delivered nevertheless.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto opened = open(core, 1);
    const auto tokens = core.step(start, gateway_input::attempt_tokens{opened.key, 0, {"a"}});
    cr_assert(find<gateway_output::deliver>(tokens)->offset == 0);
    feed(core, start, gateway_input::attempt_granted{opened.key});
    const auto ended = core.step(start, gateway_input::attempt_finished{opened.key, 1, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
}

FAULT_CELL(request_cancel, same_twice)
{
    // A caller's disconnect is reported twice. Its attempt must be cancelled once, and the second report must
    // not end another caller's attempt.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = open(core, 1);
    open(core, 2);
    const auto left = core.step(start, gateway_input::caller_left{exchange_number(1)});
    cr_assert(find<gateway_output::cancel_attempt>(left)->key == first.key);
    cr_assert(core.step(start, gateway_input::caller_left{exchange_number(1)}).empty());
    cr_assert(core.in_flight() == 1);
}

FAULT_CELL(request_cancel, two_faults)
{
    // A caller disconnects at the moment its engine is lost. No second engine may begin work for it, in
    // whichever order the two events arrive.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = open(core, 1);
    feed(core, start, gateway_input::caller_left{exchange_number(1)});
    cr_assert(find<gateway_output::open_attempt>(core.step(start, lost(first.key))) == nullptr);
    const auto second = open(core, 2);
    const auto again = core.step(start, lost(second.key));
    const auto key = find<gateway_output::open_attempt>(again)->key;
    const auto left = core.step(start, gateway_input::caller_left{exchange_number(2)});
    cr_assert(find<gateway_output::cancel_attempt>(left)->key == key);
    cr_assert(find<gateway_output::open_attempt>(core.step(start + 5s, gateway_input::tick{})) == nullptr);
    cr_assert(core.in_flight() == 0);
}
