#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/dispatch_call.h"
#include "dragonflymill/direct/engine_forecast.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace dragonflymill::direct {

/// Engines for the prefill and decode of one long prompt, with the utility and the cost of using them.
struct prefill_plan
{
    const dispatch_candidate* decode_engine = nullptr; ///< Answers the call; never null in a returned plan.
    std::int64_t decode_memory_tokens = 0;             ///< KV cache used at `decode_engine`, in tokens.
    std::vector<prefill_share> prefill_engines;        ///< Other engines, each with a part of the prefill.
    duration part_time{};                              ///< Prefill time at each engine of the plan.
    duration backlog{};                                ///< Longest pending prefill at any of its engines.
    double slowdown = 1.0;                             ///< Largest slowdown of any of its engines.
    double cost = 0.0;                                 ///< Utility lost by streams that the prefill delays.
    double utility = 0.0;                              ///< Utility of the call if it is served by this plan.

    /// Expected time to first token.
    [[nodiscard]] auto first_token() const -> duration { return scaled(backlog + part_time, slowdown); }
    friend auto operator==(const prefill_plan&, const prefill_plan&) -> bool = default;
};

/// Selects the engines that prefill one long prompt.
///
/// A prefill part that runs on an engine with active streams lengthens each of their iterations by the part's
/// time. Every plan is therefore rated by the call's utility less the utility of the streams that would miss
/// their time between tokens (TBT) target. Prefilled by one engine that decodes ten streams, a prompt of
/// 200,000 tokens takes three seconds and all ten miss their target; in nine parts on engines with short
/// iterations none does. Compared with a fixed bound on the prefill beside streams and the first engine
/// with capacity as decode engine, this halves the utility lost by missed TBT targets.
class prefill_planner
{
public:
    /// `ordered` holds the engines in the order that all gateways share; `target_part_time` is the prefill
    /// time that one engine should get at most. `forecast`, `call` and `ordered` must outlive the planner.
    prefill_planner(const engine_forecast& forecast, duration target_part_time, const call_requirements& call,
                    std::span<const dispatch_candidate> ordered);

    /// Returns the best plan with a decode engine from `side`, or from all engines if none of `side` has
    /// capacity; nothing if no engine has. A plan that can start now is preferred to one that has to wait,
    /// unless waiting yields a sufficiently earlier first token: eight idle engines are used rather than
    /// sixteen of which two have a long backlog. The fallback to all engines serves the largest prompts: a
    /// burst of short prompts can leave one engine in `side`, whose memory is too small for them.
    [[nodiscard]] auto best(std::span<const dispatch_candidate> side) const -> std::optional<prefill_plan>;
    /// Returns the best plan with the given decode engine.
    [[nodiscard]] auto best_for(const dispatch_candidate& decode_engine) const -> prefill_plan;
    /// Returns whether the plan's utility justifies its cost now. A call with all its time left accepts
    /// little cost; the accepted cost grows with the time used, up to the plan's whole utility.
    [[nodiscard]] auto acceptable(const prefill_plan& plan) const -> bool;
    /// Returns why the plan must not start now, or `wait_reason::none`.
    [[nodiscard]] auto reason_to_wait(const prefill_plan& plan) const -> wait_reason;
    /// Returns the prefill time with as many engines as one prompt may use.
    [[nodiscard]] auto fastest_prefill_time() const -> duration;

