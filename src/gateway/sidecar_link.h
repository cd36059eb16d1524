#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/serve/link_schedule.h"
#include "gateway/sidecar_connection.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::gateway {

/// What a look at a link led to.
struct link_tick_result
{
    std::optional<upstream_state> state;   ///< The upstream's new state.
    bool connection_replaced = false;      ///< Whether a connection was given up because it was silent.
    std::vector<attempt_key> unsent_calls; ///< Service calls that no connection was proven alive for in time.
};

/// Everything between this gateway and one upstream's sidecar: a connection for each length class, opened
/// when first needed. Used by the deciding thread alone.
class sidecar_link
{
public:
    /// Connects to the sidecar of `upstream`.
    sidecar_link(instant now, const upstream_entry& upstream, process_id self, heartbeat_options times,
                 link_sink sink, rpc::call_tracker& calls);

    /// Address that it connects to.
    [[nodiscard]] auto address() const -> const std::string& { return address_; }
    /// Opens a try on the connection of its class.
    void open_attempt(instant now, const attempt_key& key, const attempt_spec& spec,
                      std::shared_ptr<const std::string> prompt);
    /// Calls the plain service, once the connection is proven alive; if that takes too long, nothing is sent
    /// and `tick` says so.
    void call_service(instant now, const attempt_key& key, service_operation operation,
                      const service_spec& spec);
    /// Asks for, renews or gives back a share.
    template <typename Wanted>
    void call_share(instant now, const Wanted& wanted)
    {
        auto& connection = connection_for(now, length_class::interactive);
        connection.call_share(wanted);
        schedule_.set_in_flight(now, length_class::interactive, connection.in_flight());
    }
    /// Asks for a heartbeat, whose answer brings the upstream's load.
    void probe(instant now) { schedule_.request_heartbeat(now, length_class::interactive); }
    /// Hands a try's prompt or cancel to the connection it was opened on.
    void send_prompt(length_class size, const attempt_key& key);
    /// Ends a try.
    void cancel_attempt(length_class size, const attempt_key& key);

    /// Something has come on one of the connections.
    void heard(instant now);
    /// Sends heartbeats that are due and gives up silent connections.
    [[nodiscard]] auto tick(instant now) -> link_tick_result;

private:
    /// A service call whose connection is being proven.
    struct pending_call
    {
        attempt_key key;
        service_operation operation = service_operation::run;
        service_spec spec;
        instant since;
    };

    void open_connection(length_class size);
    [[nodiscard]] auto connection_for(instant now, length_class size) -> sidecar_connection&;
    void update_schedule(instant now);
    void send_pending_calls(instant now);
    [[nodiscard]] auto expire_pending_calls(instant now) -> std::vector<attempt_key>;

    upstream_id upstream_;
    std::string address_;
    process_id self_;
    heartbeat_options times_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::array<std::unique_ptr<sidecar_connection>, length_class_count> connections_;
    link_schedule schedule_;
    std::vector<pending_call> pending_calls_;
};

} // namespace dragonflymill::gateway
