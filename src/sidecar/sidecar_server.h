#pragma once

#include "control/control_snapshot.h"
#include "control/process_status.h"
#include "dragonflymill/serve/sidecar_core.h"
#include "log/pause_log.h"
#include "runtime/duty_thread.h"
#include "runtime/io_thread.h"
#include "runtime/latest.h"
#include "settings/sidecar_settings.h"
#include "sidecar/attempt_timeline.h"
#include "sidecar/gate_service.h"
#include "sidecar/order_log.h"
#include "sidecar/sidecar_log.h"
#include "sidecar/sidecar_probe.h"
#include "timeline/timeline_recorder.h"
#include "upstream/engine_client.h"
#include "upstream/service_client.h"

#include <functional>
#include <memory>

namespace dragonflymill::sidecar {

/// Runs the sidecar's core on the decision thread and applies its actions through the gRPC service and the
/// upstream clients.
class sidecar_server
{
public:
    /// Creates a server for `settings`. `on_all_done` is called on the decision thread when a planned stop is
    /// complete, `on_superseded` when the process was paused for so long that it may not continue.
    sidecar_server(const sidecar_settings& settings, std::string ticket_key, timeline_recorder& timeline,
                   std::function<void()> on_all_done, std::function<void()> on_superseded);

    /// Starts the threads.
    void start();
    /// Applies a snapshot of the control plane; called on the control thread only.
    void adopt(const control::control_snapshot& snapshot);
    /// Reports that a peer, asked at `asked`, has no newer bundle in force.
    void bundle_confirmed(instant asked) { post(sidecar_input::bundle_confirmed{asked}); }
    /// Reports that gateways can reach `service()`.
    void listening() { post(sidecar_input::listening{}); }
    /// Returns the status shown to operators.
    [[nodiscard]] auto status() const -> process_status { return status_.get(); }
    /// Starts a planned stop.
    void stop();
    /// Stops and joins the threads.
    void join();

    /// Returns the gRPC service for gateways.
    [[nodiscard]] auto service() -> gate_service& { return gate_service_; }

private:
    void adopt_bundle(const bundle& in_force, const upstream_entry& own);
    [[nodiscard]] auto core_options(const sidecar_settings& settings, std::string ticket_key) const
        -> sidecar_core_options;
    void post(sidecar_event event);
    void handle(std::optional<shell_event> event);
    void apply_actions(const std::vector<sidecar_action>& actions);
    void publish_status(instant now);
    void answer_heartbeat(const heartbeat_event& event);

    void apply(const sidecar_output::grant_attempt& action);
    void apply(const sidecar_output::refuse_call& action);
    void apply(const sidecar_output::start_stream& action);
    void apply(const sidecar_output::start_warm_up& action);
    void apply(const sidecar_output::send_tokens& action);
    void apply(const sidecar_output::finish_attempt& action);
    void apply(const sidecar_output::cancel_stream& action);
    void apply(const sidecar_output::release_span& action);
    void apply(const sidecar_output::grant_share& action);
    void apply(const sidecar_output::refuse_share& action);
    void apply(const sidecar_output::confirm_share_return& action);
    void apply(const sidecar_output::run_service& action);
    void apply(const sidecar_output::answer_service& action);
    void apply(const sidecar_output::send_ticket& action);
    void apply(const sidecar_output::report_running& action);
    void apply(const sidecar_output::ask_sidecar& action);
    void apply(const sidecar_output::send_order& action);
    void apply(const sidecar_output::all_done& action);

    upstream_id own_upstream_;
    process_id process_;
    timeline_recorder& timeline_;
    attempt_timeline attempt_timeline_;
    sidecar_log sidecar_log_;
    order_log order_log_;
    std::function<void()> on_all_done_;
    std::function<void()> on_superseded_;
    incarnation incarnation_;
    sidecar_core core_;
    runtime::duty_thread<shell_event> decision_thread_;
    runtime::io_thread upstream_thread_;
    gate_service gate_service_;
    upstream::engine_client engine_;
    upstream::service_client service_client_;
    instant last_tick_;
    pause_log pause_log_;
    instant next_status_;
    runtime::latest<process_status> status_;
    bool is_engine_ = false;
    std::shared_ptr<const bundle> adopted_bundle_; // used on the control thread only
    sidecar_probe probe_; // declared last: ends its calls before other members are destroyed
};

} // namespace dragonflymill::sidecar
