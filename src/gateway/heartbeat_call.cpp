#include "gateway/heartbeat_call.h"

#include "rpc/wire_convert.h"

#include <utility>

namespace dragonflymill::gateway {

auto heartbeat_call::open(wire::sidecar_gate::Stub& stub, identity id, activity_ptr activity, link_sink sink,
                          rpc::call_tracker& calls) -> std::shared_ptr<heartbeat_call>
{
    std::shared_ptr<heartbeat_call> call(
        new heartbeat_call(std::move(id), std::move(activity), std::move(sink), calls));
    call->self_ = call;
    calls.begin(call->context_);
    stub.async()->heartbeat(&call->context_, call.get());
    call->AddHold();
    call->StartRead(&call->incoming_);
    call->StartCall();
    return call;
}

heartbeat_call::heartbeat_call(identity id, activity_ptr activity, link_sink sink, rpc::call_tracker& calls)
    : id_(std::move(id))
    , activity_(std::move(activity))
    , sink_(std::move(sink))
    , calls_(calls)
{
}

void heartbeat_call::send(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    if (writing_ || !has_hold_) {
        return;
    }
    outgoing_.set_number(number);
    outgoing_.set_sender(id_.gateway.text());
    writing_ = true;
    StartWrite(&outgoing_);
}

void heartbeat_call::cancel()
{
    context_.TryCancel();
    const std::lock_guard lock(mutex_);
    release_locked();
}

void heartbeat_call::release_locked()
{
    if (std::exchange(has_hold_, false)) {
        RemoveHold();
    }
}

void heartbeat_call::OnReadDone(bool ok)
{
    if (!ok) {
        const std::lock_guard lock(mutex_);
        release_locked();
        return;
    }
    activity_->record_receive();
    sink_(heartbeat_answered{id_.upstream, rpc::from_wire(incoming_.load())});
    StartRead(&incoming_);
}

void heartbeat_call::OnWriteDone(bool ok)
{
    const std::lock_guard lock(mutex_);
    writing_ = false;
    if (!ok) {
        release_locked();
    }
}

void heartbeat_call::OnDone(const grpc::Status& /*status*/)
{
    done_ = true;
    const auto last = std::move(self_);
    calls_.end(context_);
}

} // namespace dragonflymill::gateway
