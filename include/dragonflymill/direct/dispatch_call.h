#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/load_tracker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// A call that wants an upstream.
struct call_shape
{
    std::int64_t prompt_tokens = 0; ///< 0 for plain services.
    std::int64_t answer_tokens = 0; ///< Most tokens of the answer.
    duration tbt_target{};          ///< Longest pause between its events that is on time; 0: none.
    duration time_to_leave{};       ///< Left until the caller leaves without an answer.
    duration time_to_aim{};         ///< Left until an answer would be late; negative once it is.
    std::string failure_domain;     ///< Domain of this gateway; preferred among equals.
    /// Differs from call to call: puts equal upstreams into another order for each. Gateways whose digests
    /// are some hundred milliseconds old would else all choose the same idle one.
    std::uint64_t spread = 0;
    duration aim{}; ///< The whole time from arrival until an answer would be late; 0: `time_to_aim` is it.

    friend auto operator==(const call_shape&, const call_shape&) -> bool = default;
};

/// Why a call isn't placed now.
enum class wait_reason
{
    none,          ///< It can be placed.
    full,          ///< No upstream has a free slot.
    no_engine,     ///< No engine has a slot and memory for it.
    few_readers,   ///< Those that are free would read it late; all together could read it in time.
    backlog,       ///< The engines that would read it have other prompts to read first.
    cost,          ///< Its reading would make answers late that are worth more.
    behind_others, ///< Calls of its kind that go before it found no room.
};

/// Text of a reason, for the log.
[[nodiscard]] auto to_string(wait_reason reason) -> const char*;

/// An upstream that a call may be sent to.
struct dispatch_candidate
{
    std::string id;             ///< Upstream.
    std::string failure_domain; ///< Where it runs.
    int slots = 1;              ///< Requests that it runs at once.
    bool suspect = false;       ///< Calls to it failed a moment ago.
    upstream_load load;         ///< Work in hand there, of all gateways.
    std::uint64_t place = 0;    ///< Hash of `id`, set by `sort_for_partition`.

    friend auto operator==(const dispatch_candidate&, const dispatch_candidate&) -> bool = default;
};

/// Where a call goes.
struct dispatch_choice
{
    std::string upstream;                      ///< Answers it.
    std::vector<helper_share> prefill_engines; ///< Read a part of its prompt each.
    bool is_long = false;                      ///< Whether its prompt counts as long.
    duration reading{};                        ///< Reading at each of them.
    duration first_token{};                    ///< Expected until the first token.
    std::int64_t memory_tokens = 0;            ///< Filled at `upstream`.
    upstream_load load;                        ///< Work in hand at `upstream` when it was chosen.
    std::string reason;                        ///< For the log: what decided.

    friend auto operator==(const dispatch_choice&, const dispatch_choice&) -> bool = default;
};

/// Calls in hand at an upstream.
[[nodiscard]] inline auto in_flight(const dispatch_candidate& upstream) -> int
{
    return upstream.load.short_calls + upstream.load.long_calls;
}

/// Whether an upstream may be given one more call.
[[nodiscard]] inline auto has_slot(const dispatch_candidate& upstream) -> bool
{
    return !upstream.suspect && in_flight(upstream) < upstream.slots;
}

/// Engine memory that a call fills in the end, in tokens.
[[nodiscard]] auto memory_need(const call_shape& call) -> std::int64_t;
/// Engine memory that is neither filled nor promised, in tokens.
[[nodiscard]] auto free_memory(const engine_profile& figures, const dispatch_candidate& engine)
    -> std::int64_t;

/// Part of an engine's memory that reservations and prompts fill: answers grow beyond their estimate.
inline constexpr double memory_fill = 0.97;

} // namespace dragonflymill::direct
