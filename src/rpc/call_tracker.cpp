#include "rpc/call_tracker.h"

namespace dragonflymill::rpc {

void call_tracker::begin(grpc::ClientContext& context)
{
    const std::lock_guard lock(mutex_);
    in_flight_.insert(&context);
    if (cancelled_) {
        context.TryCancel();
    }
}

void call_tracker::end(grpc::ClientContext& context)
{
    // Notifies under the lock: the waiting thread may destroy the tracker as soon as it sees no call in
    // flight.
    const std::lock_guard lock(mutex_);
    in_flight_.erase(&context);
    none_in_flight_.notify_all();
}

void call_tracker::cancel_and_wait()
{
    std::unique_lock lock(mutex_);
    cancelled_ = true;
    for (auto* context : in_flight_) {
        context->TryCancel();
    }
    none_in_flight_.wait(lock, [this] { return in_flight_.empty(); });
}

} // namespace dragonflymill::rpc
