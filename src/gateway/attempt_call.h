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

/// The gateway's end of one `attempt` call. Made, sent on and cancelled by the deciding thread; what comes in
/// is handed to the sink on the transport's threads.
class attempt_call final : public grpc::ClientBidiReactor<wire::attempt_request, wire::attempt_event>
{
public:
    /// What everything that comes is handed on with.
    struct identity
    {
        upstream_id upstream; ///< The upstream.
        attempt_key key;      ///< The try.
    };

    /// What is put to the sidecar.
    struct content
    {
        attempt_spec spec;                         ///< What is asked.
        std::shared_ptr<const std::string> prompt; ///< The prompt, sent once it is wanted.
    };

    /// Opens the call.
    static auto open(wire::sidecar_gate::Stub& stub, const identity& who, content what, activity_ptr activity,
                     link_sink sink, rpc::call_tracker& calls) -> std::shared_ptr<attempt_call>;

    /// Sends the prompt, a piece at a time.
    void send_prompt();
    /// Ends the call; the sidecar then cancels its work, and nothing more is handed to the sink.
    void cancel();
    /// Ends the call because its connection is given up; the sink is told that it broke.
    void abort();
    /// Whether it is over.
    [[nodiscard]] auto is_done() const -> bool;

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    attempt_call(identity who, std::shared_ptr<const std::string> prompt, activity_ptr activity,
                 link_sink sink, rpc::call_tracker& calls);

    void forward_event(const wire::attempt_event& event);
    void write_chunk_locked();
    void release_locked();

    identity who_;
    std::shared_ptr<const std::string> prompt_;
    activity_ptr activity_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<attempt_call> self_; // keeps it alive until OnDone
    grpc::ClientContext context_;
    wire::attempt_request outgoing_;
    wire::attempt_event incoming_;
    mutable std::mutex mutex_;
    std::size_t prompt_sent_ = 0;
    bool writing_ = true; // the opening message
    bool prompt_requested_ = false;
    bool prompt_started_ = false;
    bool has_hold_ = true;      // the transport waits for us before it calls OnDone
    bool end_reported_ = false; // a last word was handed on
    bool done_ = false;
};

} // namespace dragonflymill::gateway
