#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/route/prefix_map.h"
#include "dragonflymill/route/upstream_table.h"

#include <concepts>
#include <variant>

namespace dragonflymill {

/// Why an upstream was chosen; recorded in the request's timeline.
enum class route_reason
{
    round_robin,       ///< Next in round-robin order.
    least_outstanding, ///< Fewest requests of this gateway in flight.
    power_of_two,      ///< Less loaded of two random candidates.
    only_candidate,    ///< The only eligible upstream.
    prefix_cached,     ///< Likely has a prefix of the prompt cached.
    prefix_home,       ///< Preferred upstream for the hash of the prompt's first blocks.
    left_home,         ///< Lowest predicted cost, as the preferred upstream is overloaded.
    least_predicted,   ///< Lowest predicted cost.
    cold_upstream,     ///< Still warming up, within its ramp limit.
};

/// Name of a reason as written to the timeline.
[[nodiscard]] auto to_string(route_reason reason) -> const char*;

/// Routing result: the chosen upstream and the prediction for it.
struct route_choice
{
    upstream_id upstream;                               ///< Chosen upstream.
    route_reason reason = route_reason::only_candidate; ///< Why it was chosen.
    length_class size = length_class::interactive;      ///< Length class of the request on this upstream.
    token_count prefill = 0;                            ///< Predicted prefill, in tokens not cached there.
    duration predicted_first_token{0};                  ///< Predicted time to first token.

    friend auto operator==(const route_choice&, const route_choice&) -> bool = default;
};

/// Routing result when no upstream is eligible.
struct route_refusal
{
    refusal_code code = refusal_code::no_route; ///< Refusal sent to the client.
    duration retry_after{0};                    ///< Delay before a retry; zero if a retry can't succeed.

    friend auto operator==(const route_refusal&, const route_refusal&) -> bool = default;
};

/// Result of a routing policy.
using route_decision = std::variant<route_choice, route_refusal>;

/// Requirements on a routing policy. A policy is deterministic: the same inputs in the same order give the
/// same choices.
template <typename P>
concept routing_policy = requires(P policy, instant now, const route_request& request,
                                  const upstream_table& table, const prefix_map& prefixes)
{
    {
        policy.choose(now, request, table, prefixes)
        } -> std::same_as<route_decision>;
};

/// Refusal for an empty candidate list.
[[nodiscard]] auto refuse_route(const candidate_list& none) -> route_refusal;
/// Choice of `record` for the request when `cached` tokens are likely in its prefix cache.
[[nodiscard]] auto choose_route(const upstream_record& record, const route_request& request,
                                token_count cached, route_reason reason) -> route_choice;

} // namespace dragonflymill
