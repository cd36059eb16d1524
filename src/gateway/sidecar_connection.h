#pragma once

#include "gateway/attempt_call.h"
#include "gateway/heartbeat_call.h"

#include <atomic>
#include <grpcpp/channel.h>
#include <map>
#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// One connection to a sidecar, for one length class: a long prompt on its way can't sit before a short one.
/// Used by the deciding thread alone.
class sidecar_connection
{
public:
    /// Connects to `address`.
    sidecar_connection(const std::string& address, heartbeat_call::identity who, link_sink sink,
                       rpc::call_tracker& calls);
    ~sidecar_connection();
    sidecar_connection(const sidecar_connection&) = delete;
    auto operator=(const sidecar_connection&) -> sidecar_connection& = delete;

    /// Opens a try.
    void open_attempt(const attempt_key& key, const attempt_spec& spec,
                      std::shared_ptr<const std::string> prompt);
    /// Sends a granted try's prompt.
    void send_prompt(const attempt_key& key);
    /// Ends a try.
    void cancel_attempt(const attempt_key& key);
    /// Calls the plain service.
    void call_service(const attempt_key& key, service_operation operation, const service_spec& spec);
    /// Asks for, renews or gives back a share. Nothing comes back if the call breaks: the planner asks again.
    void call_share(const reserve_share& wanted);
    /// Renews a share.
    void call_share(const renew_share& wanted);
    /// Gives a share back.
    void call_share(const release_share& wanted);
    /// Sends a heartbeat.
    void send_heartbeat();

    /// When something was last received, if that is news since the last look.
    [[nodiscard]] auto take_received_at() -> std::optional<instant>;
    /// Whether it broke, if that is news since the last look.
    [[nodiscard]] auto take_disconnect() -> bool;
    /// Whether the transport takes it for connected.
    [[nodiscard]] auto ready() const -> bool;
    /// Tries and calls on it that are not over.
    [[nodiscard]] auto in_flight() -> std::size_t;

private:
    template <typename Method, typename Answer>
    void start_share_call(wire::gang_share_request request, Method method, Answer answer);

    heartbeat_call::identity who_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<wire::sidecar_gate::Stub> stub_;
    activity_ptr activity_;
    std::shared_ptr<heartbeat_call> heartbeat_;
    std::map<attempt_key, std::shared_ptr<attempt_call>> attempts_;
    std::shared_ptr<std::atomic<std::size_t>> unary_calls_;
    std::optional<instant> taken_received_at_;
    bool disconnect_taken_ = false;
    std::uint64_t last_heartbeat_ = 0;
};

} // namespace dragonflymill::gateway
