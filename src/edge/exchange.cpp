#include "edge/exchange.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/units.h"
#include "dragonflymill/direct/stall_timeout.h"
#include "http/error_body.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <utility>

namespace dragonflymill::edge {

namespace {

using boost::beast::iequals;
using direct::attempt_end;
using direct::next_step;

/// Largest answer that is gathered before it is passed on; it can still be replaced by another attempt's.
constexpr std::size_t max_gathered_bytes = 1'048'576;
/// After engine memory could not be reserved, the next try waits between half of this and one and a half: two
/// calls that took it from each other would else meet again.
constexpr duration reservation_pause = 100ms;
/// Status of an upstream that isn't the one that was meant; it has not run the request.
constexpr unsigned misdirected = 421;
/// A caller that was refused before has no other chance, so it waits for this share of its patience: the rest
/// is for its first event.
constexpr int last_wait_percent = 50;
/// Callers take the time to come back in seconds.
constexpr double us_per_s = 1e6;

/// A count of tokens; what isn't one is taken for none, as from a caller that states no counts.
auto count_or_zero(std::string_view text) -> std::int64_t
{
    const auto count = parse_count(text);
    return count ? count.value() : 0;
}

/// The route's limit, or the time that the caller states in milliseconds if that is shorter. Compared in
/// milliseconds: a stated time may be more than fits in microseconds.
auto time_limit(const direct::route_rule& route, std::string_view stated_ms) -> duration
{
    const auto stated = parse_count(stated_ms);
    const bool shorter = stated && stated.value() < route.time_limit / 1ms;
    return shorter ? duration(std::chrono::milliseconds(stated.value())) : route.time_limit;
}

/// Ids of the engines that read a part, for the log: at most as many as read one prompt.
auto helper_list(const direct::dispatch_assignment& order) -> std::string
{
    std::string list;
    for (const direct::prefill_engine& helper : order.prefill_engines) {
        list.append(list.empty() ? "" : " ").append(helper.upstream.id);
    }
    return list;
}

auto host_of(std::string_view field) -> std::string
{
    return to_lower(field.substr(0, field.rfind(':')));
}

auto seconds_text(duration value) -> std::string
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(value.count()) / us_per_s);
    return text.data();
}

} // namespace

exchange::exchange(std::uint64_t id, const std::shared_ptr<caller_session>& session, caller_request request,
                   exchange_context& context)
    : id_(id)
    , session_(session)
    , request_(std::move(request))
    , context_(context)
    , config_(context.fleet.config())
    , request_name_(request_.value_of(context.names.request_id))
    , arrived_(runtime::now())
    , relay_(std::string(request_.value_of(context.names.resume_after)))
{
}

