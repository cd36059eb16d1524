#pragma once

#include "dragonflymill/serve/gateway_core.h"
#include "gateway/caller_gate.h"
#include "gateway/exchange.h"
#include "gateway/link_event.h"
#include "gateway/sidecar_link.h"
#include "metrics/metrics_registry.h"
#include "runtime/duty_thread.h"
#include "settings/gateway_settings.h"
#include "timeline/timeline_recorder.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// The thread that decides, and the hands that carry out what it decides.
class gateway_shell
{
public:
    /// A shell for `settings`; `on_all_done` is called on the deciding thread once a stop is finished.
    gateway_shell(const gateway_settings& settings, std::string ticket_key, timeline_recorder& timeline,
                  metrics_registry& metrics, std::function<void()> on_all_done);

    /// Starts the thread.
    void start();
    /// Takes over a bundle.
    void adopt(std::shared_ptr<const bundle> in_force);
    /// A caller's request; false if there is no room for it.
    [[nodiscard]] auto arrived(arrival made) -> bool;
    /// A caller left.
    void caller_left(std::uint64_t exchange);
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
    using shell_event = std::variant<link_event, arrival>;

    void post(link_event event);
    void handle(std::optional<shell_event> event);
    void handle_link(link_event event);
    void forget_placement(const gateway_event& input);
    void tick(instant now);
    void carry_out(const std::vector<gateway_action>& actions);

    void act(const gateway_output::open_attempt& action);
    void act(const gateway_output::send_prompt& action);
    void act(const gateway_output::cancel_attempt& action);
    void act(const gateway_output::call_service& action);
    void act(const gateway_output::deliver& action);
    void act(const gateway_output::finish& action);
    void act(const gateway_output::refuse& action);
    void act(const gateway_output::answer_service& action);
    void act(const gateway_output::give_ticket& action);
    void act(const gateway_output::tell_running& action);
    void act(const gateway_output::connect_upstreams& action);
    void act(const gateway_output::all_done& action);

    void follow_up(gateway_event event);
    void respond(exchange_number number, http::http_response response);
    void count_first_token(const exchange& held);

    process_id self_;
    heartbeat_times heartbeat_;
    timeline_recorder& timeline_;
    metrics_registry& metrics_;
    std::function<void()> on_all_done_;
    gateway_core core_;
    runtime::duty_thread<shell_event> decide_;
    std::map<exchange_number, exchange> exchanges_; // in step with what the core has in hand
    std::map<attempt_key, placement> placed_;       // tries that may still be cancelled
    std::deque<gateway_event> follow_ups_;          // what carrying out an action led to at once
    std::map<upstream_id, std::unique_ptr<sidecar_link>> links_;
    instant last_tick_;
};

} // namespace dragonflymill::gateway
