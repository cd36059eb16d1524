#pragma once

#include "gate.grpc.pb.h"
#include "sidecar/attempt_reactor.h"
#include "sidecar/call_registry.h"
#include "sidecar/heartbeat_reactor.h"
#include "sidecar/shell_event.h"
#include "sidecar/unary_reactor.h"

#include <atomic>
#include <functional>

namespace dragonflymill::sidecar {

/// gRPC service that a sidecar offers to gateways. Forwards calls to the decision thread, which makes every
/// decision, and sends back its replies.
class gate_service final : public wire::sidecar_gate::CallbackService
{
public:
    /// Passes incoming calls to `sink`.
    explicit gate_service(shell_sink sink);

    auto attempt(grpc::CallbackServerContext* context)
        -> grpc::ServerBidiReactor<wire::attempt_request, wire::attempt_event>* override;
    auto heartbeat(grpc::CallbackServerContext* context)
        -> grpc::ServerBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>* override;
    auto issue_ticket(grpc::CallbackServerContext* context, const wire::service_call* request,
                      wire::ticket_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto call_service(grpc::CallbackServerContext* context, const wire::service_call* request,
                      wire::service_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto call_status(grpc::CallbackServerContext* context, const wire::service_call* request,
                     wire::service_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto reserve_share(grpc::CallbackServerContext* context, const wire::gang_share_request* request,
                       wire::gang_share_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto renew_share(grpc::CallbackServerContext* context, const wire::gang_share_request* request,
                     wire::gang_share_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto release_share(grpc::CallbackServerContext* context, const wire::gang_share_request* request,
                       wire::gang_share_reply* reply) -> grpc::ServerUnaryReactor* override;

    /// Returns the reactor of an open attempt, or null.
    [[nodiscard]] auto find_attempt(call_number call) const -> std::shared_ptr<attempt_reactor>;
    /// Refuses a call of any kind with the reason and the upstream's current load.
    void refuse(call_number call, const refusal& why, const upstream_load& load);
    /// Answers a service call or a status request.
    void answer(call_number call, const wire::service_reply& reply);
    /// Answers a ticket request.
    void send_ticket(call_number call, const std::string& ticket);
    /// Answers the reservation, renewal or release of a gang share.
    void answer_share(call_number call, wire::gang_share_reply reply);

private:
    [[nodiscard]] auto next_call_number() -> call_number;
    template <typename Reply>
    auto open_unary(call_registry<unary_reactor<Reply>>& registry, Reply* reply, call_number call,
                    sidecar_event event) -> grpc::ServerUnaryReactor*;

    shell_sink sink_;
    std::atomic<std::uint64_t> last_call_number_{0};
    call_registry<attempt_reactor> attempts_;
    call_registry<unary_reactor<wire::service_reply>> service_calls_;
    call_registry<unary_reactor<wire::ticket_reply>> ticket_calls_;
    call_registry<unary_reactor<wire::gang_share_reply>> share_calls_;
};

} // namespace dragonflymill::sidecar
