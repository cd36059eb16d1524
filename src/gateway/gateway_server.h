#pragma once

#include "control/control_snapshot.h"
#include "control/process_status.h"
#include "dragonflymill/serve/gateway_core.h"
#include "gateway/caller_admission.h"
#include "gateway/exchange.h"
#include "gateway/gateway_log.h"
#include "gateway/link_event.h"
#include "gateway/sidecar_link.h"
#include "log/pause_log.h"
#include "metrics/metrics_registry.h"
#include "runtime/duty_thread.h"
#include "runtime/latest.h"
#include "settings/gateway_settings.h"
#include "timeline/timeline_recorder.h"

#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// Callbacks into the daemon, called on the core thread.
struct gateway_server_handlers
{
    std::function<void()> on_all_done; ///< The drain for a shutdown is complete.
    std::function<void(const ask_shares&)>
        request_account_shares; ///< Requests shares from the owner of some accounts.
};

/// Runs `gateway_core` on one thread, the core thread, and executes the actions it returns.
class gateway_server
{
public:
    /// Creates the server; `start` starts its thread.
    gateway_server(const gateway_settings& settings, std::string ticket_key, timeline_recorder& timeline,
                   metrics_registry& metrics, gateway_server_handlers handlers);

    /// Starts the core thread.
    void start();
    /// Applies a snapshot of the control plane. Called only on the control thread.
    void apply_snapshot(const control::control_snapshot& snapshot);
    /// Grants another gateway shares of accounts that this gateway owns. Waits for the core thread for at
    /// most 200 ms; returns no grants after a timeout or if the queue is full.
    [[nodiscard]] auto grant_shares(const std::vector<share_request>& requests) -> std::vector<share_grant>;
    /// Applies shares granted by the owner of some accounts; they were requested at `requested_at`.
    void shares_granted(std::vector<share_grant> grants, instant requested_at);
    /// Queues a request for the core; returns false if the queue is full.
    [[nodiscard]] auto submit(accepted_request accepted) -> bool;
    /// Reports that the caller of `exchange` disconnected.
    void caller_disconnected(std::uint64_t exchange);
    /// Returns the status shown to operators; updated every 250 ms.
    [[nodiscard]] auto status() const -> process_status { return status_.get(); }
    /// Begins a graceful shutdown: requests in flight are completed.
    void stop();
    /// Ends the core thread, closes all links and waits for their calls to end.
    void join();

private:
    /// Upstream and connection on which an attempt was opened.
    struct placement
    {
        upstream_id upstream;
        length_class size = length_class::interactive;
    };
    /// A request from another gateway for shares of accounts that this gateway owns.
    struct grant_query
    {
        std::vector<share_request> requests;
        std::shared_ptr<std::promise<std::vector<share_grant>>> answer;
    };
    using server_event = std::variant<link_event, accepted_request, grant_query>;

    void post(link_event event);
    void handle(std::optional<server_event> event);
    void handle_link(link_event event);
    void erase_placement(const gateway_event& input);
    void record_message(const gateway_event& input);
    void record_received(const attempt_key& key, std::string_view step, std::string_view message);
    void tick(instant now);
    static void log_state(const upstream_id& upstream, upstream_state state);
    void publish_status(instant now);
    void execute(const std::vector<gateway_action>& actions);
    void execute(const gateway_action& action);

    void execute_action(const gateway_output::open_attempt& action);
    void execute_action(const gateway_output::send_prompt& action);
    void execute_action(const gateway_output::cancel_attempt& action);
    void execute_action(const gateway_output::call_service& action);
    void execute_action(const gateway_output::deliver& action);
    void execute_action(const gateway_output::finish& action);
    void execute_action(const gateway_output::refuse& action);
    void execute_action(const gateway_output::answer_service& action);
    void execute_action(const gateway_output::give_ticket& action);
    void execute_action(const gateway_output::report_running& action);
    void execute_action(const reserve_share& action);
    void execute_action(const renew_share& action);
    void execute_action(const release_share& action);
    void execute_action(const gateway_output::connect_upstreams& action);
    void execute_action(const gateway_output::request_account_shares& action);
    void execute_action(const gateway_output::probe_load& action);
    void execute_action(const gateway_output::log_paused& action);
    void execute_action(const gateway_output::log_resumed& action);
    void execute_action(const gateway_output::all_done& action);

    template <typename ShareRequest>
    void call_share(const ShareRequest& request);
    void enqueue_follow_up(gateway_event event);
    void respond(exchange_number number, http::http_response response);
    void count_first_token(const exchange& pending);

    process_id self_;
    heartbeat_options heartbeat_;
    timeline_recorder& timeline_;
    metrics_registry& metrics_;
    gateway_server_handlers handlers_;
    gateway_core core_;
    runtime::duty_thread<server_event> core_thread_;
    std::map<exchange_number, exchange> exchanges_; // matches the core's requests in flight
    gateway_log log_{exchanges_};
    std::map<attempt_key, placement> placements_; // attempts that may still be cancelled
    std::deque<gateway_event> follow_ups_;        // inputs raised while executing an action
    rpc::call_tracker calls_;                     // outlives the links and waits for their calls to end
    std::map<upstream_id, std::unique_ptr<sidecar_link>> links_;
    instant last_tick_;
    pause_log pauses_;
    instant next_status_;
    runtime::latest<process_status> status_;
    std::shared_ptr<const bundle> adopted_bundle_; // used only by the control thread
};

} // namespace dragonflymill::gateway
