#include "edge/waiting_call_factory.h"

#include "dragonflymill/core/units.h"
#include "dragonflymill/direct/stall_timeout.h"
#include "edge/prompt_parts.h"
#include "edge/request_fingerprint.h"

#include <algorithm>
#include <string_view>

namespace dragonflymill::edge {

namespace {

/// Share of the client timeout that a caller may wait in the queue after an earlier refusal. It makes no
/// further attempt; the remaining time is left for its first event.
constexpr int returning_caller_wait_percent = 50;

/// Parses a token count; 0 if it is missing or malformed, as for callers that state no counts.
auto count_or_zero(std::string_view text) -> std::int64_t
{
    const auto count = parse_count(text);
    return count ? count.value() : 0;
}

} // namespace

auto time_limit(const caller_request& request, const header_names& names, const direct::route_rule& route)
    -> duration
{
    const auto stated = parse_count(request.value_of(names.time_left_ms));
    // Compares in milliseconds, since a stated time may overflow microseconds.
    const bool shorter = stated && stated.value() < route.time_limit / 1ms;
    return shorter ? duration(std::chrono::milliseconds(stated.value())) : route.time_limit;
}

auto make_waiting_call(std::uint64_t id, const caller_request& request, const header_names& names,
                       const request_context& context) -> direct::waiting_call
{
    const direct::route_rule& route = context.route;
    const instant arrived = context.arrived;
    direct::waiting_call call;
    call.id = id;
    call.service = route.service_for(request.value_of(names.request_id));
    const std::string_view counts = request.value_of(names.token_counts);
    const auto comma = counts.find(',');
    call.prompt_tokens = count_or_zero(counts.substr(0, comma));
    call.answer_tokens = comma == std::string_view::npos ? 0 : count_or_zero(counts.substr(comma + 1));
    call.fingerprint =
        request_fingerprint(request, context.account == nullptr ? "" : context.account->name, names);
    call.prompt_parts = with_request(parse_prompt_parts(request.value_of(names.prompt_parts), call.service),
                                     call.fingerprint);
    call.tbt_target = route.tbt_target;
    call.priority =
        context.account != nullptr ? context.account->priority.value_or(route.priority) : route.priority;
    call.latency_target_at = arrived + route.latency_target;
    call.aim = route.latency_target;
    call.client_timeout_at = arrived + std::min(context.limit, direct::client_timeout_for(route));
    call.deadline_at = arrived + context.limit;
    call.returning = context.elapsed > duration::zero();
    const duration max_queue_wait =
        call.returning ? (call.client_timeout_at - arrived) * returning_caller_wait_percent / 100
                       : route.latency_target * 5 / 4;
    call.queue_timeout_at = std::min(call.deadline_at - direct::min_attempt_time, arrived + max_queue_wait);
    return call;
}

} // namespace dragonflymill::edge
