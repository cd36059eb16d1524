#include "dragonflymill/direct/call_dispatcher.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/queue_order.h"
#include "dragonflymill/direct/retry_candidates.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflymill::direct {

namespace {

/// Returns what is measured of a call; nothing for a plain service.
auto measured(const upstream_list& fleet, const waiting_call& call, const dispatch_assignment& assignment,
              instant now) -> std::optional<measured_call>
{
    const service_rule* service = fleet.config()->find_service(call.service);
    if (service == nullptr || !service->engine) {
        return std::nullopt;
    }
    return measured_call{run_of(assignment.upstream), *service->engine, assignment.choice,
                         call.latency_target_at - now};
}

} // namespace

void call_dispatcher::add(waiting_call call)
{
    waiting_.push_back(std::move(call));
}

void call_dispatcher::drop(std::uint64_t call)
{
    std::erase_if(waiting_, [&](const waiting_call& other) { return other.id == call; });
    capacity_since_.erase(call);
}

auto call_dispatcher::event_received(placement_id placed, instant now) -> std::optional<forecast_outcome>
{
    loads_.prefill_done(placed, now);
    return measurements_.event(placed, loads_, now);
}

void call_dispatcher::finish(placement_id placed, instant now)
{
    loads_.finish(placed, now);
    measurements_.finished(placed);
}

void call_dispatcher::report_suspects(const upstream_list& fleet, instant now)
{
    for (const auto& [id, state] : fleet.upstreams()) {
        loads_.set_suspect(state.key, health_.suspect(id, 0, now));
    }
}

void call_dispatcher::set_gateways(int max_count, const gateway_reach& reach)
{
    const int cells = static_cast<int>(cells_.count());
    gateways_ = {reach.reachable, std::max(reach.known, (max_count + cells - 1) / cells), reach.rank};
    const int fleet = std::max(max_count, reach.known * cells);
    fleet_gateways_ = {reach.reachable, fleet, reach.rank * cells + static_cast<int>(cells_.own())};
    availability_.set_gateways(gateways_, reach);
}

void call_dispatcher::remove_gateway(const std::string& gateway)
{
    loads_.remove_gateway(gateway);
    availability_.remove_gateway(gateway);
    measurements_.speeds().remove_gateway(gateway);
}

void call_dispatcher::tick(const upstream_list& fleet, instant now)
{
    availability_.expire(fleet, now);
    quarantine_.tick(now);
    measurements_.tick(loads_, now);
    if (now - speeds_expired_at_ < speeds_expiry_interval) {
        return;
    }
    speeds_expired_at_ = now;
    std::set<upstream_run> running;
    for (const auto& [id, state] : fleet.upstreams()) {
        running.insert(run_of(state.entry));
    }
    measurements_.speeds().expire(running, now);
}

auto call_dispatcher::retry_allowed(const std::string& service, instant now) -> bool
{
    return retries_[service].available(now, settings_.retries, fleet_gateways_.known, fleet_gateways_.rank);
}

auto call_dispatcher::decide(const upstream_list& fleet, instant now) -> dispatch_round
{
    dispatch_round round;
    refuse_quarantined(now, round);
    if (waiting_.empty() || fleet.config() == nullptr) {
        return round;
    }
    sort_queue(waiting_, fleet, availability_.rate_limited_services(fleet), measurements_.first_tokens(),
               now);
    std::map<call_class, int> failures_by_class;
    std::vector<waiting_call> still_waiting;
    candidate_cache cache;
    std::map<std::string, int, std::less<>> calls_ahead;
    for (waiting_call& call : waiting_) {
        // Changes only when a trial is sent earlier in this round.
        const quarantine_verdict verdict = quarantine_.check(call.prompt_parts, now);
        if (!verdict.allowed || now < std::min(call.retry_at, call.queue_timeout_at)) {
            still_waiting.push_back(std::move(call));
            continue;
        }
        int& failures = failures_by_class[class_of(call)];
        const dispatch_decision decision = try_to_place(fleet, call, failures, now, cache);
        const auto& choice = decision.choice;
        if (choice && backoff_elapsed(call, *choice, now)) {
            round.orders.push_back(assignment_for(fleet, call, *choice, now));
            if (verdict.is_trial) {
                round.orders.back().is_quarantine_trial = true;
                quarantine_.trial_sent(call.prompt_parts, now);
            }
            refresh(fleet, round.orders.back(), now, cache[call.service]);
            capacity_since_.erase(call.id);
            continue;
        }
        if (!choice) {
            call.blocked_by = decision.blocked_by;
            const bool has_turn = decision.blocked_by == wait_reason::rate_limit ||
                                  decision.blocked_by == wait_reason::pushback;
            if (!has_turn) {
                ++failures;
                record_no_capacity(call, now);
            }
            auto refusal = has_turn ? refusal_until_turn(fleet, call, decision.blocked_by,
                                                         calls_ahead[call.service]++, now)
                                    : refusal_of(fleet, call, now);
            if (refusal) {
                round.refusals.push_back(std::move(*refusal));
                capacity_since_.erase(call.id);
                continue;
            }
        }
        still_waiting.push_back(std::move(call));
    }
    waiting_ = std::move(still_waiting);
    return round;
}

