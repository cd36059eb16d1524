#include "gateway/heartbeat_call.h"

#include "rpc/wire_convert.h"

#include <utility>

namespace dragonflymill::gateway {

auto heartbeat_call::open(wire::sidecar_gate::Stub& stub, identity who, pulse_ptr pulse, link_sink sink,
                          rpc::call_tracker& calls) -> std::shared_ptr<heartbeat_call>
{
    std::shared_ptr<heartbeat_call> made(
        new heartbeat_call(std::move(who), std::move(pulse), std::move(sink), calls));
    made->self_ = made;
    calls.begin(made->context_);
    stub.async()->heartbeat(&made->context_, made.get());
    made->AddHold();
    made->StartRead(&made->incoming_);
    made->StartCall();
    return made;
}

heartbeat_call::heartbeat_call(identity who, pulse_ptr pulse, link_sink sink, rpc::call_tracker& calls)
    : who_(std::move(who))
    , pulse_(std::move(pulse))
    , sink_(std::move(sink))
    , calls_(calls)
{
}

void heartbeat_call::send(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    if (writing_ || !held_) {
        return;
    }
    outgoing_.set_number(number);
    outgoing_.set_sender(who_.gateway.text());
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
    if (std::exchange(held_, false)) {
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
    pulse_->beat();
    sink_(heartbeat_answered{who_.upstream, rpc::from_wire(incoming_.load())});
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
    over_ = true;
    const auto last = std::move(self_);
    calls_.end(context_);
}

} // namespace dragonflymill::gateway
