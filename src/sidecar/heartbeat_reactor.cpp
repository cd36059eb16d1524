#include "sidecar/heartbeat_reactor.h"

#include <utility>

namespace dragonflymill::sidecar {

auto heartbeat_reactor::open(shell_sink sink) -> std::shared_ptr<heartbeat_reactor>
{
    std::shared_ptr<heartbeat_reactor> reactor(new heartbeat_reactor(std::move(sink)));
    reactor->self_ = reactor;
    reactor->StartRead(&reactor->incoming_);
    return reactor;
}

heartbeat_reactor::heartbeat_reactor(shell_sink sink)
    : sink_(std::move(sink))
{
}

void heartbeat_reactor::answer(wire::heartbeat_pong pong)
{
    const std::lock_guard lock(mutex_);
    if (writing_ || finished_) {
        return;
    }
    outgoing_ = std::move(pong);
    writing_ = true;
    StartWrite(&outgoing_);
}

void heartbeat_reactor::OnReadDone(bool ok)
{
    if (!ok) {
        const std::lock_guard lock(mutex_);
        finish_locked();
        return;
    }
    // A heartbeat that finds the event ring full is dropped: the missing answer shows the gateway that this
    // sidecar is overloaded.
    static_cast<void>(sink_(heartbeat_event{self_, incoming_.number(), process_id(incoming_.sender()),
                                            incoming_.from_sidecar()}));
    StartRead(&incoming_);
}

void heartbeat_reactor::OnWriteDone(bool /*ok*/)
{
    const std::lock_guard lock(mutex_);
    writing_ = false;
}

void heartbeat_reactor::OnCancel()
{
    const std::lock_guard lock(mutex_);
    finish_locked();
}

void heartbeat_reactor::finish_locked()
{
    if (!finished_) {
        finished_ = true;
        Finish(grpc::Status::OK);
    }
}

void heartbeat_reactor::OnDone()
{
    const auto self = std::move(self_); // releases the reference that kept the reactor alive
}

} // namespace dragonflymill::sidecar
