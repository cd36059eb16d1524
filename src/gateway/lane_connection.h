#pragma once

#include "gateway/attempt_call.h"
#include "gateway/heartbeat_call.h"

#include <grpcpp/channel.h>
#include <map>
#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// Times of the heartbeats on connections to sidecars.
struct heartbeat_times
{
    duration interval = 500ms; ///< Between two heartbeats.
    std::uint64_t misses = 3;  ///< Unanswered intervals after which a connection is replaced.
};

/// One connection to a sidecar, for one length class: a long prompt on its way can't sit before a short one.
/// Used by the deciding thread alone.
class lane_connection
{
public:
    /// Connects to `address`.
    lane_connection(instant now, const std::string& address, heartbeat_call::identity who,
                    heartbeat_times times, link_sink sink, rpc::call_tracker& calls);
    ~lane_connection();
    lane_connection(const lane_connection&) = delete;
    auto operator=(const lane_connection&) -> lane_connection& = delete;

    /// Opens a try.
    void open_attempt(const attempt_key& key, const attempt_spec& spec,
                      std::shared_ptr<const std::string> prompt);
    /// Sends a granted try's prompt.
    void send_prompt(const attempt_key& key);
    /// Ends a try.
    void cancel_attempt(const attempt_key& key);
    /// Calls the plain service. False, with nothing sent, if the connection was not proven alive of late.
    [[nodiscard]] auto call_service(instant now, const attempt_key& key, service_wish wish,
                                    const service_spec& spec) -> bool;
    /// Asks for, renews or gives back a share. Nothing comes back if the call breaks: the planner asks again.
    void call_share(const reserve_share& wanted);
    /// Renews a share.
    void call_share(const renew_share& wanted);
    /// Gives a share back.
    void call_share(const release_share& wanted);

    /// An answer to a heartbeat has come.
    void heard(instant now) { heard_at_ = now; }
    /// Sends a heartbeat if one is due and forgets tries that are over.
    void tick(instant now);
    /// Whether so many heartbeats went unanswered that the connection has to be replaced.
    [[nodiscard]] auto silent(instant now) const -> bool;
    /// Whether a heartbeat was ever answered on it.
    [[nodiscard]] auto proven() const -> bool { return heard_at_ > opened_at_; }
    /// Number of the connection.
    [[nodiscard]] auto number() const -> std::uint64_t { return who_.connection; }

private:
    template <typename Method, typename Answer>
    void ask_about_share(wire::gang_share_request request, Method method, Answer answer);
    [[nodiscard]] auto patience() const -> duration;

    heartbeat_call::identity who_;
    heartbeat_times times_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<wire::sidecar_gate::Stub> stub_;
    std::shared_ptr<heartbeat_call> heartbeat_;
    std::map<attempt_key, std::shared_ptr<attempt_call>> attempts_;
    instant opened_at_;
    instant heard_at_;
    instant next_heartbeat_;
    std::uint64_t heartbeats_ = 0;
};

} // namespace dragonflymill::gateway
