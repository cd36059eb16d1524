#include "serve/gateway_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::fixture;

namespace {

const refusal cold{refusal_code::upstream_cold, ran_state::no, 700ms, ""};

/// A caller that has two tokens of its answer; the engine that gave them was lost, and the next one is asked.
struct resumed_answer
{
    gateway_core core{start, options()};
    gateway_output::open_attempt first;
    gateway_output::open_attempt second;

    resumed_answer()
    {
        adopt(core, small_bundle());
        first = open(core, 1);
        feed(core, start, gateway_input::attempt_granted{first.key});
        feed(core, start, gateway_input::attempt_tokens{first.key, 0, {"a", "b"}});
        second = *find<gateway_output::open_attempt>(core.step(start, lost(first.key)));
        cr_assert(second.spec.resume_offset == 2);
    }

    /// The rest comes from a try; the answer must be whole.
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
    // The word that an engine is lost comes twice, from its link and from its heartbeat. The answer must be
    // resumed once: a second try beside the first would cost an engine its prefill for nothing.
    resumed_answer story;
    const auto again = story.core.step(start, lost(story.first.key));
    cr_assert(find<gateway_output::open_attempt>(again) == nullptr);
    cr_assert(find<gateway_output::cancel_attempt>(again) == nullptr);
    story.finish(story.second.key, start);
}

FAULT_CELL(request_resume, message_late)
{
    // The grant of the try that was given up comes late. Its prompt would start work for nobody; it is
    // cancelled, and the try that took its place goes on.
    resumed_answer story;
    const auto late = story.core.step(start + 1s, gateway_input::attempt_granted{story.first.key});
    cr_assert(find<gateway_output::send_prompt>(late) == nullptr);
    cr_assert(find<gateway_output::cancel_attempt>(late)->key == story.first.key);
    story.finish(story.second.key, start + 1s);
}

FAULT_CELL(request_resume, message_reordered)
{
    // The tokens behind the resume come in the wrong order, the end first. The caller reads them in order and
    // gets its end after the last.
    resumed_answer story;
    auto& core = story.core;
    const auto end = core.step(start, gateway_input::attempt_finished{story.second.key, 4, "stop"});
    cr_assert(find<gateway_output::finish>(end) == nullptr);
    const auto ahead = core.step(start, gateway_input::attempt_tokens{story.second.key, 3, {"d"}});
    cr_assert(find<gateway_output::deliver>(ahead) == nullptr);
    const auto gap = core.step(start, gateway_input::attempt_tokens{story.second.key, 2, {"c"}});
    cr_assert(find<gateway_output::deliver>(gap)->offset == 2);
    cr_assert(find<gateway_output::finish>(gap)->tokens == 4);
}

FAULT_CELL(request_resume, message_lost)
{
    // Tokens behind the resume are lost on their way and later ones come. The hole doesn't close: after a
    // while the answer is resumed once more from the caller's last token, and the try with the hole is ended.
    resumed_answer story;
    auto& core = story.core;
    feed(core, start, gateway_input::attempt_granted{story.second.key});
    feed(core, start, gateway_input::attempt_tokens{story.second.key, 4, {"e"}});
    const auto waited = core.step(start + 3s, gateway_input::tick{});
    cr_assert(find<gateway_output::cancel_attempt>(waited)->key == story.second.key);
    const auto* third = find<gateway_output::open_attempt>(waited);
    cr_assert(third != nullptr);
    cr_assert(third->spec.resume_offset == 2);
    story.finish(third->key, start + 3s);
}

FAULT_CELL(request_resume, connection_silent)
{
    // The connection on which an answer is resumed goes silent: neither grant nor end comes. The caller must
    // not wait beyond its limit; it is told that the request may have run, and the silent try is cancelled.
    resumed_answer story;
    cr_assert(find<gateway_output::refuse>(story.core.step(start + 9s, gateway_input::tick{})) == nullptr);
    const auto over = story.core.step(start + 10s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::refuse>(over)->why.ran == ran_state::unknown);
    cr_assert(find<gateway_output::cancel_attempt>(over)->key == story.second.key);
    cr_assert(story.core.in_flight() == 0);
}

FAULT_CELL(request_resume, partition)
{
    // A gateway is cut off from all sidecars in the middle of an answer. The caller gets its final word at
    // once, that part of it ran, and when to come back; it isn't left with an open stream until its limit.
    resumed_answer story;
    for (std::uint64_t i = 1; i <= engine_count; ++i) {
        feed(story.core, start,
             gateway_input::upstream_changed{upstream_id("e" + std::to_string(i)), upstream_state::dead});
    }
    auto actions = story.core.step(start + 1s, lost(story.second.key));
    auto now = start + 1s;
    while (find<gateway_output::refuse>(actions) == nullptr && now < start + 4s) {
        now += 10ms;
        actions = story.core.step(now, gateway_input::tick{});
    }
    cr_assert(find<gateway_output::refuse>(actions) != nullptr, "before its limit of ten seconds");
    cr_assert(find<gateway_output::refuse>(actions)->why.ran == ran_state::unknown);
    cr_assert(find<gateway_output::refuse>(actions)->why.retry_after > duration::zero());
    cr_assert(story.core.in_flight() == 0);
}

FAULT_CELL(request_resume, host_list_lags)
{
    // The host list still shows an engine whose host is gone. The resume goes there, breaks before a byte of
    // the prompt left, and goes on at the third engine behind the same token.
    resumed_answer story;
    const auto again = story.core.step(start, gateway_input::attempt_broken{story.second.key, false});
    const auto* third = find<gateway_output::open_attempt>(again);
    cr_assert(third != nullptr);
    cr_assert(third->upstream != story.first.upstream);
    cr_assert(third->upstream != story.second.upstream);
    cr_assert(third->spec.resume_offset == 2);
    story.finish(third->key, start);
}

FAULT_CELL(request_resume, upstream_cold)
{
    // An answer's engine is lost and the others are cold. The resume is refused there as not run; it is tried
    // again, and if it is given up the caller hears "may have run": it has a part of the answer.
    resumed_answer story;
    auto& core = story.core;
    auto now = start;
    auto actions = core.step(now, gateway_input::attempt_refused{story.second.key, cold});
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
    // The sidecar's grant is lost on its way: the gateway never sends the prompt. At its limit the caller is
    // told so, and the try is cancelled, so that the permit is given back.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto opened = open(core, 1);
    const auto over = core.step(start + 10s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::cancel_attempt>(over)->key == opened.key);
}

FAULT_CELL(request_dispatch, message_reordered)
{
    // The first tokens overtake the word that the try was granted. They are the caller's all the same.
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
    // A caller leaves, and its connection is reported gone once more. The try is cancelled once; the second
    // report must not end another caller's.
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
    // A caller leaves in the moment in which its engine is lost. No second engine may begin work for it, in
    // whichever order the two are heard.
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
