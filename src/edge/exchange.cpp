#include "edge/exchange.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/units.h"
#include "dragonflymill/direct/stall_timeout.h"
#include "edge/dispatch_log.h"
#include "edge/response_summary.h"
#include "edge/waiting_call_factory.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace {

using boost::beast::iequals;
using direct::attempt_end;
using direct::next_step;

/// Mean backoff after a failed KV cache reservation; the actual one is 50 % to 150 % of it. Without the
/// spread, two calls that competed for the same engines would collide again.
constexpr duration reservation_backoff = 100ms;

auto host_of(std::string_view field) -> std::string
{
    return to_lower(field.substr(0, field.rfind(':')));
}

} // namespace

exchange::exchange(std::uint64_t id, const std::shared_ptr<caller_session>& session, caller_request request,
                   exchange_context& context)
    : id_(id)
    , session_(session)
    , request_(std::move(request))
    , context_(context)
    , config_(context.fleet.config())
    , request_id_(request_.value_of(context.names.request_id))
    , arrived_(runtime::now())
{
}

exchange::~exchange()
{
    if (call_) {
        call_->cancel();
    }
    if (reservation_) {
        reservation_->release();
    }
}

void exchange::begin()
{
    context_.metrics.requests.add();
    if (config_ == nullptr) {
        refuse(503, {refusal_code::not_ready, ran_state::no, 1s, "come back"},
               "no configuration is known yet");
        return;
    }
    if (!find_route()) {
        return;
    }
    guard_.emplace(response_expectation_of(request_, context_.names, *route_));
    const duration limit = time_limit(request_, context_.names, *route_);
    start_deadline_timer(limit);
    const duration elapsed = context_.retry_detector.elapsed(route_->name, limit, arrived_);
    queued_call_ =
        make_waiting_call(id_, request_, context_.names, {*route_, account_, arrived_, limit, elapsed});
    queue_timeout_at_ = queued_call_.queue_timeout_at;
    enqueue();
}

auto exchange::find_route() -> bool
{
    const header_names& names = context_.names;
    const auto is_repeated = [&](const std::string& name) { return request_.count_of(name) > 1; };
    if (is_repeated(names.request_id) || is_repeated(names.time_left_ms) || is_repeated(names.account_key) ||
        is_repeated(names.token_counts)) {
        refuse(400, {refusal_code::conflict, ran_state::no, 0s, "send each field once"},
               "a field came twice");
        return false;
    }
    route_ = config_->match_route(host_of(request_.value_of("host")), request_.path());
    if (route_ == nullptr) {
        refuse(404, {refusal_code::no_route, ran_state::no, 0s, "check host and path"}, "no route matches");
        return false;
    }
    if (!authenticate()) {
        refuse(401, {refusal_code::account_limit, ran_state::no, 0s, "check the key"},
               "the key is not known");
        return false;
    }
    return true;
}

void exchange::start_deadline_timer(duration limit)
{
    deadline_ = arrived_ + limit;
    deadline_timer_ = context_.timers.at(deadline_, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->deadline_timer_.reset();
            self->on_deadline();
        }
    });
}

auto exchange::authenticate() -> bool
{
    std::string_view key = request_.value_of(context_.names.account_key);
    const std::string& scheme = context_.names.auth_scheme;
    if (key.size() > scheme.size() && iequals(key.substr(0, scheme.size()), scheme)) {
        key.remove_prefix(scheme.size());
        account_ = config_->find_account(std::string(key));
    }
    return account_ != nullptr || route_->anonymous || !config_->requires_api_key();
}

void exchange::enqueue()
{
    is_queued_ = true;
    context_.dispatcher.add(queued_call_);
    context_.schedule_dispatch();
}

void exchange::on_dispatched(const direct::dispatch_assignment& assignment)
{
    const instant now = runtime::now();
    is_queued_ = false;
    assignment_ = assignment;
    sent_at_ = now;
    last_byte_at_ = now;
    queued_call_.attempts.dispatched();
    mode_ = response_mode::none;
    head_ = {};
    discard_body();
    guard_->begin_attempt();
    attempt_events_ = 0;
    log_dispatched(assignment,
                   {request_id_, queued_call_.fingerprint, queued_call_.attempts.count(), now - arrived_,
                    queued_call_.latency_target_at - now, queued_call_.prompt_tokens,
                    queued_call_.answer_tokens, context_.peers.view_age(now), config_->version(),
                    context_.records.revision(), request_.value_of(context_.names.prompt_parts)},
                   now);
    reserve_kv_cache();
}

