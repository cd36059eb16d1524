#include "dragonflymill/direct/call_dispatcher.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflymill::direct {

namespace {

auto class_of(const waiting_call& call) -> call_class
{
    return {call.service, call.tbt_target};
}

/// The candidates, with those marked as suspect at which an attempt failed, and with `whole_domains` also
/// those of the failure domains that the call avoids.
auto without_tried(const std::vector<dispatch_candidate>& all, const call_attempts& attempts,
                   bool whole_domains, instant now) -> std::vector<dispatch_candidate>
{
    std::vector<dispatch_candidate> marked = all;
    for (dispatch_candidate& candidate : marked) {
        const bool avoided = whole_domains && attempts.avoids(candidate.failure_domain, now);
        candidate.suspect = candidate.suspect || avoided || attempts.tried(candidate.id);
    }
    return marked;
}

} // namespace

void call_dispatcher::add(waiting_call call)
{
    waiting_.push_back(std::move(call));
}

void call_dispatcher::drop(std::uint64_t call)
{
    std::erase_if(waiting_, [&](const waiting_call& other) { return other.id == call; });
    room_since_.erase(call);
}

void call_dispatcher::first_token(placement_id placed, instant now)
{
    board_.reading_done(placed, now);
    first_tokens_.first_token(placed, now);
}

void call_dispatcher::finish(placement_id placed, instant now)
{
    board_.finish(placed, now);
    first_tokens_.finished(placed);
}

void call_dispatcher::report_suspects(const upstream_list& fleet, instant now)
{
    for (const auto& [id, state] : fleet.upstreams()) {
        board_.set_suspect(state.key, health_.suspect(id, 0, now));
    }
}

auto call_dispatcher::retry_allowed(const std::string& service, instant now) -> bool
{
    return retries_[service].available(now, settings_.retries, gateways_);
}

void call_dispatcher::sort_waiting(const fleet_config& config, instant now)
{
    struct ranked_call
    {
        std::tuple<bool, int, instant, std::uint64_t> rank;
        waiting_call call;
    };
    // Shortest reading first, with age: one of a million tokens takes as much as ten usual long ones, and
    // would make all of them late.
    const auto reading = [&](const waiting_call& call) {
        const service_rule* service = config.find_service(call.service);
        const bool reads = service != nullptr && service->engine;
        return reads ? engine_forecast(*service->engine).read_alone(call.prompt_tokens) : duration::zero();
    };
    std::vector<ranked_call> ranked;
    ranked.reserve(waiting_.size());
    for (waiting_call& call : waiting_) {
        const std::tuple rank(is_late(call, now), call.priority, call.latency_target_at + reading(call),
                              call.id);
        ranked.push_back({rank, std::move(call)});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_call& a, const ranked_call& b) { return a.rank < b.rank; });
    std::transform(ranked.begin(), ranked.end(), waiting_.begin(),
                   [](ranked_call& held) { return std::move(held.call); });
}

auto call_dispatcher::expected_first_token(const waiting_call& call) const -> duration
{
    return std::clamp(first_tokens_.expected(class_of(call)), call.aim / 3, call.aim * 2 / 3);
}

auto call_dispatcher::is_late(const waiting_call& call, instant now) const -> bool
{
    // Calls that can still be on time go first: while upstreams are saturated each served late would make
    // another one late.
    return now + expected_first_token(call) >= call.latency_target_at;
}

auto call_dispatcher::decide(const upstream_list& fleet, instant now) -> dispatch_round
{
    dispatch_round round;
    if (waiting_.empty() || fleet.config() == nullptr) {
        return round;
    }
    sort_waiting(*fleet.config(), now);
    std::map<call_class, int> failed_tries;
    std::vector<waiting_call> still;
    round_view view;
    for (waiting_call& call : waiting_) {
        int& failures = failed_tries[class_of(call)];
        const dispatch_decision decision = try_to_place(fleet, call, failures, now, view);
        const auto& choice = decision.choice;
        if (choice && backoff_elapsed(call, *choice, now)) {
            round.orders.push_back(order_for(fleet, call, *choice, now));
            refresh(fleet, round.orders.back(), now, view[call.service]);
            room_since_.erase(call.id);
            continue;
        }
        if (!choice) {
            ++failures;
            call.obstacle = decision.obstacle;
            note_no_room(call, now);
            if (auto refusal = refusal_of(fleet, call, now)) {
                round.refusals.push_back(std::move(*refusal));
                room_since_.erase(call.id);
                continue;
            }
        }
        still.push_back(std::move(call));
    }
    waiting_ = std::move(still);
    return round;
}