exchange::~exchange()
{
    if (call_) {
        call_->cancel();
    }
    if (memory_) {
        memory_->release();
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
    const duration limit = time_limit(*route_, request_.value_of(context_.names.time_left_ms));
    set_limit(limit);
    describe_call(limit);
    wait_for_upstream();
}

auto exchange::find_route() -> bool
{
    const header_names& names = context_.names;
    const auto twice = [&](const std::string& name) { return request_.count_of(name) > 1; };
    if (twice(names.request_id) || twice(names.time_left_ms) || twice(names.account_key) ||
        twice(names.token_counts)) {
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

void exchange::set_limit(duration limit)
{
    limit_at_ = arrived_ + limit;
    limit_timer_ = context_.timers.at(limit_at_, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->limit_timer_.reset();
            self->limit_reached();
        }
    });
}

void exchange::describe_call(duration limit)
{
    wait_.id = id_;
    wait_.service = route_->service_for(request_name_);
    const std::string_view counts = request_.value_of(context_.names.token_counts);
    const auto comma = counts.find(',');
    wait_.prompt_tokens = count_or_zero(counts.substr(0, comma));
    wait_.answer_tokens = comma == std::string_view::npos ? 0 : count_or_zero(counts.substr(comma + 1));
    wait_.tbt_target = route_->tbt_target;
    wait_.priority = account_ != nullptr ? account_->priority.value_or(route_->priority) : route_->priority;
    wait_.latency_target_at = arrived_ + route_->latency_target;
    wait_.aim = route_->latency_target;
    wait_.client_timeout_at = arrived_ + std::min(limit, direct::client_timeout_for(*route_));
    wait_.deadline_at = limit_at_;
    const duration elapsed = context_.returns.elapsed(route_->name, limit, arrived_);
    const duration longest_wait = elapsed > duration::zero()
                                      ? (wait_.client_timeout_at - arrived_) * last_wait_percent / 100
                                      : route_->latency_target * 5 / 4;
    wait_.queue_timeout_at = std::min(limit_at_ - direct::min_attempt_time, arrived_ + longest_wait);
}

auto exchange::authenticate() -> bool
{
    std::string_view key = request_.value_of(context_.names.account_key);
    const std::string& scheme = context_.names.key_scheme;
    if (key.size() > scheme.size() && iequals(key.substr(0, scheme.size()), scheme)) {
        key.remove_prefix(scheme.size());
        account_ = config_->find_account(std::string(key));
    }
    return account_ != nullptr || route_->anonymous || !config_->requires_api_key();
}

void exchange::wait_for_upstream()
{
    waiting_ = true;
    context_.dispatcher.add(wait_);
    context_.decide_soon();
}

void exchange::dispatched(const direct::dispatch_assignment& order)
{
    const instant now = runtime::now();
    waiting_ = false;
    order_ = order;
    sent_at_ = now;
    heard_at_ = now;
    wait_.attempts.dispatched();
    mode_ = answer_mode::none;
    head_ = {};
    body_.clear();
    relay_.begin_attempt();
    log_event(
        event::call_dispatched, field("request", request_name_), field("attempt", wait_.attempts.count()),
        field("upstream", order.upstream.id), field("helpers", helper_list(order)),
        field("reason", order.choice.reason), field("waited_us", now - arrived_),
        field("waited_for", direct::to_string(order.waited_for)),
        field("forecast_us", order.choice.first_token), field("prompt_tokens", wait_.prompt_tokens),
        field("answer_tokens", wait_.answer_tokens), field("short_calls", order.choice.load.short_calls),
        field("long_calls", order.choice.load.long_calls), field("parts", order.choice.load.parts),
        field("memory_tokens", order.choice.load.memory_tokens),
        field("reading_us", order.choice.load.pending_prefill), field("config_version", config_->version()),
        field("fleet_revision", context_.records.revision()));
    reserve_memory();
}

void exchange::reserve_memory()
{
    std::vector<memory_reservation::piece> pieces;
    for (const direct::prefill_engine& helper : order_->prefill_engines) {
        if (helper.reserved_tokens > 0) {
            pieces.push_back({helper.upstream.address, helper.reserved_tokens});
        }
    }
    if (pieces.empty()) {
        send();
        return;
    }
    const std::string name = request_name_ + "-" + std::to_string(wait_.attempts.count());
    memory_ = std::make_shared<memory_reservation>(context_.loop, context_.timers, context_.orders, name,
                                                   std::move(pieces));
    using outcome = memory_reservation::outcome;
    memory_->start([weak = weak_from_this(), attempt = wait_.attempts.count()](const outcome& reserved) {
        const auto self = weak.lock();
        if (!self || self->over_ || self->wait_.attempts.count() != attempt || !self->order_) {
            return;
        }
        if (reserved.held) {
            self->send();
            return;
        }
        self->reservation_failed(reserved.unreachable);
    });
}

void exchange::reservation_failed(const std::vector<std::string>& unreachable)
{
    const instant now = runtime::now();
    for (const direct::prefill_engine& helper : order_->prefill_engines) {
        const direct::upstream_entry& engine = helper.upstream;
        if (std::find(unreachable.begin(), unreachable.end(), engine.address) != unreachable.end()) {
            context_.dispatcher.health().record_end(engine.id, attempt_end::not_sent, now);
            wait_.attempts.ended(attempt_end::not_sent, {engine.id, engine.failure_domain}, now);
        }
    }
    const auto spread = stable_hash(request_name_, wait_.attempts.count()) % 1000;
    wait_.not_before = now + reservation_pause / 2 + reservation_pause * spread / 1000;
    const std::string why = "engine memory could not be reserved";
    log_attempt_ended(order_->upstream.id, attempt_end::not_sent, why, next_step::try_again);
    release_upstream();
    take_step(next_step::try_again, why);
}

auto exchange::may_still_send(const direct::dispatch_assignment& order) const -> bool
{
    // Memory was being reserved since the decision: the upstream may have begun to leave in that time.
    const auto& upstreams = context_.fleet.upstreams();
    const auto known = upstreams.find(order.upstream.id);
    return known != upstreams.end() && context_.fleet.accepts_work(known->second);
}

void exchange::send()
{
    const instant now = runtime::now();
    const direct::dispatch_assignment& order = *order_;
    if (!may_still_send(order)) {
        wait_.not_before = now;
        release_upstream();
        take_step(next_step::try_again, "the upstream began to leave");
        return;
    }
    sent_at_ = now;
    heard_at_ = now;
    context_.metrics.attempts.add();
    call_ = std::make_shared<upstream_call>(context_.loop, context_.timers, *this);
    call_->start(order.upstream.address, upstream_request(request_, context_.names, own_fields(order, now)),
                 request_.method == "HEAD");
    watch_stall();
}

auto exchange::own_fields(const direct::dispatch_assignment& order, instant now) const -> gateway_fields
{
    gateway_fields own;
    own.time_left = limit_at_ - now;
    own.upstream = order.upstream.id;
    own.account = account_ == nullptr ? "" : account_->name;
    own.resume_after = relay_.last_id();
    if (!order.prefill_engines.empty()) {
        std::vector<helper_reference> list;
        for (const direct::prefill_engine& helper : order.prefill_engines) {
            list.push_back({helper.upstream.address, helper.reserved_tokens > 0 ? memory_->name() : ""});
        }
        own.helpers = context_.orders.list_helpers(list);
    }
    return own;
}

auto exchange::stall_timeout_for() const -> duration
{
    const bool begun = mode_ == answer_mode::events && events_ > 0;
    const auto load = context_.dispatcher.loads().load_of(order_->upstream.id, runtime::now());
    return direct::stall_timeout_for(*route_, {begun, load.pending_prefill});
}

void exchange::watch_stall()
{
    if (!route_->repeatable()) {
        return;
    }
    const instant due = heard_at_ + stall_timeout_for();
    stall_timer_ = context_.timers.at(due, [weak = weak_from_this(), attempt = wait_.attempts.count()] {
        if (const auto self = weak.lock()) {
            self->stall_timer_.reset();
            self->silence(attempt);
        }
    });
}

void exchange::silence(std::uint64_t attempt)
{
    if (over_ || attempt != wait_.attempts.count() || !call_) {
        return;
    }
    const instant now = runtime::now();
    if (now - heard_at_ < stall_timeout_for()) {
        watch_stall();
        return;
    }
    direct::request_progress state = progress(now);
    state.may_have_run = true;
    ++state.attempts_run;
    // An answer that may still come is better than a failure: the upstream is given up only for another.
    if (direct::decide_next_step(attempt_end::broken, state) != next_step::try_again) {
        return;
    }
    const auto load = context_.dispatcher.loads().load_of(order_->upstream.id, now);
    if (direct::is_busy_prefilling(load.pending_prefill)) {
        end_attempt(attempt_end::overtaken, "the upstream is busy with other prompts");
        return;
    }
    end_attempt(attempt_end::broken, "the upstream is silent");
}

auto exchange::answer_head_came(const answer_head& head) -> bool
{
    heard_at_ = runtime::now();
    const header_names& names = context_.names;
    const std::string_view echoed = head.value_of(names.request_id);
    if (!echoed.empty() && echoed != request_name_) {
        end_attempt(attempt_end::broken, "the answer belongs to another request");
        return false;
    }
    head_ = head;
    if (head.status == misdirected || !head.value_of(names.not_run).empty()) {
        mode_ = answer_mode::rejected;
        const attempt_end end = lost_reader() != nullptr     ? attempt_end::reader_lost
                                : head.status == misdirected ? attempt_end::misdirected
                                                             : attempt_end::rejected;
        end_attempt(end, "status " + std::to_string(head.status));
        return false;
    }
    const bool is_stream = head.status == 200 && route_->kind == direct::call_kind::streaming &&
                           to_lower(head.value_of("content-type")).starts_with("text/event-stream");
    if (answer_begun_ && !is_stream) {
        end_attempt(attempt_end::failed, "a resumed stream got status " + std::to_string(head.status));
        return false;
    }
    mode_ = is_stream ? answer_mode::events : answer_mode::whole;
    return true;
}

void exchange::answer_body_came(const std::string& bytes)
{
    heard_at_ = runtime::now();
    if (mode_ == answer_mode::events) {
        relay(bytes);
        return;
    }
    body_.append(bytes);
    if (body_.size() > max_gathered_bytes) {
        // Too large to keep: passed on as it comes. It can no longer be replaced.
        pass_head();
        if (const auto session = session_.lock()) {
            session->send_piece(body_);
        }
        body_.clear();
    }
}

void exchange::relay(const std::string& bytes)
{
    direct::relayed_events events = relay_.take(bytes);
    if (events.broken) {
        end_attempt(attempt_end::broken, "an event is too long");
        return;
    }
    if (events.events == 0) {
        return;
    }
    if (!first_event_at_) {
        first_event_at_ = heard_at_;
        context_.metrics.first_answer.record(static_cast<double>((heard_at_ - arrived_).count()) / us_per_s);
    }
    context_.dispatcher.first_token(order_->placed, heard_at_);
    if (events_ > 0) {
        longest_pause_ = std::max(longest_pause_, heard_at_ - last_event_at_);
    }
    last_event_at_ = heard_at_;
    events_ += events.events;
    context_.metrics.events.add(events.events);
    pass_head();
    if (const auto session = session_.lock()) {
        session->send_piece(events.bytes);
    }
}

auto exchange::passed_fields() const -> std::vector<header_field>
{
    std::vector<header_field> fields;
    const std::string_view connection = head_.value_of("connection");
    for (const header_field& field : head_.fields) {
        if (!concerns_connection(field.name, connection)) {
            fields.push_back(field);
        }
    }
    return fields;
}

void exchange::pass_head()
{
    if (answer_begun_) {
        return;
    }
    answer_begun_ = true;
    const auto session = session_.lock();
    if (!session) {
        return;
    }
    session->begin_answer(head_.status, head_.reason, passed_fields());
}

void exchange::answer_completed()
{
    const instant now = runtime::now();
    if (mode_ == answer_mode::events) {
        if (relay_.has_partial_event()) {
            end_attempt(attempt_end::broken, "the stream ended inside an event");
            return;
        }
        pass_head();
    }
    constexpr unsigned first_server_failure = 500;
    const bool failure = head_.status >= first_server_failure;
    if (failure && !answer_begun_) {
        end_attempt(attempt_end::failed, "status " + std::to_string(head_.status));
        return;
    }
    context_.dispatcher.health().record_success(order_->upstream.id);
    context_.dispatcher.first_token(order_->placed, now);
    answer_whole();
}

void exchange::answer_whole()
{
    release_upstream();
    if (const auto session = session_.lock()) {
        if (answer_begun_) {
            session->send_piece(body_);
            session->end_answer();
        }
        else {
            session->answer(head_.status, head_.reason, passed_fields(), body_);
        }
    }
    context_.metrics.answered.add();
    log_answered(head_.status);
    finish();
}

void exchange::answer_failed(attempt_end end, const std::string& why)
{
    end_attempt(end, why);
}

auto exchange::progress(instant now) const -> direct::request_progress
{
    direct::request_progress state;
    state.repeatable = route_->repeatable();
    state.answer_begun = answer_begun_;
    state.may_have_run = may_have_run();
    state.attempts_run = wait_.attempts.run();
    state.rejections = wait_.attempts.rejections();
    state.max_attempts = route_->max_attempts;
    state.time_left = limit_at_ - now;
    state.budget_left = context_.dispatcher.retry_allowed(wait_.service, now);
    return state;
}

auto exchange::lost_reader() const -> const direct::prefill_engine*
{
    const std::string_view at_fault = head_.value_of(context_.names.at_fault);
    const auto named = [&](const direct::prefill_engine& helper) {
        return helper.upstream.id == at_fault || helper.upstream.address == at_fault;
    };
    const auto found = std::find_if(order_->prefill_engines.begin(), order_->prefill_engines.end(), named);
    return at_fault.empty() || found == order_->prefill_engines.end() ? nullptr : &*found;
}

void exchange::end_attempt(attempt_end end, const std::string& why)
{
    if (over_ || !order_) {
        return;
    }
    const instant now = runtime::now();
    const std::string upstream = order_->upstream.id;
    const direct::prefill_engine* reader = end == attempt_end::reader_lost ? lost_reader() : nullptr;
    const direct::upstream_entry& at_fault = reader == nullptr ? order_->upstream : reader->upstream;
    context_.dispatcher.health().record_end(at_fault.id, end, now);
    wait_.attempts.ended(end, {at_fault.id, at_fault.failure_domain}, now);
    release_upstream();
    const next_step step = direct::decide_next_step(end, progress(now));
    context_.metrics.attempts_failed.add();
    log_attempt_ended(upstream, end, why, step);
    take_step(step, why);
}

void exchange::log_attempt_ended(const std::string& upstream, attempt_end end, const std::string& why,
                                 next_step next) const
{
    log_event(event::call_attempt_ended, field("request", request_name_),
              field("attempt", wait_.attempts.count()), field("upstream", upstream),
              field("end", direct::to_string(end)), field("why", why),
              field("after_us", runtime::now() - sent_at_), field("ran", may_have_run() ? "unknown" : "no"),
              field("next", direct::to_string(next)));
}

void exchange::take_step(next_step step, const std::string& why)
{
    switch (step) {
    case next_step::try_again:
        wait_.queue_timeout_at = limit_at_ - direct::min_attempt_time;
        wait_for_upstream();
        return;
    case next_step::pass_failure:
        answer_whole();
        return;
    case next_step::refuse_not_run:
        refuse(
            503,
            {refusal_code::overloaded, ran_state::no, direct::call_dispatcher::retry_after_full, "come back"},
            why);
        return;
    case next_step::fail_unknown:
        refuse(502, {refusal_code::upstream_gone, ran_state::unknown, 0s, "check whether it was done"}, why);
        return;
    case next_step::cut:
        context_.metrics.cut.add();
        log_event(event::call_cut, field("request", request_name_), field("why", why),
                  field("events", events_), field("total_us", runtime::now() - arrived_));
        if (const auto session = session_.lock()) {
            session->cut();
        }
        finish();
        return;
    }
}

void exchange::refused(const direct::dispatch_refusal& refusal)
{
    waiting_ = false;
    if (answer_begun_) {
        take_step(next_step::cut, refusal.reason);
        return;
    }
    if (may_have_run()) {
        take_step(next_step::fail_unknown, refusal.reason);
        return;
    }
    refuse(503, {refusal_code::overloaded, ran_state::no, refusal.retry_after, "come back"}, refusal.reason);
}

void exchange::limit_reached()
{
    if (over_) {
        return;
    }
    const std::string why =
        call_ ? "the time limit ran out at the upstream" : "the time limit ran out in line";
    if (answer_begun_) {
        take_step(next_step::cut, why);
        return;
    }
    const bool sent = call_ && call_->any_sent();
    release_upstream();
    if (sent || may_have_run()) {
        refuse(504, {refusal_code::deadline, ran_state::unknown, 0s, "check whether it was done"}, why);
        return;
    }
    refuse(503,
           {refusal_code::deadline, ran_state::no, direct::call_dispatcher::retry_after_full, "come back"},
           why);
}

void exchange::refuse(unsigned status, const refusal& refused, const std::string& why)
{
    (refused.ran == ran_state::no ? context_.metrics.refused : context_.metrics.failed).add();
    log_event(event::call_refused, field("request", request_name_), field("status", status),
              field("code", to_string(refused.code)), field("ran", to_string(refused.ran)), field("why", why),
              field("retry_after_us", refused.retry_after), field("attempts", wait_.attempts.count()),
              field("total_us", runtime::now() - arrived_),
              field("config_version", config_ == nullptr ? 0 : config_->version()),
              field("fleet_revision", context_.records.revision()));
    if (const auto session = session_.lock()) {
        std::vector<header_field> fields{{"Content-Type", "application/json"}};
        if (!request_name_.empty()) {
            fields.push_back({context_.names.request_id, request_name_});
        }
        if (refused.retry_after > duration::zero()) {
            fields.push_back({"Retry-After", seconds_text(refused.retry_after)});
        }
        const std::string body = boost::json::serialize(
            http::error_body(to_string(refused.code), refused.ran, refused.retry_after, refused.remedy));
        session->answer(status, status == 503 ? "Service Unavailable" : "Failed", fields, body);
    }
    finish();
}

void exchange::log_answered(unsigned status)
{
    const instant now = runtime::now();
    context_.metrics.whole_answer.record(static_cast<double>((now - arrived_).count()) / us_per_s);
    log_event(event::call_answered, field("request", request_name_), field("status", status),
              field("attempts", wait_.attempts.count()), field("events", events_),
              field("first_us", first_event_at_.value_or(now) - arrived_),
              field("longest_pause_us", longest_pause_), field("total_us", now - arrived_));
}

void exchange::caller_left()
{
    if (over_) {
        return;
    }
    context_.metrics.left.add();
    log_event(event::call_cancelled, field("request", request_name_), field("events", events_),
              field("waiting", waiting_), field("total_us", runtime::now() - arrived_));
    finish();
}

void exchange::stop(duration retry_after)
{
    if (over_) {
        return;
    }
    if (answer_begun_) {
        take_step(next_step::cut, "the gateway stops");
        return;
    }
    const bool sent = call_ && call_->any_sent();
    release_upstream();
    const bool unknown = sent || may_have_run();
    refuse(unknown ? 502 : 503,
           {refusal_code::stopping, unknown ? ran_state::unknown : ran_state::no, unknown ? 0s : retry_after,
            "come back"},
           "the gateway stops");
}

void exchange::release_upstream()
{
    if (stall_timer_) {
        context_.timers.cancel(*stall_timer_);
        stall_timer_.reset();
    }
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    if (memory_) {
        memory_->release();
        memory_.reset();
    }
    if (order_) {
        context_.dispatcher.finish(order_->placed, runtime::now());
        order_.reset();
        context_.decide_soon();
    }
}

void exchange::finish()
{
    if (over_) {
        return;
    }
    over_ = true;
    release_upstream();
    if (waiting_) {
        context_.dispatcher.drop(id_);
        waiting_ = false;
    }
    if (limit_timer_) {
        context_.timers.cancel(*limit_timer_);
        limit_timer_.reset();
    }
    context_.over(id_);
}

} // namespace dragonflymill::edge