void exchange::reserve_kv_cache()
{
    std::vector<memory_reservation::piece> pieces;
    for (const direct::prefill_engine& engine : assignment_->prefill_engines) {
        if (engine.reserved_tokens > 0) {
            pieces.push_back({engine.upstream.address, engine.reserved_tokens});
        }
    }
    if (pieces.empty()) {
        send();
        return;
    }
    const std::string reservation_name = request_id_ + "-" + std::to_string(queued_call_.attempts.count());
    reservation_ =
        std::make_shared<memory_reservation>(context_.loop, context_.timers, context_.orders,
                                             reservation_name, std::move(pieces), order_response_recorder());
    using outcome = memory_reservation::outcome;
    reservation_->start(
        [weak = weak_from_this(), attempt = queued_call_.attempts.count()](const outcome& reserved) {
            const auto self = weak.lock();
            if (!self || self->finished_ || self->queued_call_.attempts.count() != attempt ||
                !self->assignment_) {
                return;
            }
            if (reserved.succeeded) {
                self->send();
                return;
            }
            self->on_reservation_failed(reserved.unreachable);
        });
}

auto exchange::order_response_recorder() const -> memory_reservation::response_observer
{
    // Outlives the attempt: releases are answered after it.
    return [&statements = context_.statements, engines = assignment_->prefill_engines, request = request_id_](
               const std::string& address, const http::response_head& head, instant sent_at) {
        const auto answers = [&](const direct::prefill_engine& engine) {
            return engine.upstream.address == address;
        };
        const auto engine = std::find_if(engines.begin(), engines.end(), answers);
        if (engine != engines.end()) {
            statements.record_order_response(head, engine->upstream, request, sent_at, runtime::now());
        }
    };
}

void exchange::on_reservation_failed(const std::vector<std::string>& unreachable)
{
    const instant now = runtime::now();
    for (const direct::prefill_engine& assigned : assignment_->prefill_engines) {
        const direct::upstream_entry& engine = assigned.upstream;
        if (std::find(unreachable.begin(), unreachable.end(), engine.address) != unreachable.end()) {
            context_.dispatcher.health().record_end(engine.id, attempt_end::not_sent, now);
            context_.dispatcher.quarantine().evidence().record_lost_prefill(
                direct::run_of(engine), queued_call_.prompt_parts, sent_at_);
            queued_call_.attempts.ended(attempt_end::not_sent, {engine.id, engine.failure_domain}, now);
        }
    }
    const auto jitter_permille = stable_hash(request_id_, queued_call_.attempts.count()) % 1000;
    queued_call_.not_before = now + reservation_backoff / 2 + reservation_backoff * jitter_permille / 1000;
    const std::string why = "engine memory could not be reserved";
    log_attempt_ended(assignment_->upstream, attempt_end::not_sent, why, next_step::try_again);
    release_upstream();
    apply_next_step(next_step::try_again, why);
}

auto exchange::may_still_send(instant now) const -> bool
{
    // Upstreams may have begun to drain or to push back while KV cache was being reserved, or while the
    // connection was being opened.
    const auto may_send = [&](const direct::upstream_entry& upstream) {
        return context_.dispatcher.availability().may_still_send(context_.fleet, upstream.id, now);
    };
    const auto& engines = assignment_->prefill_engines;
    return !became_quarantined(now) && may_send(assignment_->upstream) &&
           std::all_of(engines.begin(), engines.end(),
                       [&](const direct::prefill_engine& engine) { return may_send(engine.upstream); });
}

auto exchange::became_quarantined(instant now) const -> bool
{
    const quarantine_verdict verdict = context_.dispatcher.quarantine().check(queued_call_.prompt_parts, now);
    return !assignment_->is_quarantine_trial && (!verdict.allowed || verdict.is_trial);
}