    /// Prompt tokens per unit of utility. Each call has one unit, plus one for this many prompt tokens,
    /// because engine operators charge by token: 200,000 tokens count as much as twenty short prompts.
    static constexpr double tokens_per_utility = 10'000.0;
    /// Share of a call's utility that remains if its answer misses the target.
    static constexpr double late_utility_share = 0.25;
    /// A stream begins to count as delayed when its iteration time reaches this share of its TBT target,
    /// because parts from other gateways may arrive in the same iteration. From `tbt_cost_full` on, the
    /// target is taken as missed. With a smaller share prompts wait for idle engines; with a larger one
    /// coinciding parts break TBT targets.
    static constexpr double tbt_cost_begins = 0.88;
    static constexpr double tbt_cost_full = 1.05;
    /// The same two bounds for the call's own time to first token (TTFT), as shares of its target.
    static constexpr double ttft_late_begins = 0.85;
    static constexpr double ttft_late_full = 1.05;
    /// The first token must arrive within this share of the time until the client's timeout; otherwise the
    /// plan has no utility, because the client may have disconnected.
    static constexpr double client_timeout_share = 0.7;
    /// Maximum backlog of a plan's engines. With more, the call stays queued in the gateway, from where it
    /// can still go to the engine that gets capacity first.
    static constexpr duration max_backlog = 120ms;
    /// The same for calls that have missed their target already: they must not delay other calls.
    static constexpr duration max_backlog_when_late = 60ms;
    /// Maximum number of engines per prompt that the engines allow.
    static constexpr std::size_t max_prefill_engines = 16;
    /// A new call starts at once if that yields its first token no later than the best plan, which has to
    /// wait. The forecast of that wait ignores competing calls, so a call that has waited for a share `s` of
    /// its target accepts a time to first token that is longer by the factor 1 + `s` times this value.
    static constexpr double slowdown_per_waited_share = 4.0;
    /// Maximum share of all engines for one prompt. The largest prompts take seconds on any number of
    /// engines, and a burst of short prompts needs free engines meanwhile.
    static constexpr double max_prefill_engine_share = 0.7;

private:
    /// The decode engine of a call, and further engines that reserve a share of its KV cache.
    struct decode_choice
    {
        const dispatch_candidate* engine = nullptr;
        std::int64_t tokens = 0;
        std::vector<prefill_share> reserved_shares;
    };
    /// An engine that may take a prefill part, with all values that don't depend on the part's length.
    struct prefill_candidate
    {
        const dispatch_candidate* engine = nullptr;
        duration time_before_part{}; // its pending prefill and one iteration
        double streams_cost = 0.0;   // if all its streams miss their TBT target
        std::int64_t backlog_steps = 0;
        std::uint64_t tie_breaker = 0;
    };
    struct ranked_candidate
    {
        const dispatch_candidate* engine = nullptr;
        double cost = 0.0;
        std::int64_t backlog_steps = 0;
        std::uint64_t tie_breaker = 0;
    };

    /// The best plan, and the best of those that can start now.
    struct plan_choice
    {
        prefill_plan best;
        std::optional<prefill_plan> immediate;
    };

    /// A number of engines for the prefill, and the candidates for it in order of preference. Computed once
    /// per call and shared by all decode engines that are considered.
    struct prefill_option
    {
        std::size_t engines = 1;
        duration part_time{};
        std::vector<ranked_candidate> candidates;
    };

    /// Decides between the best plan and the best immediate plan.
    [[nodiscard]] auto choose_plan(plan_choice found) const -> prefill_plan;
    [[nodiscard]] auto decode_choices(std::span<const dispatch_candidate> side) const
        -> std::vector<decode_choice>;
    /// Combines the fewest engines that together have enough memory for the call.
    [[nodiscard]] auto memory_gang(std::span<const dispatch_candidate> side) const
        -> std::optional<decode_choice>;
    [[nodiscard]] auto can_decode(const dispatch_candidate& engine, std::int64_t tokens) const -> bool;
    [[nodiscard]] auto plan_for(const decode_choice& decode, const std::vector<prefill_option>& options) const
        -> plan_choice;
    /// The plan without prefill engines beyond those that reserve memory.
    [[nodiscard]] auto smallest_plan(const decode_choice& decode) const -> prefill_plan;
    [[nodiscard]] auto plan_with(const decode_choice& decode, const prefill_option& option) const
        -> std::optional<prefill_plan>;
    [[nodiscard]] auto base_plan(const decode_choice& decode, duration part_time) const -> prefill_plan;
    /// Adds what an engine contributes to the backlog and the slowdown of a plan.
    static void add_engine(prefill_plan& plan, const dispatch_candidate& engine);
    [[nodiscard]] static auto is_chosen(const decode_choice& decode, const dispatch_candidate& engine)
        -> bool;
    [[nodiscard]] auto prefill_options() const -> std::vector<prefill_option>;
    [[nodiscard]] auto prefill_candidates() const -> std::vector<prefill_candidate>;
    [[nodiscard]] static auto ranked(const std::vector<prefill_candidate>& candidates, duration part_time)
        -> std::vector<ranked_candidate>;
    [[nodiscard]] auto to_prefill_candidate(const dispatch_candidate& engine) const -> prefill_candidate;
    [[nodiscard]] static auto cost_at(const prefill_candidate& candidate, duration part_time) -> double;
    [[nodiscard]] auto utility_of(duration first_token) const -> double;
    [[nodiscard]] auto call_utility() const -> double;
    [[nodiscard]] auto target_engine_count() const -> std::size_t;
    [[nodiscard]] auto max_engine_count() const -> std::size_t;
    [[nodiscard]] auto find(const std::string& id) const -> const dispatch_candidate&;

    const engine_forecast& forecast_;
    duration target_part_time_;
    const call_requirements& call_;
    std::span<const dispatch_candidate> ordered_;
};

} // namespace dragonflymill::direct
