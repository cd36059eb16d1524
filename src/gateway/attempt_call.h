#pragma once

#include "gate.grpc.pb.h"
#include "gateway/connection_activity.h"
#include "gateway/link_event.h"
#include "rpc/call_tracker.h"

#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>
#include <memory>
#include <mutex>
#include <string>

namespace dragonflymill::gateway {

/// Client side of one `attempt` call. The core thread opens it, writes to it and cancels it; received events
/// are passed to the sink on gRPC's threads.
class attempt_call final : public grpc::ClientBidiReactor<wire::attempt_request, wire::attempt_event>
{
public:
    /// Identifies the call in the events passed to the sink.
    struct identity
    {
        upstream_id upstream; ///< The upstream that runs the attempt.
        attempt_key key;      ///< The attempt.
    };

    /// Data sent to the sidecar.
    struct content
    {
        attempt_spec spec;                         ///< Specification of the attempt.
        std::shared_ptr<const std::string> prompt; ///< Sent after `send_prompt`.
    };

    /// Opens the call and sends the specification.
    static auto open(wire::sidecar_gate::Stub& stub, const identity& id, content data, activity_ptr activity,
                     link_sink sink, rpc::call_tracker& calls) -> std::shared_ptr<attempt_call>;

    /// Sends the prompt in chunks.
    void send_prompt();
    /// Cancels the call, on which the sidecar cancels its work. Suppresses all further events except load
    /// reports.
    void cancel();
    /// Cancels the call because its connection is being closed; the sink receives `attempt_broken`.
    void abort();
    /// Returns whether the call has ended.
    [[nodiscard]] auto is_done() const -> bool;

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    attempt_call(identity id, std::shared_ptr<const std::string> prompt, activity_ptr activity,
                 link_sink sink, rpc::call_tracker& calls);

    void forward_event(const wire::attempt_event& event);
    void write_chunk_locked();
    void release_locked();

    identity id_;
    std::shared_ptr<const std::string> prompt_;
    activity_ptr activity_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<attempt_call> self_; // keeps the reactor alive until OnDone
    grpc::ClientContext context_;
    wire::attempt_request outgoing_;
    wire::attempt_event incoming_;
    mutable std::mutex mutex_;
    std::size_t prompt_sent_ = 0;
    bool writing_ = true; // initially true: the opening message is being written
    bool prompt_requested_ = false;
    bool prompt_started_ = false;
    bool has_hold_ = true;      // OnDone is not called before the hold is removed
    bool end_reported_ = false; // the final event was passed to the sink or is suppressed
    bool done_ = false;
};

} // namespace dragonflymill::gateway
