#pragma once

#include "gate.grpc.pb.h"
#include "sidecar/shell_event.h"

#include <grpcpp/support/server_callback.h>
#include <memory>
#include <mutex>

namespace dragonflymill::sidecar {

/// Server side of the heartbeats of one connection. Has at most one answer in flight and drops further ones:
/// the sender waits for the heartbeat interval, so no queue is needed.
class heartbeat_reactor final : public grpc::ServerBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>
{
public:
    /// Creates the reactor, which owns itself until the call is done, and starts the first read.
    static auto open(shell_sink sink) -> std::shared_ptr<heartbeat_reactor>;

    /// Answers a heartbeat; called on the decision thread.
    void answer(wire::heartbeat_pong pong);

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    explicit heartbeat_reactor(shell_sink sink);
    void finish_locked();

    shell_sink sink_;
    std::shared_ptr<heartbeat_reactor> self_; // keeps the reactor alive until OnDone
    wire::heartbeat_ping incoming_;
    wire::heartbeat_pong outgoing_;
    std::mutex mutex_;
    bool writing_ = false;
    bool finished_ = false;
};

} // namespace dragonflymill::sidecar
