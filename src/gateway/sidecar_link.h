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

/// Result of `sidecar_link::tick`.
struct link_tick_result
{
    std::optional<upstream_state> state; ///< New state of the upstream, if it changed.
    bool connection_replaced = false;    ///< Whether a silent connection was closed.
    std::vector<attempt_key>
        unsent_calls; ///< Service calls that timed out before the connection was proven alive.
};

/// The connections between this gateway and one upstream's sidecar: one per length class, opened at its first
/// use. Used only by the core thread.
class sidecar_link
{
public:
    /// Opens the connection for interactive requests to the sidecar of `upstream`.
    sidecar_link(instant now, const upstream_entry& upstream, process_id self, heartbeat_options times,
                 link_sink sink, rpc::call_tracker& calls);

    /// Returns the address of the sidecar.
    [[nodiscard]] auto address() const -> const std::string& { return address_; }
    /// Opens an attempt on the connection of its length class.
    void open_attempt(instant now, const attempt_key& key, const attempt_spec& spec,
                      std::shared_ptr<const std::string> prompt);
    /// Calls the service once the connection is proven alive. If that takes longer than the silence timeout
    /// or the call's time limit, nothing is sent and `tick` returns the call in `unsent_calls`.
    void call_service(instant now, const attempt_key& key, service_operation operation,
                      const service_spec& spec);
    /// Reserves, renews or releases a share.
    template <typename ShareRequest>
    void call_share(instant now, const ShareRequest& request)
    {
        auto& connection = connection_for(now, length_class::interactive);
        connection.call_share(request);
        schedule_.set_in_flight(now, length_class::interactive, connection.in_flight());
    }
    /// Requests a heartbeat, whose reply reports the upstream's load.
    void probe(instant now) { schedule_.request_heartbeat(now, length_class::interactive); }
    /// Sends the prompt of an attempt that was opened with length class `size`.
    void send_prompt(length_class size, const attempt_key& key);
    /// Cancels an attempt that was opened with length class `size`.
    void cancel_attempt(length_class size, const attempt_key& key);

    /// Updates the schedule after a receive on one of the connections, and sends calls that waited for it.
    void heard(instant now);
    /// Sends due heartbeats and closes silent connections.
    [[nodiscard]] auto tick(instant now) -> link_tick_result;

private:
    /// A service call that waits until the connection is proven alive.
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
