#include "dragonflymill/route/routing_policy.h"

#include "dragonflymill/route/first_token_prediction.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr duration retry_after_cold{1'000'000};
constexpr duration retry_after_drain{3'000'000};

} // namespace

auto to_string(route_reason reason) -> const char*
{
    switch (reason) {
    case route_reason::round_robin:
        return "round_robin";
    case route_reason::least_outstanding:
        return "least_outstanding";
    case route_reason::power_of_two:
        return "power_of_two";
    case route_reason::only_candidate:
        return "only_candidate";
    case route_reason::prefix_cached:
        return "prefix_cached";
    case route_reason::prefix_home:
        return "prefix_home";
    case route_reason::left_home:
        return "left_home";
    case route_reason::least_predicted:
        return "least_predicted";
    case route_reason::cold_upstream:
        return "cold_upstream";
    }
    return "least_predicted";
}

auto refuse_route(const candidate_list& none) -> route_refusal
{
    switch (none.obstacle) {
    case refusal_code::no_route:
    case refusal_code::too_large:
        return {none.obstacle, duration::zero()};
    case refusal_code::draining:
        return {none.obstacle, retry_after_drain};
    default:
        return {none.obstacle, retry_after_cold};
    }
}

auto choose_route(const upstream_record& record, const route_request& request, token_count cached,
                  route_reason reason) -> route_choice
{
    const token_count prefill = std::max<token_count>(1, request.prompt_tokens - cached);
    const length_class size = class_on(record, request, prefill);
    return {record.description().id, reason, size, prefill, predict_first_token(record, size, prefill)};
}

} // namespace dragonflymill