void call_dispatcher::record_no_capacity(const waiting_call& call, instant now)
{
    saturation_[class_of(call)].record_no_capacity(now);
    if (call.prompt_tokens > 0) {
        capacity_since_[call.id] = std::nullopt;
    }
}

auto call_dispatcher::backoff_elapsed(const waiting_call& call, const dispatch_choice& choice, instant now)
    -> bool
{
    const auto waited = capacity_since_.find(call.id);
    if (!choice.is_long || waited == capacity_since_.end()) {
        return true;
    }
    if (!waited->second) {
        waited->second = now;
    }
    const duration window = std::min(backoff_per_gateway * gateways_.known, max_backoff);
    const std::uint64_t random = stable_hash(std::to_string(call.id), settings_.seed);
    const duration backoff(static_cast<duration::rep>(random % static_cast<std::uint64_t>(window.count())));
    return now - *waited->second >= backoff;
}

auto call_dispatcher::try_to_place(const upstream_list& fleet, const waiting_call& call, int failures,
                                   instant now, candidate_cache& cache) const -> dispatch_decision
{
    if (failures >= max_blocked_per_class) {
        return {std::nullopt, wait_reason::behind_queued_calls};
    }
    // The last reservation of engine memory for this call failed.
    if (now < call.not_before) {
        return {std::nullopt, wait_reason::no_engine};
    }
    return choose(fleet, call, now, cache);
}

auto call_dispatcher::choose(const upstream_list& fleet, const waiting_call& call, instant now,
                             candidate_cache& cache) const -> dispatch_decision
{
    const service_rule* service = fleet.config()->find_service(call.service);
    if (service == nullptr) {
        return {std::nullopt, wait_reason::full};
    }
    auto cached = cache.find(call.service);
    if (cached == cache.end()) {
        cached = cache.emplace(call.service, candidates(fleet, *service, now)).first;
    }
    if (cached->second.blocked_by != wait_reason::none) {
        return {std::nullopt, cached->second.blocked_by};
    }
    const std::vector<dispatch_candidate>& all = cached->second.upstreams;
    if (call.attempts.count() == 0) {
        return choose_among(fleet, call, now, all);
    }
    if (call.attempts.avoids_any(now)) {
        auto decision = choose_among(fleet, call, now, candidates_for_retry(all, call.attempts, true, now));
        if (decision.blocked_by != wait_reason::full && decision.blocked_by != wait_reason::no_engine) {
            return decision;
        }
    }
    return choose_among(fleet, call, now, candidates_for_retry(all, call.attempts, false, now));
}

auto call_dispatcher::choose_among(const upstream_list& fleet, const waiting_call& call, instant now,
                                   std::span<const dispatch_candidate> all) const -> dispatch_decision
{
    const service_rule& service = *fleet.config()->find_service(call.service);
    const call_requirements requirements = requirements_of(call, now);
    if (!service.engine) {
        return plain_dispatch().choose(requirements, all);
    }
    const duration tightest = fleet.config()->tightest_tbt_target(call.service).value_or(duration::zero());
    return engine_dispatch(*service.engine, tightest, measurements_.corrections(call.service))
        .choose(requirements, all);
}

auto call_dispatcher::requirements_of(const waiting_call& call, instant now) const -> call_requirements
{
    return {call.prompt_tokens,
            call.answer_tokens,
            call.tbt_target,
            call.client_timeout_at - now,
            call.latency_target_at - now,
            settings_.failure_domain,
            stable_hash(std::to_string(call.id), settings_.seed),
            call.aim};
}

