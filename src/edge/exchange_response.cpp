#include "dragonflymill/core/units.h"
#include "edge/exchange.h"
#include "edge/response_summary.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::edge {

namespace {

using direct::attempt_end;
using response::response_fault;

/// Responses up to this size are buffered until complete, so that another attempt can still replace them.
constexpr std::size_t max_buffered_bytes = 1'048'576;

/// Memory of a stream's events that isn't claimed, so that usual events always have room.
constexpr std::size_t unclaimed_event_bytes = 3 * response::event_parser::retained_bytes;
constexpr double us_per_s = 1e6;

} // namespace

auto exchange::on_response_head(const http::response_head& head) -> bool
{
    last_byte_at_ = runtime::now();
    const header_names& names = context_.names;
    head_ = head;
    if (const response_fault fault = guard_->take_head(summarize(head, names));
        fault != response_fault::none) {
        reject_response(fault);
        return false;
    }
    context_.statements.record_response(head, assignment_->upstream, request_id_, sent_at_, last_byte_at_);
    if (head.status != misdirected) {
        record_sign_of_life();
    }
    if (head.status == misdirected || !head.value_of(names.not_run).empty()) {
        mode_ = response_mode::rejected;
        const attempt_end end = failed_prefill_engine() != nullptr ? attempt_end::reader_lost
                                : head.status == misdirected       ? attempt_end::misdirected
                                                                   : attempt_end::rejected;
        end_attempt(end, "status " + std::to_string(head.status));
        return false;
    }
    if (response_started_ && !guard_->is_event_stream()) {
        end_attempt(attempt_end::failed, "a resumed stream got status " + std::to_string(head.status));
        return false;
    }
    mode_ = guard_->is_event_stream() ? response_mode::events : response_mode::buffered;
    return true;
}

void exchange::on_response_body(const std::string& bytes)
{
    last_byte_at_ = runtime::now();
    record_sign_of_life();
    const response::checked_body checked = guard_->take_body(bytes);
    if (mode_ == response_mode::events) {
        forward_events(checked);
    }
    else {
        forward_part(checked.bytes);
    }
    if (checked.fault != response_fault::none) {
        reject_response(checked.fault);
    }
    else if (mode_ == response_mode::events && !claim_events()) {
        end_attempt(attempt_end::invalid, "no memory for a long event");
    }
}

auto exchange::claim_events() -> bool
{
    const auto session = session_.lock();
    const std::size_t held = guard_->held_bytes();
    return !session || session->resize_response_claim(held - std::min(held, unclaimed_event_bytes));
}

void exchange::forward_part(const std::string& bytes)
{
    const auto session = session_.lock();
    const bool has_room = session && session->claim_response(bytes.size());
    body_.append(bytes);
    if (body_.size() <= max_buffered_bytes && has_room) {
        return;
    }
    if (direct::says_not_run(head_.status)) {
        end_attempt(attempt_end::failed, "status " + std::to_string(head_.status) + " with a long body");
        return;
    }
    // Too large to buffer: forwarded as it arrives. Another attempt can no longer replace it.
    forward_head();
    if (session) {
        session->release_response();
        session->send_body_part(body_);
    }
    std::string().swap(body_);
}

void exchange::discard_body()
{
    std::string().swap(body_);
    if (const auto session = session_.lock()) {
        session->release_response();
    }
}

void exchange::report_fault(response_fault fault, std::string_view faulty_bytes) const
{
    context_.metrics.malformed_responses.add();
    log_event(event::response_malformed, field("request", request_id_),
              field("fingerprint", queued_call_.fingerprint), field("upstream", assignment_->upstream.id),
              field("run", direct::run_of(assignment_->upstream)), field("fault", to_string(fault)),
              field("status", head_.status), field("streaming", guard_->is_stream_expected()),
              field("content_type", loggable(head_.value_of("content-type"))),
              field("framing", to_string(guard_->framing())), field("last_id", guard_->last_id()),
              field("body_bytes", guard_->body_bytes()), field("events", attempt_events_),
              field("first_bytes", loggable(faulty_bytes)));
}

