#pragma once

#include "gateway/attempt_call.h"
#include "gateway/heartbeat_call.h"

#include <atomic>
#include <grpcpp/channel.h>
#include <map>
#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// One connection to a sidecar, used for one length class, so that a long prompt being sent can't delay a
/// short one. Used only by the core thread.
class sidecar_connection
{
public:
    /// Connects to `address` and opens the heartbeat stream.
    sidecar_connection(const std::string& address, heartbeat_call::identity id, link_sink sink,
                       rpc::call_tracker& calls);
    ~sidecar_connection();
    sidecar_connection(const sidecar_connection&) = delete;
    auto operator=(const sidecar_connection&) -> sidecar_connection& = delete;

    /// Opens an attempt.
    void open_attempt(const attempt_key& key, const attempt_spec& spec,
                      std::shared_ptr<const std::string> prompt);
    /// Sends the prompt of a granted attempt.
    void send_prompt(const attempt_key& key);
    /// Cancels an attempt.
    void cancel_attempt(const attempt_key& key);
    /// Calls the service, or queries a ticket or a status, as `operation` states.
    void call_service(const attempt_key& key, service_operation operation, const service_spec& spec);
    /// Reserves a share. A call that fails raises no event; the planner sends it again.
    void call_share(const reserve_share& request);
    /// Renews a share; a failed call raises no event.
    void call_share(const renew_share& request);
    /// Releases a share; a failed call raises no event.
    void call_share(const release_share& request);
    /// Sends a heartbeat; reopens the stream if it has ended.
    void send_heartbeat();

    /// Returns the time of the last receive if it has changed since the previous call.
    [[nodiscard]] auto poll_received_at() -> std::optional<instant>;
    /// Returns true once after each break of the connection.
    [[nodiscard]] auto poll_disconnect() -> bool;
    /// Returns whether the channel is in gRPC's READY state.
    [[nodiscard]] auto ready() const -> bool;
    /// Returns the number of attempts and unary calls in flight.
    [[nodiscard]] auto in_flight() -> std::size_t;

private:
    template <typename Method, typename Answer>
    void start_share_call(wire::gang_share_request request, Method method, Answer answer);

    heartbeat_call::identity id_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<wire::sidecar_gate::Stub> stub_;
    activity_ptr activity_;
    std::shared_ptr<heartbeat_call> heartbeat_;
    std::map<attempt_key, std::shared_ptr<attempt_call>> attempts_;
    std::shared_ptr<std::atomic<std::size_t>> unary_calls_;
    std::optional<instant> polled_received_at_;
    bool disconnect_reported_ = false;
    std::uint64_t last_heartbeat_ = 0;
};

} // namespace dragonflymill::gateway
