#pragma once

#include "dragonflymill/serve/attempt_desk.h"
#include "dragonflymill/serve/service_desk.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <vector>

namespace dragonflymill {

/// Settings of a sidecar_core.
struct sidecar_core_options
{
    permit_gate_options gate;        ///< Permits of the upstream.
    once_ledger_options ledger;      ///< Calls that may not be repeated.
    duration own_lease_term = 5s;    ///< A pause longer than this ends the right to run calls named by key.
    duration cancel_backoff = 200ms; ///< Time between two cancels of one stream.
    stream_watch_options watch;      ///< When a stream's silence counts.
    std::uint64_t seed = 0;          ///< Spreads retry times.
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
    /// Tries and calls in hand.
    [[nodiscard]] auto in_hand() const -> std::size_t { return attempts_.size() + services_.size(); }
    /// Whether this process was paused for longer than its own lease: it has to be started anew, since a
    /// successor may have taken its place meanwhile.
    [[nodiscard]] auto superseded() const -> bool { return superseded_; }

private:
    void on_tick(instant now, std::vector<sidecar_action>& actions);
    void on_report(instant now, const sidecar_input::engine_reported& report,
                   std::vector<sidecar_action>& actions);
    void renew_own_lease(instant now);
    [[nodiscard]] auto refuse_if_stopping(call_number call, std::vector<sidecar_action>& actions) const
        -> bool;

    void take(instant now, const sidecar_input::attempt_opened& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::prompt_received& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::call_cancelled& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::gateway_heard& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_tokens& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_finished& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_failed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::engine_reported& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::cancel_confirmed& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::ticket_asked& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::service_called& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::status_asked& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::service_answered& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::service_broken& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::drain_changed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::capacity_changed& input,
              std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::routes_changed& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::stop_asked& input, std::vector<sidecar_action>& actions);
    void take(instant now, const sidecar_input::tick& input, std::vector<sidecar_action>& actions);

    sidecar_core_options options_;
    permit_gate gate_;
    once_ledger ledger_;
    attempt_desk attempts_;
    service_desk services_;
    model_id warm_up_model_;
    instant last_step_;
    instant reported_at_;
    upstream_report last_report_;
    token_count memory_used_ = 0;
    bool drained_ = false;
    bool stopping_ = false;
    bool superseded_ = false;
    bool said_all_done_ = false;
};

} // namespace dragonflymill
