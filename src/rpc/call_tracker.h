#pragma once

#include <condition_variable>
#include <grpcpp/client_context.h>
#include <mutex>
#include <set>

namespace dragonflymill::rpc {

/// The calls that one client has under way.
///
/// Guarded failure: a process stops while a fetch from a peer is under way, and the fetch's end, which comes
/// on gRPC's own thread, reaches into what is gone: a crash at the end of a planned stop. It holds because
/// whoever owns the client cancels what is under way and waits for its end before anything is taken down.
class call_tracker
{
public:
    call_tracker() = default;
    ~call_tracker() { cancel_and_wait(); }
    call_tracker(const call_tracker&) = delete;
    auto operator=(const call_tracker&) -> call_tracker& = delete;

    /// Notes a call that begins; one that begins after the cancel is cancelled at once.
    void begin(grpc::ClientContext& context);
    /// Notes that a call is over; the last thing its end does.
    void end(grpc::ClientContext& context);
    /// Cancels all calls and waits until they are over.
    void cancel_and_wait();

private:
    std::mutex mutex_;
    std::condition_variable none_in_flight_;
    std::set<grpc::ClientContext*> in_flight_;
    bool cancelled_ = false;
};

} // namespace dragonflymill::rpc
