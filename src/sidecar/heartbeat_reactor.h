#pragma once

#include "gate.grpc.pb.h"
#include "sidecar/shell_event.h"

#include <grpcpp/support/server_callback.h>
#include <memory>
#include <mutex>

namespace dragonflymill::sidecar {

/// The sidecar's end of one connection's heartbeats. One is answered at a time; a gateway sends the next
/// after the interval, so nothing piles up.
class heartbeat_reactor final : public grpc::ServerBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>
{
public:
    /// Begins to read.
    static auto open(shell_sink sink) -> std::shared_ptr<heartbeat_reactor>;

    /// Answers a heartbeat; called by the deciding thread.
    void answer(wire::heartbeat_pong pong);

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    explicit heartbeat_reactor(shell_sink sink);
    void finish_locked();

    shell_sink sink_;
    std::shared_ptr<heartbeat_reactor> self_; // keeps it alive until OnDone
    wire::heartbeat_ping incoming_;
    wire::heartbeat_pong outgoing_;
    std::mutex mutex_;
    bool writing_ = false;
    bool finished_ = false;
};

} // namespace dragonflymill::sidecar
