#include "dragonflymill/core/refusal.h"
#include "dragonflymill/direct/stall_timeout.h"
#include "edge/dispatch_log.h"
#include "edge/exchange.h"
#include "edge/response_summary.h"
#include "http/error_body.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <array>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <utility>

namespace dragonflymill::edge {

namespace {

using direct::attempt_end;
using direct::next_step;

constexpr double us_per_s = 1e6;

auto retry_after_text(duration value) -> std::string
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(value.count()) / us_per_s);
    return text.data();
}

} // namespace

auto exchange::progress(instant now) const -> direct::request_progress
{
    direct::request_progress state;
    // After the head has been forwarded, only an event stream can be resumed.
    const bool can_go_on = !response_started_ || events_ > 0;
    state.repeatable = route_->repeatable() && guard_->is_resumable() && can_go_on;
    state.answer_begun = response_started_;
    state.may_have_run = may_have_run();
    state.attempts_run = queued_call_.attempts.run();
    state.disconnects = queued_call_.attempts.disconnects();
    state.rejections = queued_call_.attempts.rejections();
    state.max_attempts = route_->max_attempts;
    // An upstream that has not run a request says so in a field of its own.
    state.failure_says_not_run = direct::says_not_run(head_.status);
    state.time_left = deadline_ - now;
    state.wait_left = queue_timeout_at_ - now;
    state.retry_delay = queued_call_.attempts.retry_delay();
    state.budget_left = context_.dispatcher.retry_allowed(queued_call_.service, now);
    return state;
}

void exchange::end_attempt(attempt_end end, const std::string& why)
{
    if (finished_ || !assignment_) {
        return;
    }
    const instant now = runtime::now();
    const direct::upstream_entry upstream = assignment_->upstream;
    const direct::prefill_engine* prefill_engine =
        end == attempt_end::reader_lost ? failed_prefill_engine() : nullptr;
    const direct::upstream_entry& failed_upstream =
        prefill_engine == nullptr ? assignment_->upstream : prefill_engine->upstream;
    context_.dispatcher.health().record_end(failed_upstream.id, end, now);
    record_evidence(end, prefill_engine, now);
    queued_call_.attempts.ended(end, {failed_upstream.id, failed_upstream.failure_domain}, now);
    release_upstream();
    const next_step step = direct::decide_next_step(end, progress(now));
    context_.metrics.attempts_failed.add();
    log_attempt_ended(upstream, end, why, step);
    apply_next_step(step, why);
}

void exchange::record_evidence(attempt_end end, const direct::prefill_engine* prefill_engine, instant now)
{
    crash_evidence& evidence = context_.dispatcher.quarantine().evidence();
    if (prefill_engine != nullptr) {
        evidence.record_lost_prefill(direct::run_of(prefill_engine->upstream), queued_call_.prompt_parts,
                                     sent_at_);
        return;
    }
    const bool closed = end == attempt_end::disconnected;
    if ((closed || end == attempt_end::broken) && accepts_work(assignment_->upstream)) {
        evidence.record_lost_call({direct::run_of(assignment_->upstream), queued_call_.prompt_parts,
                                   attempt_events_ == 0 ? duration::zero() : now - attempt_first_event_at_,
                                   now - sent_at_, closed ? call_loss::closed : call_loss::silence},
                                  now);
    }
}

void exchange::record_silence()
{
    const instant now = runtime::now();
    if (!call_ || !call_->any_sent() || now - last_byte_at_ < direct::silence_limit_for(*route_)) {
        return;
    }
    const auto load = context_.dispatcher.loads().load_of(assignment_->upstream.id, now);
    if (!direct::is_busy_prefilling(load.pending_prefill)) {
        record_evidence(attempt_end::broken, nullptr, now);
    }
}

auto exchange::accepts_work(const direct::upstream_entry& upstream) const -> bool
{
    const auto known = context_.fleet.upstreams().find(upstream.id);
    return known != context_.fleet.upstreams().end() && context_.fleet.accepts_work(known->second) &&
           direct::run_of(known->second.entry) == direct::run_of(upstream);
}

void exchange::log_attempt_ended(const direct::upstream_entry& upstream, attempt_end end,
                                 const std::string& why, next_step next) const
{
    log_event(event::call_attempt_ended, field("request", request_id_),
              field("fingerprint", queued_call_.fingerprint), field("attempt", queued_call_.attempts.count()),
              field("upstream", upstream.id), field("run", direct::run_of(upstream)),
              field("events", attempt_events_), field("end", direct::to_string(end)), field("why", why),
              field("after_us", runtime::now() - sent_at_), field("ran", may_have_run() ? "unknown" : "no"),
              field("next", direct::to_string(next)));
}

void exchange::apply_next_step(next_step step, const std::string& why)
{
    switch (step) {
    case next_step::try_again:
        queued_call_.retry_at = runtime::now() + queued_call_.attempts.retry_delay();
        queued_call_.queue_timeout_at = deadline_ - direct::min_attempt_time;
        enqueue();
        return;
    case next_step::pass_failure:
        send_response();
        return;
    case next_step::refuse_not_run:
        refuse(503, {refusal_code::overloaded, ran_state::no, retry_after(), "come back"}, why);
        return;
    case next_step::fail_unknown:
        refuse(502, {refusal_code::upstream_gone, ran_state::unknown, 0s, "check whether it was done"}, why);
        return;
    case next_step::cut:
        cut(why);
        return;
    }
}

