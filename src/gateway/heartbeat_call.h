#pragma once

#include "gate.grpc.pb.h"
#include "gateway/connection_activity.h"
#include "gateway/link_event.h"
#include "rpc/call_tracker.h"

#include <atomic>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>
#include <memory>
#include <mutex>

namespace dragonflymill::gateway {

/// Client side of the heartbeat stream of one connection.
class heartbeat_call final : public grpc::ClientBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>
{
public:
    /// Identifies the two ends of the connection.
    struct identity
    {
        upstream_id upstream; ///< Upstream whose load the replies report.
        process_id gateway;   ///< Sender of the heartbeats.
    };

    /// Opens the stream.
    static auto open(wire::sidecar_gate::Stub& stub, identity id, activity_ptr activity, link_sink sink,
                     rpc::call_tracker& calls) -> std::shared_ptr<heartbeat_call>;

    /// Sends a heartbeat, unless the previous one is still being written.
    void send(std::uint64_t number);
    /// Cancels the stream.
    void cancel();
    /// Returns whether the stream has ended, which means that the connection broke.
    [[nodiscard]] auto is_done() const -> bool { return done_; }

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    heartbeat_call(identity id, activity_ptr activity, link_sink sink, rpc::call_tracker& calls);
    void release_locked();

    identity id_;
    activity_ptr activity_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<heartbeat_call> self_; // keeps the reactor alive until OnDone
    grpc::ClientContext context_;
    wire::heartbeat_ping outgoing_;
    wire::heartbeat_pong incoming_;
    std::mutex mutex_;
    bool writing_ = false;
    bool has_hold_ = true; // OnDone is not called before the hold is removed
    std::atomic<bool> done_{false};
};

} // namespace dragonflymill::gateway
