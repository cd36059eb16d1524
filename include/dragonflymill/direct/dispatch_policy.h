#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/dispatch_call.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/prefill_plan.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Where a call goes, or why it waits.
struct dispatch_decision
{
    std::optional<dispatch_choice> choice;    ///< Nothing while it waits.
    wait_reason obstacle = wait_reason::none; ///< What it waits for.

    friend auto operator==(const dispatch_decision&, const dispatch_decision&) -> bool = default;
};

/// Chooses the upstream of a plain call: the one with the least work in hand, in the gateway's own failure
/// domain among equals.
class plain_dispatch
{
public:
    /// The choice; nothing while all are full.
    [[nodiscard]] auto choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
        -> dispatch_decision;
};

/// Chooses engines for prompts of unlike lengths.
///
/// An engine that reads a long prompt beside streams holds each of their passes up by the reading, so that
/// short answers miss their pause aim. The engines are therefore parted: short prompts fill the first ones of
/// an order that all gateways share, as many as the short calls in hand need; long prompts are read behind
/// that partition boundary, in parts at many engines at once, so that no pass there is held up for long
/// either. The partition boundary is worked out anew for each call and so follows the mix at once.
class engine_dispatch
{
public:
    /// For engines with these figures; `tightest_tbt_target` is the shortest pause aim of their streams.
    engine_dispatch(const engine_profile& figures, duration tightest_tbt_target);

    /// The choice; nothing while the call had better wait.
    [[nodiscard]] auto choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
        -> dispatch_decision;
    /// Whether a prompt counts as long: reading it alone takes over half of the tightest pause.
    [[nodiscard]] auto is_long(std::int64_t prompt_tokens) const -> bool;
    /// Whether a call's stream bears no longer pauses than the tightest ones, so that it is written on the
    /// short side whatever its length.
    [[nodiscard]] auto is_tight(const call_shape& call) const -> bool;
    /// Engines of the first ones that are kept for short prompts.
    [[nodiscard]] auto short_partition(std::span<const dispatch_candidate> candidates) const -> std::size_t;

    /// Share of an engine's slots that short calls fill before the next engine is taken: the rest absorbs
    /// what other gateways placed since they last reported.
    static constexpr double short_fill = 0.75;
    /// A prompt is read in parts of about this share of the tightest pause: smaller parts reach more engines
    /// and each waits for the end of a pass there, larger ones hold up what the engines write meanwhile.
    static constexpr double part_share = 0.6;

private:
    [[nodiscard]] auto choose_short(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                    std::size_t boundary) const -> dispatch_decision;
    [[nodiscard]] auto choose_long(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t boundary) const -> dispatch_decision;
    [[nodiscard]] auto wanted_part() const -> duration;

    engine_forecast forecast_;
    duration tightest_pause_;
};

/// Puts candidates into the order that all gateways share.
void sort_for_partition(std::vector<dispatch_candidate>& candidates);

} // namespace dragonflymill::direct
