#pragma once

#include <condition_variable>
#include <grpcpp/client_context.h>
#include <mutex>
#include <set>

namespace dragonflymill::rpc {

/// Tracks the calls that one client has in flight.
///
/// Guarded failure: a process shuts down while a call to a peer is in flight; its completion callback runs on
/// a gRPC thread and accesses destroyed objects, which crashes the process at the end of a graceful shutdown.
/// The owner of the client therefore cancels its calls and waits for them to end before it destroys anything.
class call_tracker
{
public:
    call_tracker() = default;
    ~call_tracker() { cancel_and_wait(); }
    call_tracker(const call_tracker&) = delete;
    auto operator=(const call_tracker&) -> call_tracker& = delete;

    /// Adds a call. A call added after `cancel_and_wait` is cancelled at once.
    void begin(grpc::ClientContext& context);
    /// Removes a call that has ended. Must be the last statement of its completion callback.
    void end(grpc::ClientContext& context);
    /// Cancels all calls and waits for them to end.
    void cancel_and_wait();

private:
    std::mutex mutex_;
    std::condition_variable none_in_flight_;
    std::set<grpc::ClientContext*> in_flight_;
    bool cancelled_ = false;
};

} // namespace dragonflymill::rpc