void exchange::withhold()
{
    const std::string why = became_quarantined(runtime::now())
                                ? "the request or a part of its prompt was quarantined"
                                : "an upstream began to drain or asked for a pause";
    context_.metrics.withheld_calls.add();
    queued_call_.not_before = runtime::now();
    log_attempt_ended(assignment_->upstream, attempt_end::not_sent, why, next_step::try_again);
    release_upstream();
    apply_next_step(next_step::try_again, why);
}

auto exchange::on_connected() -> bool
{
    if (may_still_send(runtime::now())) {
        return true;
    }
    withhold();
    return false;
}

void exchange::send()
{
    const instant now = runtime::now();
    const direct::dispatch_assignment& assignment = *assignment_;
    if (!may_still_send(now)) {
        withhold();
        return;
    }
    sent_at_ = now;
    last_byte_at_ = now;
    context_.metrics.attempts.add();
    call_ = std::make_shared<upstream_call>(context_.loop, context_.timers, *this);
    call_->start(assignment.upstream.address,
                 upstream_request(request_, context_.names, make_gateway_fields(assignment, now)),
                 request_.method == "HEAD");
    arm_stall_timer();
}

auto exchange::make_gateway_fields(const direct::dispatch_assignment& assignment, instant now) const
    -> gateway_fields
{
    gateway_fields own;
    own.time_left = deadline_ - now;
    own.upstream = assignment.upstream.id;
    own.account = account_ == nullptr ? "" : account_->name;
    own.resume_after = guard_->last_id();
    if (!assignment.prefill_engines.empty()) {
        std::vector<prefill_engine_reference> list;
        for (const direct::prefill_engine& engine : assignment.prefill_engines) {
            list.push_back({engine.upstream.address, engine.reserved_tokens > 0 ? reservation_->name() : ""});
        }
        own.prefill_engines = context_.orders.encode_prefill_engines(list);
    }
    return own;
}

auto exchange::stall_timeout_for() const -> duration
{
    const bool has_started = mode_ == response_mode::events && events_ > 0;
    const auto load = context_.dispatcher.loads().load_of(assignment_->upstream.id, runtime::now());
    return direct::stall_timeout_for(*route_, {has_started, load.pending_prefill});
}

void exchange::arm_stall_timer()
{
    if (!route_->repeatable()) {
        return;
    }
    const instant due = last_byte_at_ + stall_timeout_for();
    stall_timer_ =
        context_.timers.at(due, [weak = weak_from_this(), attempt = queued_call_.attempts.count()] {
            if (const auto self = weak.lock()) {
                self->stall_timer_.reset();
                self->on_stall_timeout(attempt);
            }
        });
}

void exchange::on_stall_timeout(std::uint64_t attempt)
{
    if (finished_ || attempt != queued_call_.attempts.count() || !call_) {
        return;
    }
    const instant now = runtime::now();
    if (now - last_byte_at_ < stall_timeout_for()) {
        arm_stall_timer();
        return;
    }
    direct::request_progress state = progress(now);
    state.may_have_run = true;
    ++state.attempts_run;
    // The stalled upstream may still respond, so the attempt is abandoned only if another one can be made.
    if (direct::decide_next_step(attempt_end::broken, state) != next_step::try_again) {
        return;
    }
    const auto load = context_.dispatcher.loads().load_of(assignment_->upstream.id, now);
    if (direct::is_busy_prefilling(load.pending_prefill)) {
        end_attempt(attempt_end::overtaken, "the upstream is busy with other prompts");
        return;
    }
    end_attempt(attempt_end::broken, "the upstream is silent");
}

auto exchange::failed_prefill_engine() const -> const direct::prefill_engine*
{
    const std::string_view failed_upstream = head_.value_of(context_.names.failed_upstream);
    const auto matches = [&](const direct::prefill_engine& engine) {
        return engine.upstream.id == failed_upstream || engine.upstream.address == failed_upstream;
    };
    const auto found =
        std::find_if(assignment_->prefill_engines.begin(), assignment_->prefill_engines.end(), matches);
    return failed_upstream.empty() || found == assignment_->prefill_engines.end() ? nullptr : &*found;
}

} // namespace dragonflymill::edge
