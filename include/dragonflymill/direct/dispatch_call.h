#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_forecast.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/upstream_speeds.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Properties of a call that decide where it is dispatched.
struct call_requirements
{
    std::int64_t prompt_tokens = 0;    ///< 0 for plain services.
    std::int64_t answer_tokens = 0;    ///< Maximum length of the answer.
    duration tbt_target{};             ///< Longest time between two events of the answer; 0: no target.
    duration time_to_client_timeout{}; ///< Left until the client disconnects without an answer.
    duration time_to_target{};         ///< Left until the latency target is missed; negative afterwards.
    std::string failure_domain;        ///< Domain of this gateway; preferred among equals.
    /// Differs from call to call and puts equal upstreams into a different order for each. Load digests are
    /// some hundred milliseconds old, so gateways with a common order would all choose the same idle one.
    std::uint64_t tie_breaker = 0;
    duration latency_target{}; ///< From arrival to the first token; 0: taken as `time_to_target`.

    friend auto operator==(const call_requirements&, const call_requirements&) -> bool = default;
};

/// Why a call isn't dispatched now.
enum class wait_reason
{
    none,                ///< It can be dispatched.
    full,                ///< No upstream has a free slot.
    no_engine,           ///< No engine has a free slot and enough memory.
    few_prefill_engines, ///< The free engines would miss its target; with all engines it could be met.
    backlog,             ///< The engines that would prefill it have other prompts pending.
    cost,                ///< Its prefill would make answers of higher utility miss their targets.
    behind_queued_calls, ///< Calls of its class ahead of it in the queue found no capacity.
    rate_limit, ///< All upstreams that take work are at a rate limit, or some, and the others push back.
    pushback,   ///< All upstreams that take work push back.
};

/// Returns the text of a reason for the log.
[[nodiscard]] auto to_string(wait_reason reason) -> const char*;

/// An upstream that a call may be sent to.
struct dispatch_candidate
{
    std::string id;             ///< Upstream.
    std::string failure_domain; ///< Failure domain of the upstream.
    int slots = 1;              ///< Requests that it runs concurrently.
    bool suspect = false;       ///< Calls to it failed recently.
    upstream_load load;         ///< Its load from all gateways.
    std::uint64_t id_hash = 0;  ///< Hash of `id`, set by `sort_for_partition`.
    bool rate_limited = false;  ///< It states a rate limit; it takes calls, but no parts of other prefills.
    double slowdown = 1.0;      ///< Factor by which it runs slower than its profile.

    friend auto operator==(const dispatch_candidate&, const dispatch_candidate&) -> bool = default;
};

/// Where a call is dispatched.
struct dispatch_choice
{
    std::string upstream;                       ///< Answers it; for a prompt, its decode engine.
    std::vector<prefill_share> prefill_engines; ///< Other engines, each with a part of the prefill.
    bool is_long = false;                       ///< Whether its prompt counts as long.
    duration prefill_time{};                    ///< Prefill time at each of these engines.
    duration first_token{};                     ///< Expected time to first token.
    std::int64_t memory_tokens = 0;             ///< KV cache used at `upstream`, in tokens.
    upstream_load load;                         ///< Load of `upstream` before this call.
    double slowdown = 1.0;                      ///< Slowdown of `upstream`.
    std::string reason;                         ///< For the log: the rule that decided.

    friend auto operator==(const dispatch_choice&, const dispatch_choice&) -> bool = default;
};

/// Returns the number of calls in flight at an upstream.
[[nodiscard]] inline auto in_flight(const dispatch_candidate& upstream) -> int
{
    return upstream.load.short_calls + upstream.load.long_calls;
}

/// Returns what the forecast of a call at an engine depends on.
[[nodiscard]] inline auto condition_of(const dispatch_candidate& engine) -> engine_condition
{
    return {in_flight(engine),         engine.slots,   engine.load.parts, engine.load.pending_prefill,
            engine.load.memory_tokens, engine.slowdown};
}

/// Returns whether an upstream that isn't suspect has a free slot.
[[nodiscard]] inline auto has_slot(const dispatch_candidate& upstream) -> bool
{
    return !upstream.suspect && in_flight(upstream) < upstream.slots;
}

/// Returns whether an upstream runs so slowly that other upstreams shouldn't wait for its part of a prompt.
[[nodiscard]] inline auto is_slow(const dispatch_candidate& upstream) -> bool
{
    return upstream.slowdown >= upstream_speeds::slow_threshold;
}

/// Returns the KV cache that a call uses once its answer is complete, in tokens.
[[nodiscard]] auto required_memory(const call_requirements& call) -> std::int64_t;
/// Returns the KV cache of an engine that is neither used nor reserved, in tokens.
[[nodiscard]] auto free_memory(const engine_profile& profile, const dispatch_candidate& engine)
    -> std::int64_t;

/// Share of an engine's memory that prompts and reservations may use; the rest absorbs answers that grow
/// beyond their estimate.
inline constexpr double usable_memory_share = 0.97;

} // namespace dragonflymill::direct