auto call_dispatcher::refusal_of(const upstream_list& fleet, const waiting_call& call, instant now) const
    -> std::optional<dispatch_refusal>
{
    if (!any_upstream(fleet, call.service)) {
        return dispatch_refusal{call.id, retry_after_none, "no upstream takes work"};
    }
    if (now >= call.queue_timeout_at) {
        const std::uint64_t draw = stable_hash(std::to_string(call.id), settings_.seed);
        const duration saturated = saturated_.at(class_of(call)).lasting(now);
        const duration back = return_time(saturated, call.deadline_at - now, draw);
        return dispatch_refusal{call.id, back, to_string(call.obstacle)};
    }
    return std::nullopt;
}

void call_dispatcher::note_no_room(const waiting_call& call, instant now)
{
    saturated_[class_of(call)].no_room(now);
    if (call.prompt_tokens > 0) {
        room_since_[call.id] = std::nullopt;
    }
}

auto call_dispatcher::backoff_elapsed(const waiting_call& call, const dispatch_choice& choice, instant now)
    -> bool
{
    const auto waited = room_since_.find(call.id);
    if (!choice.is_long || waited == room_since_.end()) {
        return true;
    }
    if (!waited->second) {
        waited->second = now;
    }
    const duration window = std::min(backoff_per_gateway * gateways_, max_backoff);
    const std::uint64_t draw = stable_hash(std::to_string(call.id), settings_.seed);
    const duration turn(static_cast<duration::rep>(draw % static_cast<std::uint64_t>(window.count())));
    return now - *waited->second >= turn;
}

auto call_dispatcher::try_to_place(const upstream_list& fleet, const waiting_call& call, int failures,
                                   instant now, round_view& view) const -> dispatch_decision
{
    if (failures >= tries_past_blocked) {
        return {std::nullopt, wait_reason::behind_others};
    }
    // Its engine memory could not be reserved a moment ago.
    if (now < call.not_before) {
        return {std::nullopt, wait_reason::no_engine};
    }
    return choose(fleet, call, now, view);
}

auto call_dispatcher::choose(const upstream_list& fleet, const waiting_call& call, instant now,
                             round_view& view) const -> dispatch_decision
{
    const service_rule* service = fleet.config()->find_service(call.service);
    if (service == nullptr) {
        return {std::nullopt, wait_reason::full};
    }
    auto known = view.find(call.service);
    if (known == view.end()) {
        known = view.emplace(call.service, candidates(fleet, *service, now)).first;
    }
    const std::vector<dispatch_candidate>& all = known->second;
    if (call.attempts.count() == 0) {
        return choose_among(fleet, call, now, all);
    }
    if (call.attempts.avoids_any(now)) {
        auto decision = choose_among(fleet, call, now, without_tried(all, call.attempts, true, now));
        if (decision.obstacle != wait_reason::full && decision.obstacle != wait_reason::no_engine) {
            return decision;
        }
    }
    return choose_among(fleet, call, now, without_tried(all, call.attempts, false, now));
}

auto call_dispatcher::choose_among(const upstream_list& fleet, const waiting_call& call, instant now,
                                   std::span<const dispatch_candidate> found) const -> dispatch_decision
{
    const service_rule& service = *fleet.config()->find_service(call.service);
    const call_shape shape = shape_of(call, now);
    if (!service.engine) {
        return plain_dispatch().choose(shape, found);
    }
    const duration pause = fleet.config()->tightest_tbt_target(call.service).value_or(duration::zero());
    return engine_dispatch(*service.engine, pause).choose(shape, found);
}

