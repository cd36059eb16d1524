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

/// How a long prompt would be read, and what that would do to others.
struct prefill_plan
{
    const dispatch_candidate* writer = nullptr; ///< Answers the call; never null in a plan that was returned.
    std::int64_t writer_tokens = 0;             ///< Memory filled at `writer`.
    std::vector<helper_share> helpers;          ///< Read a part each.
    duration part{};                            ///< Reading at each of the engines.
    duration backlog{};                         ///< What the busiest of them has to read before.
    double cost = 0.0;                          ///< Worth of the streams that the reading makes late.
    double benefit = 0.0;                       ///< Worth of the call if it is read so.

    /// Expected until the first token.
    [[nodiscard]] auto first_token() const -> duration { return backlog + part; }
    friend auto operator==(const prefill_plan&, const prefill_plan&) -> bool = default;
};

/// Finds the engines that read one long prompt.
///
/// Load that it answers: long prompts arrive while all engines write short streams, or streams with other
/// pause aims. Reading a part beside streams lengthens their pass by the part. Each plan is weighed by the
/// worth that it earns, less the worth of the streams whose pause it lengthens beyond their aim. Read alone
/// at an engine with ten streams, a prompt of 200,000 tokens takes three seconds and makes all ten late; in
/// nine parts at engines with empty passes it makes none late. Against a fixed bound of reading beside
/// streams, with the first engine that has room as the writer, weighing earns 0.713 instead of 0.700 of all
/// worth, and half of the loss by broken pauses (48 plays of four deployments).
class prefill_planner
{
public:
    /// For a call and engines in the order that all gateways share; `wanted_part` is the reading that an
    /// engine should get at most. All must outlive the planner.
    prefill_planner(const engine_forecast& forecast, duration wanted_part, const call_shape& call,
                    std::span<const dispatch_candidate> ordered);

    /// The best plan with a writer among `side`, or among all if none of those has room; nothing if none has.
    /// A plan that may begin now goes before one that has to wait, unless the wait is worth it: eight idle
    /// engines rather than sixteen of which two read for long. A burst of short prompts leaves one engine to
    /// the long ones, whose memory the largest prompts exceed.
    [[nodiscard]] auto best(std::span<const dispatch_candidate> side) const -> std::optional<prefill_plan>;
    /// The best plan for a writer that is chosen already.
    [[nodiscard]] auto best_for(const dispatch_candidate& writer) const -> prefill_plan;
    /// Whether a plan is worth its cost now, rather than that the call waits for a better one: a call with
    /// all its time left accepts little cost, one that waited accepts up to what it is worth.
    [[nodiscard]] auto acceptable(const prefill_plan& plan) const -> bool;
    /// Why a plan should not begin now; none if it may.
    [[nodiscard]] auto obstacle_to(const prefill_plan& plan) const -> wait_reason;
    /// Time to read the prompt at as many engines as may read it together.
    [[nodiscard]] auto fastest() const -> duration;

