#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_forecast.h"
#include "dragonflymill/direct/dispatch_call.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/prefill_plan.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Forecasts of calls to one service, as corrected by observation.
struct forecast_corrections
{
    call_forecast whole;   ///< For prompts that one engine prefills.
    call_forecast divided; ///< For prompts that several engines prefill.

    friend auto operator==(const forecast_corrections&, const forecast_corrections&) -> bool = default;
};

/// Where a call is dispatched, or why it waits.
struct dispatch_decision
{
    std::optional<dispatch_choice> choice;      ///< Nothing while the call waits.
    wait_reason blocked_by = wait_reason::none; ///< Why the call waits.

    friend auto operator==(const dispatch_decision&, const dispatch_decision&) -> bool = default;
};

/// Chooses the upstream of a call to a plain service: the one with the fewest calls in flight, preferably in
/// the gateway's own failure domain among equals.
class plain_dispatch
{
public:
    /// Returns the choice; nothing while all upstreams are full.
    [[nodiscard]] auto choose(const call_requirements& call,
                              std::span<const dispatch_candidate> candidates) const -> dispatch_decision;
};

/// Chooses engines for prompts of different lengths.
///
/// An engine that prefills a long prompt delays every iteration of its streams, and short answers miss their
/// time between tokens (TBT) target. The engines are therefore partitioned: short prompts fill the first
/// engines of an order that all gateways share, as many as the short calls in flight need. Long prompts use
/// the engines behind that boundary and are prefilled in parts on many engines, which keeps the delay short
/// there too. The boundary is computed for each call and follows changes of the mix immediately. Half of the
/// engines that neither kind needs are added to the first ones: a short prompt on an engine with other
/// streams waits for their iteration and delays them by its prefill.
class engine_dispatch
{
public:
    /// `tightest_tbt_target` is the shortest TBT target of the streams of engines with this profile;
    /// `observed` corrects the forecasts of calls.
    engine_dispatch(const engine_profile& profile, duration tightest_tbt_target,
                    const forecast_corrections& observed = {});

    /// Returns the choice; nothing while the call should wait.
    [[nodiscard]] auto choose(const call_requirements& call,
                              std::span<const dispatch_candidate> candidates) const -> dispatch_decision;
    /// Returns whether a prompt counts as long: its prefill by one engine exceeds half of the tightest TBT
    /// target.
    [[nodiscard]] auto is_long(std::int64_t prompt_tokens) const -> bool;
    /// Returns whether a call has the tightest TBT target. Such a call is decoded in the short partition
    /// whatever its prompt's length.
    [[nodiscard]] auto is_latency_critical(const call_requirements& call) const -> bool;
    /// Returns the number of engines, from the first, that are reserved for short prompts.
    [[nodiscard]] auto short_partition_size(std::span<const dispatch_candidate> candidates) const
        -> std::size_t;

    /// Share of an engine's slots that short calls fill before the partition grows by an engine; the rest
    /// absorbs calls that other gateways placed since their last load report.
    static constexpr double short_fill = 0.75;
    /// Engines that are kept for long prompts, for each engine that these use now or that one more could use.
    static constexpr std::size_t long_headroom = 2;
    /// Forecasts are compared in steps of this length: a smaller difference is within their error, and the
    /// order of all gateways would send their next calls to the same engine.
    static constexpr duration forecast_step = 25ms;
    /// Target prefill time of a part, as a share of the tightest TBT target. Smaller parts use more engines,
    /// each of which first completes an iteration; larger ones delay the engines' streams.
    static constexpr double part_time_share = 0.6;

private:
    /// What decides between two engines for a short call; the smaller one is better.
    struct short_rank
    {
        bool misses_pause = false;  // its streams would wait too long for each event
        std::int64_t first_token{}; // in steps of `forecast_step`
        bool in_other_domain = false;
        std::uint64_t tie_breaker = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
        friend auto operator<=>(const short_rank&, const short_rank&) -> std::strong_ordering = default;
        friend auto operator==(const short_rank&, const short_rank&) -> bool = default;
    };

    [[nodiscard]] auto rank_for_short(const call_requirements& call, const dispatch_candidate& engine) const
        -> short_rank;
    [[nodiscard]] auto forecast_at(const dispatch_candidate& engine, std::int64_t prompt_tokens) const
        -> call_times;
    /// Returns the expected time to first token of a plan: that of its slowest engine.
    [[nodiscard]] auto first_token_of(const prefill_plan& plan) const -> duration;
    /// Returns the engines that the short partition gets beyond those that it requires.
    [[nodiscard]] static auto spare_for_short(std::size_t count, std::size_t required, int long_prompts)
        -> std::size_t;
    /// Returns how many slow engines the partition contains if it has `wanted` others; they add no capacity.
    [[nodiscard]] static auto slow_among_first(std::span<const dispatch_candidate> candidates,
                                               std::size_t wanted) -> std::size_t;
    [[nodiscard]] auto choose_short(const call_requirements& call,
                                    std::span<const dispatch_candidate> ordered, std::size_t boundary) const
        -> dispatch_decision;
    [[nodiscard]] auto choose_long(const call_requirements& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t boundary) const -> dispatch_decision;
    [[nodiscard]] auto target_part_time() const -> duration;

    engine_forecast forecast_;
    duration tightest_tbt_target_;
    forecast_corrections observed_;
};

/// Sorts candidates into the order that all gateways share.
void sort_for_partition(std::vector<dispatch_candidate>& candidates);

} // namespace dragonflymill::direct
