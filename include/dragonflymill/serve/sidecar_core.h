#pragma once

#include "dragonflymill/serve/attempt_tracker.h"
#include "dragonflymill/serve/order_dispatcher.h"
#include "dragonflymill/serve/own_lease_renewer.h"
#include "dragonflymill/serve/service_dispatcher.h"
#include "dragonflymill/serve/share_coordinator.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <vector>

namespace dragonflymill {

/// Settings of a sidecar_core.
struct sidecar_core_options
{
    permit_controller_options gate;  ///< Permits of the upstream.
    once_ledger_options ledger;      ///< Calls that may not be repeated.
    duration own_lease_term = 5s;    ///< How long a successor waits; a longer pause ends this process.
    duration cancel_backoff = 200ms; ///< Time between two cancels of one stream.
    stream_stall_options watch;      ///< When a stream's silence counts.
    std::uint64_t seed = 0;          ///< Spreads retry times.
    std::uint32_t start_seconds = 0; ///< Civil time of the start, for the numbers that fence orders.
};

/// Every decision of a sidecar, without a socket, thread or clock: the shell feeds it events and carries out
/// its actions. The same events at the same times give the same actions.
class sidecar_core
{
public:
    /// A sidecar that has just started.
    sidecar_core(instant now, const sidecar_core_options& options);
    sidecar_core(const sidecar_core&) = delete;
    auto operator=(const sidecar_core&) -> sidecar_core& = delete;
    ~sidecar_core() = default;

    /// Takes in one event.
    [[nodiscard]] auto step(instant now, const sidecar_event& event) -> std::vector<sidecar_action>;

    /// The upstream's load as gateways get it with answers and heartbeats.
    [[nodiscard]] auto load(instant now) const -> upstream_load;
    /// Tries, calls and shares in hand.
    [[nodiscard]] auto in_flight() const -> std::size_t
    {
        return attempts_.size() + services_.size() + shares_.size();
    }
    /// Whether this process was paused for longer than its own lease, or another start of this sidecar
    /// answers at its address: it has to be started anew, since a successor may have taken its place.
    [[nodiscard]] auto superseded() const -> bool { return superseded_ || self_check_.superseded(); }
    /// Whether calls by key are run and orders are given now.
    [[nodiscard]] auto holds_own_lease(instant now) const -> bool { return now < ledger_.own_lease(); }
    /// What is ordered of the engine.
    [[nodiscard]] auto orders() const -> const order_dispatcher& { return orders_; }

private:
    void on_tick(instant now, std::vector<sidecar_action>& actions);
    void on_report(instant now, const sidecar_input::engine_reported& report,
                   std::vector<sidecar_action>& actions);
    void end_permits(instant now, std::vector<sidecar_action>& actions);
    void renew_own_lease(instant now);
    [[nodiscard]] auto refuse_if_not_ready(call_number call, std::vector<sidecar_action>& actions) const
        -> bool;
    [[nodiscard]] auto refuse_if_stopping(call_number call, std::vector<sidecar_action>& actions) const
        -> bool;

    void take(instant now, const sidecar_input::attempt_opened& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::prompt_received& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::call_cancelled& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::gateway_heartbeat& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_tokens& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_finished& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_failed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_reported& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::cancel_confirmed& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::span_released& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::share_requested& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::share_renewal_requested& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::share_release_requested& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::ticket_requested& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::service_called& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::status_requested& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::service_answered& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::service_failed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::drain_changed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::capacity_changed& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::routes_changed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::listening& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::bundle_confirmed& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::peers_changed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::declared_changed& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::sidecar_answered& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::order_answered& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::stop_requested& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::tick& input, std::vector<sidecar_action>& actions);

    sidecar_core_options options_;
    permit_controller gate_;
    once_ledger ledger_;
    attempt_tracker attempts_;
    share_coordinator shares_;
    service_dispatcher services_;
    own_lease_renewer self_check_;
    order_dispatcher orders_;
    model_id warm_up_model_;
    instant last_step_;
    instant reported_at_;
    upstream_report last_report_;
    token_count memory_used_ = 0;
    bool knows_capacity_; // out of a bundle or the options
    bool drained_ = false;
    bool stopping_ = false;
    bool superseded_ = false;
    bool said_all_done_ = false;
};

} // namespace dragonflymill