auto call_dispatcher::candidates(const upstream_list& fleet, const service_rule& service, instant now) const
    -> service_candidates
{
    const auto is_unavailable = [&](const upstream_state* state) {
        return availability_.available_at(fleet, *state, now) > now;
    };
    std::vector<const upstream_state*> usable =
        availability_.accepting_upstreams(fleet, service.name, true, now);
    std::erase_if(usable, is_unavailable);
    if (usable.empty()) {
        usable = availability_.accepting_upstreams(fleet, service.name, false, now);
        std::erase_if(usable, is_unavailable);
    }
    std::sort(usable.begin(), usable.end(), [](const upstream_state* a, const upstream_state* b) {
        return std::tie(a->key, a->entry.id) < std::tie(b->key, b->entry.id);
    });
    service_candidates found;
    found.upstreams.reserve(usable.size());
    for (const upstream_state* state : usable) {
        const upstream_entry& entry = state->entry;
        const upstream_run run = run_of(entry);
        const bool limited = availability_.rate_limits().find(run) != nullptr;
        found.upstreams.push_back(
            {entry.id, entry.failure_domain, entry.slots, false, {}, state->key, limited});
        refresh_load(found.upstreams.back(), run, now);
    }
    update_blocked_by(fleet, service.name, now, found);
    return found;
}

void call_dispatcher::update_blocked_by(const upstream_list& fleet, const std::string& service, instant now,
                                        service_candidates& found) const
{
    if (!found.upstreams.empty() || !availability_.has_upstream(fleet, service, now)) {
        found.blocked_by = wait_reason::none;
        return;
    }
    found.blocked_by =
        availability_.all_push_back(fleet, service, now) ? wait_reason::pushback : wait_reason::rate_limit;
}

void call_dispatcher::refresh(const upstream_list& fleet, const dispatch_assignment& assignment, instant now,
                              service_candidates& found) const
{
    std::vector<dispatch_candidate>& candidates = found.upstreams;
    const auto is_used = [&](const dispatch_candidate& candidate) {
        const auto is_same = [&](const prefill_engine& other) { return other.upstream.id == candidate.id; };
        return candidate.id == assignment.upstream.id ||
               std::any_of(assignment.prefill_engines.begin(), assignment.prefill_engines.end(), is_same);
    };
    for (dispatch_candidate& candidate : candidates) {
        if (is_used(candidate)) {
            refresh_load(candidate, run_of(fleet.upstreams().at(candidate.id).entry), now);
        }
    }
    std::erase_if(candidates, [&](const dispatch_candidate& candidate) {
        return candidate.id == assignment.upstream.id &&
               availability_.available_at(fleet, fleet.upstreams().at(candidate.id), now) > now;
    });
    update_blocked_by(fleet, assignment.upstream.service, now, found);
}

void call_dispatcher::refresh_load(dispatch_candidate& candidate, upstream_run run, instant now) const
{
    candidate.slowdown = measurements_.speeds().slowdown(run, now);
    candidate.load = loads_.load_of(candidate.id_hash, now);
    candidate.suspect = health_.suspect(candidate.id, loads_.own_calls(candidate.id_hash), now) ||
                        candidate.load.suspected_by >= suspicion_quorum;
}

auto call_dispatcher::assignment_for(const upstream_list& fleet, const waiting_call& call,
                                     const dispatch_choice& choice, instant now) -> dispatch_assignment
{
    dispatch_assignment assignment;
    assignment.call = call.id;
    assignment.choice = choice;
    const upstream_state& upstream = fleet.upstreams().at(choice.upstream);
    assignment.upstream = upstream.entry;
    assignment.waited_for = call.blocked_by;
    availability_.count_call(fleet, choice.upstream, now);
    if (const rate_limit_belief* limit = availability_.rate_limits().find(run_of(upstream.entry))) {
        assignment.rate_limit = *limit;
        assignment.limited_calls = availability_.rate_limits().all_calls(run_of(upstream.entry));
    }
    for (const prefill_share& share : choice.prefill_engines) {
        assignment.prefill_engines.push_back(
            {fleet.upstreams().at(share.upstream).entry, share.reserved_tokens});
    }
    assignment.placed = loads_.place({choice.upstream, choice.prefill_engines, choice.is_long,
                                      choice.memory_tokens, choice.prefill_time, call.tbt_target},
                                     now);
    measurements_.dispatched(assignment.placed, class_of(call), measured(fleet, call, assignment, now), now);
    retry_window& retries = retries_[call.service];
    if (call.attempts.count() == 0) {
        retries.count_first_attempt(now);
    }
    if (call.attempts.arrivals() > 0) {
        (void)retries.take(now, settings_.retries, fleet_gateways_.known, fleet_gateways_.rank);
    }
    return assignment;
}

} // namespace dragonflymill::direct