void exchange::cut(const std::string& why)
{
    const auto session = session_.lock();
    context_.metrics.aborted.add();
    log_event(event::call_cut, field("request", request_id_), field("why", why), field("events", events_),
              field("unsent_bytes", session ? session->unsent_bytes() : 0),
              field("total_us", runtime::now() - arrived_));
    if (session) {
        session->abort();
    }
    finish();
}

void exchange::on_refused(const direct::dispatch_refusal& refusal)
{
    is_queued_ = false;
    context_.metrics.dispatch_refusals(refusal.reason).add();
    if (response_started_) {
        apply_next_step(next_step::cut, refusal.reason);
        return;
    }
    if (may_have_run()) {
        apply_next_step(next_step::fail_unknown, refusal.reason);
        return;
    }
    const bool quarantined = refusal.code == refusal_code::quarantined;
    refuse(503,
           {refusal.code, ran_state::no, refusal.retry_after,
            quarantined ? "send a request without what upstreams crash under" : "come back"},
           refusal.reason);
}

void exchange::on_deadline()
{
    if (finished_) {
        return;
    }
    const std::string why =
        call_ ? "the time limit ran out at the upstream" : "the time limit ran out in line";
    if (response_started_) {
        apply_next_step(next_step::cut, why);
        return;
    }
    const bool sent = call_ && call_->any_sent();
    record_silence();
    release_upstream();
    if (sent || may_have_run()) {
        refuse(504, {refusal_code::deadline, ran_state::unknown, 0s, "check whether it was done"}, why);
        return;
    }
    refuse(503, {refusal_code::deadline, ran_state::no, retry_after(), "come back"}, why);
}

auto exchange::retry_after() -> duration
{
    return context_.dispatcher.retry_after(context_.fleet, queued_call_, runtime::now());
}

void exchange::refuse(unsigned status, const refusal& refused, const std::string& why)
{
    (refused.ran == ran_state::no ? context_.metrics.refused : context_.metrics.failed).add();
    log_event(event::call_refused, field("request", request_id_),
              field("fingerprint", queued_call_.fingerprint), field("status", status),
              field("code", to_string(refused.code)), field("ran", to_string(refused.ran)), field("why", why),
              field("retry_after_us", refused.retry_after), field("attempts", queued_call_.attempts.count()),
              field("total_us", runtime::now() - arrived_),
              field("config_version", config_ == nullptr ? 0 : config_->version()),
              field("fleet_revision", context_.records.revision()),
              field("prompt_parts", logged_prompt_parts(request_.value_of(context_.names.prompt_parts))));
    if (const auto session = session_.lock()) {
        std::vector<header_field> fields{{"Content-Type", "application/json"}};
        if (!request_id_.empty()) {
            fields.push_back({context_.names.request_id, request_id_});
        }
        if (refused.retry_after > duration::zero()) {
            fields.push_back({"Retry-After", retry_after_text(refused.retry_after)});
        }
        const std::string body = boost::json::serialize(
            http::error_body(to_string(refused.code), refused.ran, refused.retry_after, refused.remedy));
        session->send_response(status, status == 503 ? "Service Unavailable" : "Failed", fields, body);
    }
    finish();
}

void exchange::log_answered(unsigned status)
{
    const instant now = runtime::now();
    context_.metrics.response_time.record(static_cast<double>((now - arrived_).count()) / us_per_s);
    log_event(event::call_answered, field("request", request_id_),
              field("fingerprint", queued_call_.fingerprint), field("status", status),
              field("attempts", queued_call_.attempts.count()),
              field("streaming", guard_->is_stream_expected()),
              field("content_type", loggable(head_.value_of("content-type"))),
              field("framing", to_string(guard_->framing())), field("events", events_),
              field("first_us", first_event_at_.value_or(now) - arrived_),
              field("longest_pause_us", max_event_gap_), field("total_us", now - arrived_));
}

void exchange::on_caller_disconnected()
{
    if (finished_) {
        return;
    }
    record_silence();
    context_.metrics.caller_disconnects.add();
    log_event(event::call_cancelled, field("request", request_id_), field("events", events_),
              field("waiting", is_queued_), field("total_us", runtime::now() - arrived_));
    finish();
}

void exchange::abort(duration retry_after)
{
    if (finished_) {
        return;
    }
    if (response_started_) {
        apply_next_step(next_step::cut, "the gateway stops");
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
    if (reservation_) {
        reservation_->release();
        reservation_.reset();
    }
    if (assignment_) {
        context_.dispatcher.finish(assignment_->placed, runtime::now());
        assignment_.reset();
        context_.schedule_dispatch();
    }
}

void exchange::finish()
{
    if (finished_) {
        return;
    }
    finished_ = true;
    release_upstream();
    if (is_queued_) {
        context_.dispatcher.drop(id_);
        is_queued_ = false;
    }
    if (deadline_timer_) {
        context_.timers.cancel(*deadline_timer_);
        deadline_timer_.reset();
    }
    context_.on_finished(id_);
}

} // namespace dragonflymill::edge
