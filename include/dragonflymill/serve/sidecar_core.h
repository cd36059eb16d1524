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
    permit_controller_options gate;  ///< Admission control of the upstream.
    once_ledger_options ledger;      ///< At-most-once calls to plain services.
    duration own_lease_term = 5s;    ///< Wait of a successor; a longer pause supersedes this process.
    duration cancel_backoff = 200ms; ///< Interval between repeated cancels of one stream.
    stream_stall_options watch;      ///< Detection of stalled streams.
    std::uint64_t seed = 0;          ///< Seed of the jitter of retry times.
    std::uint32_t start_seconds = 0; ///< Wall-clock start time, part of the fencing numbers of orders.
};

/// Deterministic core of a sidecar: it uses no socket, thread or clock. The shell feeds it events and carries
/// out the returned actions. The same events at the same times give the same actions.
class sidecar_core
{
public:
    /// Creates a sidecar that started at `now`.
    sidecar_core(instant now, const sidecar_core_options& options);
    sidecar_core(const sidecar_core&) = delete;
    auto operator=(const sidecar_core&) -> sidecar_core& = delete;
    ~sidecar_core() = default;

    /// Applies one event and returns the actions that follow from it.
    [[nodiscard]] auto step(instant now, const sidecar_event& event) -> std::vector<sidecar_action>;

    /// Returns the upstream's load as it is sent to gateways with answers and heartbeats.
    [[nodiscard]] auto load(instant now) const -> upstream_load;
    /// Returns the number of attempts, service calls and gang shares in flight.
    [[nodiscard]] auto in_flight() const -> std::size_t
    {
        return attempts_.size() + services_.size() + shares_.size();
    }
    /// Returns whether this process was paused for longer than its own lease, or another incarnation of this
    /// sidecar answered at its address. It has to be restarted then, since a successor may have replaced it.
    [[nodiscard]] auto superseded() const -> bool { return superseded_ || own_lease_renewer_.superseded(); }
    /// Returns whether the own lease is valid. Calls by idempotency key and orders are sent only then.
    [[nodiscard]] auto holds_own_lease(instant now) const -> bool { return now < ledger_.own_lease(); }
    /// Returns the dispatcher of the orders to the engine.
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

    void handle(instant now, const sidecar_input::attempt_opened& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::prompt_received& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::call_cancelled& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::gateway_heartbeat& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::engine_tokens& input, std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::engine_finished& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::engine_failed& input, std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::engine_reported& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::cancel_confirmed& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::span_released& input, std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::share_requested& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::share_renewal_requested& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::share_release_requested& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::ticket_requested& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::service_called& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::status_requested& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::service_answered& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::service_failed& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::drain_changed& input, std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::capacity_changed& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::routes_changed& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::listening& input, std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::bundle_confirmed& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::peers_changed& input, std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::declared_changed& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::sidecar_answered& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::order_answered& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::stop_requested& input,
                std::vector<sidecar_action>& actions);
    void handle(instant now, const sidecar_input::tick& input, std::vector<sidecar_action>& actions);

    sidecar_core_options options_;
    permit_controller gate_;
    once_ledger ledger_;
    attempt_tracker attempts_;
    share_coordinator shares_;
    service_dispatcher services_;
    own_lease_renewer own_lease_renewer_;
    order_dispatcher orders_;
    model_id warm_up_model_;
    instant last_step_;
    instant reported_at_;
    upstream_report last_report_;
    token_count memory_used_ = 0;
    bool knows_capacity_; // from a bundle or the options
    bool drained_ = false;
    bool stopping_ = false;
    bool superseded_ = false;
    bool all_done_sent_ = false;
};

} // namespace dragonflymill
