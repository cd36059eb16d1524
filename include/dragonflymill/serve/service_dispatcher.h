#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/once/key_home.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// Tracks the calls of a plain service that one sidecar has in flight. Non-repeatable calls go through the
/// ledger; all calls need a permit.
class service_dispatcher
{
public:
    /// Keeps references to `gate` and `ledger`, which must outlive it. `self` is the sidecar's upstream.
    service_dispatcher(permit_controller& gate, once_ledger& ledger, const upstream_id& self);

    /// Applies the service routes of a new bundle.
    void routes_changed(instant now, const std::vector<sidecar_input::route_view>& routes);

    /// Issues a ticket to a gateway.
    void ticket_asked(instant now, const sidecar_input::ticket_requested& input,
                      std::vector<sidecar_action>& actions);
    /// Runs a gateway's call of the service.
    void called(instant now, const sidecar_input::service_called& input,
                std::vector<sidecar_action>& actions);
    /// Reports the state of an earlier call.
    void status_asked(instant now, const sidecar_input::status_requested& input,
                      std::vector<sidecar_action>& actions);
    /// Stores and passes on the service's answer.
    void answered(instant now, const sidecar_input::service_answered& input,
                  std::vector<sidecar_action>& actions);
    /// Handles a call that will get no answer.
    void broken(instant now, const sidecar_input::service_failed& input,
                std::vector<sidecar_action>& actions);
    /// Handles a gateway's cancellation. A non-repeatable call runs on, and its outcome is stored.
    void cancelled(call_number call);
    /// Refuses callers that wait for another caller's call once their own time limit has expired.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Returns the number of calls in flight.
    [[nodiscard]] auto size() const -> std::size_t { return running_.size(); }

private:
    struct running_call
    {
        lease_id lease;
        std::optional<call_serial> serial{};
        bool caller_waits = true;
    };
    struct waiting_call
    {
        call_serial serial;
        instant until;
    };

    void run(instant now, const sidecar_input::service_called& input, std::optional<call_serial> serial,
             lease_id lease, std::vector<sidecar_action>& actions);
    void run_once(instant now, const sidecar_input::service_called& input,
                  std::vector<sidecar_action>& actions);
    [[nodiscard]] auto request_permit(instant now, const sidecar_input::service_called& input,
                                      std::vector<sidecar_action>& actions) -> std::optional<lease_id>;
    [[nodiscard]] auto once_call_of(const service_spec& spec) const -> once_call;
    [[nodiscard]] auto remember_for(const route_id& route) const -> duration;
    void reply(const once_outcome& outcome, call_number call, std::vector<sidecar_action>& actions);
    void reply_to_waiting(call_serial serial, const once_outcome& outcome,
                          std::vector<sidecar_action>& actions);

    permit_controller& gate_;
    once_ledger& ledger_;
    key_home homes_;
    std::map<route_id, duration> retention_; // routes of the bundle in force
    std::map<call_number, running_call> running_;
    std::map<call_number, waiting_call> waiting_;
};

/// Returns the refusal of a call that was not sent. It is "not run" only if the call `never_will_run`: once
/// this sidecar's own lease has ended, a successor may have run the same key.
[[nodiscard]] auto refusal_before_sending(bool never_will_run) -> refusal;

} // namespace dragonflymill