    /// Worth of a call: a short one counts one, and each so many tokens of prompt one more. Operators of
    /// engines charge by token; a document of 200,000 tokens counts as twenty questions.
    static constexpr double tokens_per_worth = 10'000.0;
    /// Part of its worth that a late answer keeps.
    static constexpr double late_worth = 0.25;
    /// A pass begins to be too long for a stream at this share of its pause aim: parts of other gateways may
    /// arrive in the same pass. From `cost_full` on, the stream is taken to be late. Served worth of four
    /// deployments with 0.7, 0.8, 0.88 and 0.95 here: 0.728, 0.734, 0.739 and 0.735 (48 plays each, noise
    /// 0.004): below, prompts wait for engines that are idle; above, parts that meet break pauses.
    static constexpr double cost_begins = 0.88;
    static constexpr double cost_full = 1.05;
    /// The same for a call's own first token and its aim.
    static constexpr double late_begins = 0.85;
    static constexpr double late_full = 1.05;
    /// A caller that may leave is not served: the first token is to come within this share of its time.
    static constexpr double stay_share = 0.7;
    /// Long calls wait in the gateway while the engines that they would use have this much to read: a call
    /// that waits here can still go where room comes first.
    static constexpr duration max_backlog = 120ms;
    /// The same for calls that are late already, so that they don't make others late.
    static constexpr duration max_backlog_when_late = 60ms;
    /// Engines that read one prompt together at most, as the engines allow.
    static constexpr std::size_t max_readers = 16;
    /// A call that has just come takes a plan that may begin now if its first token comes no later than by
    /// the best plan, for which it would wait. That forecast leaves out what others wait for: with each share
    /// of its aim that has gone in vain, the call takes one that is longer by so many times that share.
    static constexpr double longer_by_wait = 4.0;
    /// Share of all engines that one prompt is read by at most: the largest takes seconds wherever it is
    /// read, and a burst of short prompts in that time must find engines without it.
    static constexpr double reader_share = 0.7;

private:
    /// The engine that answers a call, and those that hold a part of its prompt.
    struct writer_choice
    {
        const dispatch_candidate* engine = nullptr;
        std::int64_t tokens = 0;
        std::vector<helper_share> holders;
    };
    /// An engine that may help, with what doesn't depend on the length of its part.
    struct able_reader
    {
        const dispatch_candidate* engine = nullptr;
        duration before{};         // its reading and its pass, before the part
        double streams_cost = 0.0; // if all its streams become late
        std::int64_t backlog_steps = 0;
        std::uint64_t spread = 0;
    };
    struct ranked_reader
    {
        const dispatch_candidate* engine = nullptr;
        double cost = 0.0;
        std::int64_t backlog_steps = 0;
        std::uint64_t spread = 0;
    };

    /// The best plan, and the best of those that may begin now.
    struct plan_choice
    {
        prefill_plan best;
        std::optional<prefill_plan> now;
    };

    /// So many readers of a prompt, and the engines that may help, the best first. Worked out once for all
    /// writers that are tried.
    struct readers_option
    {
        std::size_t readers = 1;
        duration part{};
        std::vector<ranked_reader> able;
    };

    /// The plan that a call takes of two.
    [[nodiscard]] auto chosen_of(plan_choice found) const -> prefill_plan;
    [[nodiscard]] auto writers(std::span<const dispatch_candidate> side) const -> std::vector<writer_choice>;
    [[nodiscard]] auto memory_gang(std::span<const dispatch_candidate> side) const
        -> std::optional<writer_choice>;
    [[nodiscard]] auto may_write(const dispatch_candidate& engine, std::int64_t tokens) const -> bool;
    [[nodiscard]] auto plan_for(const writer_choice& writer, const std::vector<readers_option>& options) const
        -> plan_choice;
    [[nodiscard]] auto plan_alone(const writer_choice& writer) const -> prefill_plan;
    [[nodiscard]] auto plan_with(const writer_choice& writer, const readers_option& option) const
        -> std::optional<prefill_plan>;
    [[nodiscard]] auto begin_plan(const writer_choice& writer, duration part) const -> prefill_plan;
    [[nodiscard]] static auto is_chosen(const writer_choice& writer, const dispatch_candidate& engine)
        -> bool;
    [[nodiscard]] auto readers_options() const -> std::vector<readers_option>;
    [[nodiscard]] auto able_readers() const -> std::vector<able_reader>;
    [[nodiscard]] static auto ranked(const std::vector<able_reader>& able, duration part)
        -> std::vector<ranked_reader>;
    [[nodiscard]] auto able_of(const dispatch_candidate& engine) const -> able_reader;
    [[nodiscard]] static auto cost_at(const able_reader& reader, duration part) -> double;
    [[nodiscard]] auto benefit_of(duration first_token) const -> double;
    [[nodiscard]] auto worth() const -> double;
    [[nodiscard]] auto wanted_readers() const -> std::size_t;
    [[nodiscard]] auto most_readers() const -> std::size_t;
    [[nodiscard]] auto find(const std::string& id) const -> const dispatch_candidate&;

    const engine_forecast& forecast_;
    duration wanted_part_;
    const call_shape& call_;
    std::span<const dispatch_candidate> ordered_;
};

} // namespace dragonflymill::direct
