#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::direct {

namespace {

constexpr double us_per_s = 1e6;
/// Calls per second; bounds the time after which a refused caller is asked to return.
constexpr double min_expected_rate = 1e-3;
/// Bounds the rate that is expected of an upstream without a rate limit.
constexpr duration min_call_time = 1ms;
/// Assumed time of a client whose remaining time isn't known; bounds no Retry-After.
constexpr duration unknown_time_left = 1h;

} // namespace

void call_dispatcher::refuse_quarantined(instant now, dispatch_round& round)
{
    quarantine_.update(now);
    std::erase_if(waiting_, [&](const waiting_call& call) {
        const quarantine_verdict verdict = quarantine_.check(call.prompt_parts, now);
        if (!verdict.allowed) {
            round.refusals.push_back({call.id, verdict.retry_after,
                                      verdict.is_request ? "upstreams ended under the request"
                                                         : "a part of the prompt is quarantined",
                                      refusal_code::quarantined});
            capacity_since_.erase(call.id);
        }
        return !verdict.allowed;
    });
}

auto call_dispatcher::refusal_of(const upstream_list& fleet, const waiting_call& call, instant now) const
    -> std::optional<dispatch_refusal>
{
    if (!availability_.has_upstream(fleet, call.service, now)) {
        return dispatch_refusal{call.id, retry_after_no_upstream, "no upstream takes work"};
    }
    if (now >= call.queue_timeout_at) {
        return dispatch_refusal{call.id, retry_after_saturation(call, call.deadline_at - now, now),
                                to_string(call.blocked_by)};
    }
    return std::nullopt;
}

auto call_dispatcher::retry_after_saturation(const waiting_call& call, duration time_left, instant now) const
    -> duration
{
    const std::uint64_t random = stable_hash(std::to_string(call.id), settings_.seed);
    const auto known = saturation_.find(class_of(call));
    const duration saturated =
        known == saturation_.end() ? duration::zero() : known->second.saturated_for(now);
    return retry_after_for(saturated, time_left, random);
}

auto call_dispatcher::retry_after(const upstream_list& fleet, const waiting_call& call, instant now)
    -> duration
{
    if (!availability_.has_upstream(fleet, call.service, now)) {
        return retry_after_no_upstream;
    }
    const service_rule* service =
        fleet.config() == nullptr ? nullptr : fleet.config()->find_service(call.service);
    if (service != nullptr && candidates(fleet, *service, now).blocked_by != wait_reason::none) {
        const auto calls_ahead =
            std::count_if(waiting_.begin(), waiting_.end(),
                          [&](const waiting_call& other) { return other.service == call.service; });
        const turn_time turn = turn_of(fleet, call, static_cast<int>(calls_ahead), now);
        if (turn.expected_at == instant::max()) {
            return retry_after_no_upstream;
        }
        return take_return_turn(call, turn, now) - now;
    }
    // A client whose stated time is over may have more time than it stated.
    const duration time_left = call.deadline_at > now ? call.deadline_at - now : unknown_time_left;
    return retry_after_saturation(call, time_left, now);
}

auto call_dispatcher::turn_of(const upstream_list& fleet, const waiting_call& call, int calls_ahead,
                              instant now) const -> turn_time
{
    struct upstream_group
    {
        instant first = instant::max();
        double calls_per_s = 0.0;
    };
    upstream_group limited;
    upstream_group unlimited;
    for (const bool own_part : {true, false}) {
        for (const upstream_state* upstream :
             availability_.accepting_upstreams(fleet, call.service, own_part, now)) {
            const instant available_at = availability_.available_at(fleet, *upstream, now);
            if (available_at == instant::max()) {
                continue;
            }
            const double limit = availability_.expected_rate(fleet, *upstream, now);
            upstream_group& group = limit > 0 ? limited : unlimited;
            group.first = std::min(group.first, std::max(available_at, now));
            group.calls_per_s += limit > 0 ? limit : expected_rate(*upstream, call);
        }
    }
    const auto turn = [&](const upstream_group& group) -> turn_time {
        if (group.first == instant::max()) {
            return {group.first, duration::zero()};
        }
        const double calls_per_s = std::max(group.calls_per_s, min_expected_rate);
        const duration interval(static_cast<duration::rep>(us_per_s / calls_per_s));
        return {group.first + interval * calls_ahead, interval};
    };
    const turn_time under_limit = turn(limited);
    const turn_time without_limit = turn(unlimited);
    return under_limit.expected_at <= without_limit.expected_at ? under_limit : without_limit;
}

auto call_dispatcher::expected_rate(const upstream_state& upstream, const waiting_call& call) const -> double
{
    const duration call_time = std::max(call.aim, min_call_time);
    return upstream.entry.slots * us_per_s / static_cast<double>(call_time.count()) /
           std::max(gateways_.known, 1);
}

auto call_dispatcher::refusal_until_turn(const upstream_list& fleet, const waiting_call& call,
                                         wait_reason blocked_by, int calls_ahead, instant now)
    -> std::optional<dispatch_refusal>
{
    const turn_time turn = turn_of(fleet, call, calls_ahead, now);
    if (turn.expected_at == instant::max()) {
        return dispatch_refusal{call.id, retry_after_no_upstream, to_string(blocked_by)};
    }
    // A refusal is final for a caller that was refused before, and a failure for a call that may have run.
    const bool is_last_chance = call.returning || call.attempts.run() > 0;
    const bool may_wait = blocked_by == wait_reason::rate_limit || is_last_chance;
    if (may_wait && turn.expected_at <= call.queue_timeout_at) {
        return std::nullopt;
    }
    return dispatch_refusal{call.id, take_return_turn(call, turn, now) - now, to_string(blocked_by)};
}

auto call_dispatcher::take_return_turn(const waiting_call& call, const turn_time& turn, instant now)
    -> instant
{
    // Callers return one after the other, at the rate at which they can be served. A caller that won't wait
    // until its turn takes no turn from others.
    instant& last_return_at = last_return_at_[call.service];
    const instant return_at = std::max(turn.expected_at, last_return_at + turn.interval);
    if (return_at - now <= scaled(call.deadline_at - now, max_retry_share_of_time_left)) {
        last_return_at = return_at;
    }
    return return_at;
}

} // namespace dragonflymill::direct
