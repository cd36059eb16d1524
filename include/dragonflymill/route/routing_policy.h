#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/route/prefix_map.h"
#include "dragonflymill/route/upstream_table.h"

#include <concepts>
#include <variant>

namespace dragonflymill {

/// Why an upstream was chosen; stands in the time line.
enum class route_reason
{
    round_robin,       ///< It was its turn.
    least_outstanding, ///< It has the fewest own requests.
    power_of_two,      ///< The less loaded of two drawn.
    only_candidate,    ///< No other may take it.
    prefix_cached,     ///< It likely has a part of the prompt in its cache.
    prefix_home,       ///< The prompt's beginning belongs there by its hash.
    left_home,         ///< The home has too much load; this one has the least predicted cost.
    least_predicted,   ///< It has the least predicted cost.
    cold_upstream,     ///< It is warming up and has room.
};

/// Name of a reason, as it stands in the time line.
[[nodiscard]] auto to_string(route_reason reason) -> const char*;

/// Where a request goes.
struct route_choice
{
    upstream_id upstream;                               ///< To this upstream,
    route_reason reason = route_reason::only_candidate; ///< for this reason,
    length_class size = length_class::interactive;      ///< as a request of this class,
    token_count prefill = 0;                            ///< with so many tokens likely not cached,
    duration predicted_first_token{0};                  ///< and its first token expected after this time.

    friend auto operator==(const route_choice&, const route_choice&) -> bool = default;
};

/// No upstream may take the request now.
struct route_refusal
{
    refusal_code code = refusal_code::no_route; ///< Why.
    duration retry_after{0};                    ///< When to come back; zero when coming back can't help.

    friend auto operator==(const route_refusal&, const route_refusal&) -> bool = default;
};

/// What a policy decides.
using route_decision = std::variant<route_choice, route_refusal>;

/// A way to choose an upstream. The same inputs in the same order give the same choices.
template <typename P>
concept routing_policy = requires(P policy, instant now, const route_request& request,
                                  const upstream_table& table, const prefix_map& prefixes)
{
    {
        policy.choose(now, request, table, prefixes)
        } -> std::same_as<route_decision>;
};

/// The refusal for an empty candidate list.
[[nodiscard]] auto refuse_route(const candidate_list& none) -> route_refusal;
/// The choice of `record` for the request when `cached` tokens are likely in its cache.
[[nodiscard]] auto choose_route(const upstream_record& record, const route_request& request,
                                token_count cached, route_reason reason) -> route_choice;

} // namespace dragonflymill
