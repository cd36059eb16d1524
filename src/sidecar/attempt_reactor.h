#pragma once

#include "gate.grpc.pb.h"
#include "sidecar/shell_event.h"

#include <deque>
#include <grpcpp/support/server_callback.h>
#include <memory>
#include <mutex>
#include <string>

namespace dragonflymill::sidecar {

/// The sidecar's end of one `attempt` call: reads the try and its prompt, writes what becomes of it. Reads
/// and writes run on the transport's threads; `send` and `finish` are called by the deciding thread.
class attempt_reactor final : public grpc::ServerBidiReactor<wire::attempt_request, wire::attempt_event>
{
public:
    /// Takes the call over. `on_gone` is called once it is over and nothing more may be sent.
    static auto open(grpc::CallbackServerContext* context, call_number call, shell_sink sink,
                     std::function<void(call_number)> on_done) -> std::shared_ptr<attempt_reactor>;

    /// Begins to read.
    void begin();
    /// Queues an event for the gateway. Tokens that wait are joined, so a slow gateway costs little memory.
    void send(wire::attempt_event event);
    /// Queues the last event and ends the call behind it.
    void finish(wire::attempt_event event);
    /// The whole prompt; taken once.
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
    std::shared_ptr<attempt_reactor> self_; // keeps it alive until OnDone
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
