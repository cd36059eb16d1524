#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/once/key_home.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// The calls of a plain service that one sidecar has in hand. Calls that may not be repeated go through the
/// ledger; all go through the permit gate.
class service_dispatcher
{
public:
    /// Works under `gate` and `ledger`, which the owner keeps alive, for the upstream `self`.
    service_dispatcher(permit_controller& gate, once_ledger& ledger, const upstream_id& self);

    /// A bundle has come into force with these routes.
    void routes_changed(instant now, const std::vector<sidecar_input::route_view>& routes);

    /// A gateway asks for a ticket.
    void ticket_asked(instant now, const sidecar_input::ticket_requested& input,
                      std::vector<sidecar_action>& actions);
    /// A gateway calls the service.
    void called(instant now, const sidecar_input::service_called& input,
                std::vector<sidecar_action>& actions);
    /// A gateway asks what became of a call.
    void status_asked(instant now, const sidecar_input::status_requested& input,
                      std::vector<sidecar_action>& actions);
    /// The service answered.
    void answered(instant now, const sidecar_input::service_answered& input,
                  std::vector<sidecar_action>& actions);
    /// No answer will come.
    void broken(instant now, const sidecar_input::service_failed& input,
                std::vector<sidecar_action>& actions);
    /// The gateway went away; a call that may not be repeated runs on, and its outcome is remembered.
    void cancelled(call_number call);
    /// Tells callers that wait for another's call when their own time is over.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Calls in hand.
    [[nodiscard]] auto size() const -> std::size_t { return running_.size(); }

private:
    struct running_call
    {
        lease_id lease;
        std::optional<call_serial> serial{};
        bool wanted = true;
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
    [[nodiscard]] auto ask_permit(instant now, const sidecar_input::service_called& input,
                                  std::vector<sidecar_action>& actions) -> std::optional<lease_id>;
    [[nodiscard]] auto once_call_of(const service_spec& spec) const -> once_call;
    [[nodiscard]] auto remember_for(const route_id& route) const -> duration;
    void tell(const once_outcome& outcome, call_number call, std::vector<sidecar_action>& actions);
    void tell_waiting(call_serial serial, const once_outcome& outcome, std::vector<sidecar_action>& actions);

    permit_controller& gate_;
    once_ledger& ledger_;
    key_home homes_;
    std::map<route_id, duration> remember_; // routes of the bundle in force
    std::map<call_number, running_call> running_;
    std::map<call_number, waiting_call> waiting_;
};

/// The answer to a call that was not sent: "not run" only if it `never_will_run`. Without the own lease a
/// successor may have run its key.
[[nodiscard]] auto refusal_before_sending(bool never_will_run) -> refusal;

} // namespace dragonflymill
