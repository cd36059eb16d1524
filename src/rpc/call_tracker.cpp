#include "rpc/call_tracker.h"

namespace dragonflymill::rpc {

void call_tracker::begin(grpc::ClientContext& context)
{
    const std::lock_guard lock(mutex_);
    under_way_.insert(&context);
    if (cancelled_) {
        context.TryCancel();
    }
}

void call_tracker::end(grpc::ClientContext& context)
{
    // Told under the lock: the waiter may destroy the tracker as soon as it sees that none is left.
    const std::lock_guard lock(mutex_);
    under_way_.erase(&context);
    none_left_.notify_all();
}

void call_tracker::cancel_and_wait()
{
    std::unique_lock lock(mutex_);
    cancelled_ = true;
    for (auto* context : under_way_) {
        context->TryCancel();
    }
    none_left_.wait(lock, [this] { return under_way_.empty(); });
}

} // namespace dragonflymill::rpc
