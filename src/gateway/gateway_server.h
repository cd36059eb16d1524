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

/// What a gateway_server needs of the daemon around it; called on the deciding thread.
struct gateway_server_handlers
{
    std::function<void()> on_all_done;                             ///< A planned stop is finished.
    std::function<void(const ask_shares&)> request_account_shares; ///< Ask the home of accounts for shares.
};

/// The thread that decides, and the hands that carry out what it decides.
class gateway_server
{
public:
    /// A shell for `settings`.
    gateway_server(const gateway_settings& settings, std::string ticket_key, timeline_recorder& timeline,
                   metrics_registry& metrics, gateway_server_handlers handlers);

    /// Starts the thread.
    void start();
    /// Takes over what the control plane knows; called on one thread.
    void apply_snapshot(const control::control_snapshot& snapshot);
    /// Another gateway asks for shares of accounts whose home this is; waits for the deciding thread, but not
    /// long.
    [[nodiscard]] auto grant_shares(const std::vector<share_request>& requests) -> std::vector<share_grant>;
    /// The home of some accounts granted shares that were asked for at `asked`.
    void shares_granted(std::vector<share_grant> grants, instant asked);
    /// A caller's request; false if there is no room for it.
    [[nodiscard]] auto submit(accepted_request accepted) -> bool;
    /// A caller left.
    void caller_disconnected(std::uint64_t exchange);
    /// What operators see of it.
    [[nodiscard]] auto status() const -> process_status { return status_.get(); }
    /// Begins a planned stop.
    void stop();
    /// Ends the thread.
    void join();

private:
    /// Where a running try was put.
    struct placement
    {
        upstream_id upstream;
        length_class size = length_class::interactive;
    };
    /// A question to this gateway as the home of some accounts.
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

    template <typename Wanted>
    void call_share(const Wanted& wanted);
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
    std::map<exchange_number, exchange> exchanges_; // in step with what the core has in hand
    gateway_log log_{exchanges_};
    std::map<attempt_key, placement> placements_; // tries that may still be cancelled
    std::deque<gateway_event> follow_ups_;        // what carrying out an action led to at once
    rpc::call_tracker calls_; // outlives the links, and waits for what they have under way
    std::map<upstream_id, std::unique_ptr<sidecar_link>> links_;
    instant last_tick_;
    pause_log pauses_;
    instant next_status_;
    runtime::latest<process_status> status_;
    std::shared_ptr<const bundle> adopted_bundle_; // the control thread's own
};

} // namespace dragonflymill::gateway
