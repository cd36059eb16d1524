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

/// The gateway's end of one connection's heartbeats.
class heartbeat_call final : public grpc::ClientBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>
{
public:
    /// What every answer is handed on with.
    struct identity
    {
        upstream_id upstream; ///< The upstream.
        process_id gateway;   ///< Who sends.
    };

    /// Opens the call.
    static auto open(wire::sidecar_gate::Stub& stub, identity who, activity_ptr activity, link_sink sink,
                     rpc::call_tracker& calls) -> std::shared_ptr<heartbeat_call>;

    /// Sends a heartbeat, unless the last one is still being written.
    void send(std::uint64_t number);
    /// Ends the call.
    void cancel();
    /// Whether it is over: the connection broke.
    [[nodiscard]] auto is_done() const -> bool { return done_; }

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    heartbeat_call(identity who, activity_ptr activity, link_sink sink, rpc::call_tracker& calls);
    void release_locked();

    identity who_;
    activity_ptr activity_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<heartbeat_call> self_; // keeps it alive until OnDone
    grpc::ClientContext context_;
    wire::heartbeat_ping outgoing_;
    wire::heartbeat_pong incoming_;
    std::mutex mutex_;
    bool writing_ = false;
    bool has_hold_ = true; // the transport waits for us before it calls OnDone
    std::atomic<bool> done_{false};
};

} // namespace dragonflymill::gateway