auto call_dispatcher::shape_of(const waiting_call& call, instant now) const -> call_shape
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
    -> std::vector<dispatch_candidate>
{
    std::vector<const upstream_state*> usable;
    for (const auto& [id, state] : fleet.upstreams()) {
        if (state.entry.service == service.name && fleet.accepts_work(state) &&
            !cold_full(fleet, state, now)) {
            usable.push_back(&state);
        }
    }
    std::sort(usable.begin(), usable.end(), [](const upstream_state* a, const upstream_state* b) {
        return std::tie(a->key, a->entry.id) < std::tie(b->key, b->entry.id);
    });
    std::vector<dispatch_candidate> found;
    found.reserve(usable.size());
    for (const upstream_state* state : usable) {
        const upstream_entry& entry = state->entry;
        found.push_back({entry.id, entry.failure_domain, entry.slots, false, {}, state->key});
        refresh_load(found.back(), now);
    }
    return found;
}

void call_dispatcher::refresh(const upstream_list& fleet, const dispatch_assignment& order, instant now,
                              std::vector<dispatch_candidate>& candidates) const
{
    const auto touched = [&](const dispatch_candidate& candidate) {
        const auto is_it = [&](const prefill_engine& helper) { return helper.upstream.id == candidate.id; };
        return candidate.id == order.upstream.id ||
               std::any_of(order.prefill_engines.begin(), order.prefill_engines.end(), is_it);
    };
    for (dispatch_candidate& candidate : candidates) {
        if (touched(candidate)) {
            refresh_load(candidate, now);
        }
    }
    std::erase_if(candidates, [&](const dispatch_candidate& candidate) {
        return candidate.id == order.upstream.id && cold_full(fleet, fleet.upstreams().at(candidate.id), now);
    });
}

void call_dispatcher::refresh_load(dispatch_candidate& candidate, instant now) const
{
    candidate.load = board_.load_of(candidate.place, now);
    candidate.suspect = health_.suspect(candidate.id, board_.own_calls(candidate.place), now) ||
                        candidate.load.suspected_by >= suspects_to_believe;
}

auto call_dispatcher::cold_full(const upstream_list& fleet, const upstream_state& upstream, instant now) const
    -> bool
{
    const double cold = cold_rate(fleet, upstream, now);
    const auto share = cold_.find(upstream.entry.id);
    return cold > 0 && share != cold_.end() && !share->second.available(now, cold, gateways_);
}

auto call_dispatcher::cold_rate(const upstream_list& fleet, const upstream_state& upstream, instant now) const
    -> double
{
    if (now >= upstream.cold_until) {
        return 0.0;
    }
    const service_rule* service = fleet.config()->find_service(upstream.entry.service);
    return service == nullptr ? 0.0 : service->cold_calls_per_s;
}

auto call_dispatcher::order_for(const upstream_list& fleet, const waiting_call& call,
                                const dispatch_choice& choice, instant now) -> dispatch_assignment
{
    dispatch_assignment order;
    order.call = call.id;
    order.choice = choice;
    const upstream_state& upstream = fleet.upstreams().at(choice.upstream);
    order.upstream = upstream.entry;
    order.waited_for = call.obstacle;
    for (const helper_share& helper : choice.prefill_engines) {
        order.prefill_engines.push_back(
            {fleet.upstreams().at(helper.upstream).entry, helper.reserved_tokens});
    }
    order.placed = board_.place({choice.upstream, choice.prefill_engines, choice.is_long,
                                 choice.memory_tokens, choice.reading, call.tbt_target},
                                now);
    first_tokens_.dispatched(order.placed, class_of(call), now);
    if (const double cold = cold_rate(fleet, upstream, now); cold > 0) {
        (void)cold_[choice.upstream].take(now, cold, gateways_);
    }
    retry_window& retries = retries_[call.service];
    if (call.attempts.count() == 0) {
        retries.count_first_attempt(now);
    }
    if (call.attempts.arrivals() > 0) {
        (void)retries.take(now, settings_.retries, gateways_);
    }
    return order;
}

auto call_dispatcher::any_upstream(const upstream_list& fleet, const std::string& service) const -> bool
{
    return std::any_of(fleet.upstreams().begin(), fleet.upstreams().end(), [&](const auto& item) {
        return item.second.entry.service == service && fleet.accepts_work(item.second);
    });
}

} // namespace dragonflymill::direct