void exchange::reject_response(response_fault fault)
{
    if (finished_ || !assignment_) {
        return;
    }
    report_fault(fault, guard_->faulty_bytes());
    end_attempt(attempt_end::invalid, std::string("no valid response: ") + to_string(fault));
}

void exchange::record_sign_of_life()
{
    context_.dispatcher.quarantine().evidence().record_sign_of_life(direct::run_of(assignment_->upstream),
                                                                    last_byte_at_);
}

void exchange::forward_events(const response::checked_body& checked)
{
    context_.metrics.repeated_events.add(checked.dropped);
    if (checked.events == 0) {
        return;
    }
    if (!first_event_at_) {
        first_event_at_ = last_byte_at_;
        context_.metrics.time_to_first_event.record(static_cast<double>((last_byte_at_ - arrived_).count()) /
                                                    us_per_s);
    }
    if (const auto outcome = context_.dispatcher.event_received(assignment_->placed, last_byte_at_)) {
        context_.metrics.record(*outcome);
    }
    if (events_ > 0) {
        max_event_gap_ = std::max(max_event_gap_, last_byte_at_ - last_event_at_);
    }
    last_event_at_ = last_byte_at_;
    events_ += checked.events;
    if (attempt_events_ == 0) {
        attempt_first_event_at_ = last_byte_at_;
    }
    attempt_events_ += checked.events;
    context_.metrics.events.add(checked.events);
    forward_head();
    if (const auto session = session_.lock()) {
        session->send_body_part(checked.bytes);
    }
}

auto exchange::forwarded_fields() const -> std::vector<header_field>
{
    std::vector<header_field> fields;
    const std::string_view connection = head_.value_of("connection");
    for (const header_field& field : head_.fields) {
        if (!is_hop_by_hop(field.name, connection)) {
            fields.push_back(field);
        }
    }
    return fields;
}

void exchange::forward_head()
{
    if (response_started_) {
        return;
    }
    response_started_ = true;
    const auto session = session_.lock();
    if (!session) {
        return;
    }
    session->begin_response(head_.status, head_.reason, forwarded_fields());
}

void exchange::on_response_complete()
{
    const instant now = runtime::now();
    if (const response_fault fault = guard_->take_end(); fault != response_fault::none) {
        // Only an end that is the connection's may be a crash.
        if (guard_->framing() == response::body_framing::connection) {
            end_attempt(attempt_end::disconnected, "the stream ended before or inside an event");
        }
        else {
            reject_response(fault);
        }
        return;
    }
    if (mode_ == response_mode::events) {
        forward_head();
    }
    constexpr unsigned first_failure = 300;
    constexpr unsigned first_server_failure = 500;
    // A response that ends with its connection may have been cut off by a crash.
    if (guard_->framing() != response::body_framing::connection) {
        const bool succeeded = head_.status < first_failure;
        context_.dispatcher.quarantine().evidence().record_answer(
            succeeded ? queued_call_.prompt_parts : own_parts(queued_call_.prompt_parts), now);
    }
    const bool failure = head_.status >= first_server_failure || direct::says_not_run(head_.status);
    if (failure && !response_started_) {
        end_attempt(attempt_end::failed, "status " + std::to_string(head_.status));
        return;
    }
    context_.dispatcher.health().record_success(assignment_->upstream.id);
    if (queued_call_.prompt_tokens == 0) {
        (void)context_.dispatcher.event_received(assignment_->placed, now);
    }
    send_response();
}

void exchange::send_response()
{
    release_upstream();
    if (const auto session = session_.lock()) {
        if (response_started_) {
            session->send_body_part(body_);
            session->end_response();
        }
        else {
            session->send_response(head_.status, head_.reason, forwarded_fields(), body_);
        }
    }
    context_.metrics.answered.add();
    log_answered(head_.status);
    finish();
}

void exchange::on_response_failed(attempt_end end, const std::string& why)
{
    if (end == attempt_end::invalid) {
        report_fault(response_fault::malformed_http, call_ ? call_->unparsed_bytes() : std::string_view());
    }
    end_attempt(end, why);
}

} // namespace dragonflymill::edge
