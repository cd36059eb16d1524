#pragma once

#include "gate.grpc.pb.h"
#include "sidecar/shell_event.h"

#include <deque>
#include <grpcpp/support/server_callback.h>
#include <memory>
#include <mutex>
#include <string>

namespace dragonflymill::sidecar {

/// Server side of one `attempt` call: reads the attempt and its prompt, and writes its events. Reads and
/// writes run on gRPC's threads; `send` and `finish` are called on the decision thread.
class attempt_reactor final : public grpc::ServerBidiReactor<wire::attempt_request, wire::attempt_event>
{
public:
    /// Creates the reactor of a call; it owns itself until the call is done. `on_done` is called at that
    /// point; nothing may be sent afterwards.
    static auto open(grpc::CallbackServerContext* context, call_number call, shell_sink sink,
                     std::function<void(call_number)> on_done) -> std::shared_ptr<attempt_reactor>;

    /// Starts the first read.
    void begin();
    /// Queues an event for the gateway. Queued token events are merged to bound the memory used for a slow
    /// gateway.
    void send(wire::attempt_event event);
    /// Queues the last event and finishes the call after it.
    void finish(wire::attempt_event event);
    /// Moves the received prompt out; a second call returns an empty text.
    [[nodiscard]] auto take_prompt() -> std::string;

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    attempt_reactor(grpc::CallbackServerContext* context, call_number call, shell_sink sink,
                    std::function<void(call_number)> on_done);

    void handle_open();
    void handle_prompt();
    void refuse(refusal_code code, const char* remedy);
    void write_next_locked();

    grpc::CallbackServerContext* context_;
    call_number call_;
    shell_sink sink_;
    std::function<void(call_number)> on_done_;
    std::shared_ptr<attempt_reactor> self_; // keeps the reactor alive until OnDone
    wire::attempt_request incoming_;
    std::mutex mutex_;
    std::deque<wire::attempt_event> unsent_;
    std::string prompt_;
    std::size_t max_prompt_bytes_ = 0;
    bool opened_ = false;
    bool writing_ = false;
    bool finishing_ = false;
    bool finished_ = false;
};

} // namespace dragonflymill::sidecar
