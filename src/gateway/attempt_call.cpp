#include "gateway/attempt_call.h"

#include "rpc/wire_convert.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::gateway {

namespace {

constexpr std::size_t prompt_chunk_bytes = 256 * 1024;
/// Added to the attempt's time limit for the gRPC deadline. The sidecar enforces the limit itself; the
/// deadline only ends calls on which nothing is received.
constexpr duration deadline_slack = 2s;

} // namespace

auto attempt_call::open(wire::sidecar_gate::Stub& stub, const identity& id, content data,
                        activity_ptr activity, link_sink sink, rpc::call_tracker& calls)
    -> std::shared_ptr<attempt_call>
{
    std::shared_ptr<attempt_call> call(
        new attempt_call(id, std::move(data.prompt), std::move(activity), std::move(sink), calls));
    call->self_ = call;
    call->context_.set_deadline(std::chrono::system_clock::now() + data.spec.remaining + deadline_slack);
    *call->outgoing_.mutable_open() = rpc::to_wire(data.spec);
    calls.begin(call->context_);
    stub.async()->attempt(&call->context_, call.get());
    call->AddHold();
    call->StartRead(&call->incoming_);
    call->StartWrite(&call->outgoing_);
    call->StartCall();
    return call;
}

attempt_call::attempt_call(identity id, std::shared_ptr<const std::string> prompt, activity_ptr activity,
                           link_sink sink, rpc::call_tracker& calls)
    : id_(std::move(id))
    , prompt_(std::move(prompt))
    , activity_(std::move(activity))
    , sink_(std::move(sink))
    , calls_(calls)
{
}

void attempt_call::send_prompt()
{
    const std::lock_guard lock(mutex_);
    prompt_requested_ = true;
    if (!writing_ && has_hold_) {
        write_chunk_locked();
    }
}

void attempt_call::cancel()
{
    context_.TryCancel();
    const std::lock_guard lock(mutex_);
    end_reported_ = true; // the canceller expects no further events
    release_locked();
}

void attempt_call::abort()
{
    context_.TryCancel();
    const std::lock_guard lock(mutex_);
    release_locked();
}

auto attempt_call::is_done() const -> bool
{
    const std::lock_guard lock(mutex_);
    return done_;
}

void attempt_call::write_chunk_locked()
{
    const auto length = std::min(prompt_chunk_bytes, prompt_->size() - prompt_sent_);
    outgoing_.Clear();
    auto& chunk = *outgoing_.mutable_prompt();
    chunk.set_text(prompt_->data() + prompt_sent_, length);
    prompt_sent_ += length;
    chunk.set_last(prompt_sent_ == prompt_->size());
    prompt_started_ = true;
    writing_ = true;
    StartWrite(&outgoing_);
}

void attempt_call::release_locked()
{
    if (std::exchange(has_hold_, false)) {
        RemoveHold();
    }
}

void attempt_call::OnWriteDone(bool ok)
{
    const std::lock_guard lock(mutex_);
    writing_ = false;
    const bool prompt_remaining = !prompt_started_ || prompt_sent_ < prompt_->size();
    if (!ok || !prompt_remaining) {
        prompt_.reset();
        release_locked();
        return;
    }
    if (prompt_requested_ && has_hold_) {
        write_chunk_locked();
    }
}

void attempt_call::OnReadDone(bool ok)
{
    if (!ok) {
        const std::lock_guard lock(mutex_);
        release_locked();
        return;
    }
    activity_->record_receive();
    forward_event(incoming_);
    incoming_.Clear();
    StartRead(&incoming_);
}

void attempt_call::forward_event(const wire::attempt_event& event)
{
    if (event.has_load()) {
        sink_(gateway_event(gateway_input::load_reported{id_.upstream, rpc::from_wire(event.load())}));
    }
    {
        const std::lock_guard lock(mutex_);
        if (end_reported_) {
            return;
        }
        end_reported_ = event.has_refused() || event.has_finished();
    }
    if (event.has_granted()) {
        sink_(gateway_event(gateway_input::attempt_granted{id_.key}));
    }
    else if (event.has_refused()) {
        sink_(gateway_event(gateway_input::attempt_refused{id_.key, rpc::from_wire(event.refused())}));
    }
    else if (event.has_tokens()) {
        const auto& tokens = event.tokens();
        sink_(gateway_event(gateway_input::attempt_tokens{
            id_.key, tokens.offset(), std::vector<std::string>(tokens.text().begin(), tokens.text().end())}));
    }
    else if (event.has_finished()) {
        sink_(gateway_event(gateway_input::attempt_finished{
            id_.key, event.finished().tokens(), event.finished().reason(), event.finished().source()}));
    }
}

void attempt_call::OnDone(const grpc::Status& /*status*/)
{
    bool prompt_started = false;
    bool report_broken = false;
    {
        const std::lock_guard lock(mutex_);
        done_ = true;
        report_broken = !std::exchange(end_reported_, true);
        prompt_started = prompt_started_;
    }
    if (report_broken) {
        sink_(gateway_event(gateway_input::attempt_broken{id_.key, prompt_started}));
    }
    const auto last = std::move(self_);
    calls_.end(context_);
}

} // namespace dragonflymill::gateway
