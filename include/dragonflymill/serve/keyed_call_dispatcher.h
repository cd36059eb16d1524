#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/once/ticket.h"
#include "dragonflymill/retry/retry_rules.h"
#include "dragonflymill/serve/completion_dispatcher.h"
#include "dragonflymill/serve/gateway_messages.h"
#include "dragonflymill/time/timer_service.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflymill {

/// The calls of plain services that one gateway has in hand. A call that may not be repeated goes to the one
/// sidecar that its ticket or key names, and is tried again only when a sidecar said that it was not run.
class keyed_call_dispatcher
{
public:
    /// Works with `routes` and `rules`, which the owner keeps alive; reads tickets with `ticket_key`; holds
    /// at most `capacity` calls.
    keyed_call_dispatcher(gateway_router& routes, retry_rules& rules, std::string ticket_key,
                          std::size_t capacity);

    /// A bundle has come into force with these routes.
    void routes_changed(const std::vector<service_route_entry>& routes);
    /// A caller asks.
    void arrived(instant now, const gateway_input::service_arrived& input,
                 std::vector<gateway_action>& actions);
    /// The caller left. A call that was sent runs on; its outcome is remembered at the sidecar.
    void caller_left(instant now, exchange_number exchange);
    /// The service answered.
    void answered(instant now, const gateway_input::service_answered& input,
                  std::vector<gateway_action>& actions);
    /// The sidecar refused, or the call broke.
    void refused(instant now, const gateway_input::service_refused& input,
                 std::vector<gateway_action>& actions);
    /// The sidecar gave a ticket.
    void ticket_given(instant now, const gateway_input::ticket_given& input,
                      std::vector<gateway_action>& actions);
    /// The call asked about is running.
    void running(instant now, const gateway_input::service_running& input,
                 std::vector<gateway_action>& actions);
    /// Acts on what is due.
    void tick(instant now, std::vector<gateway_action>& actions);

    /// Calls in hand.
    [[nodiscard]] auto size() const -> std::size_t { return calls_.size(); }

private:
    enum class due
    {
        time_limit,
        retry
    };
    struct wake_key
    {
        exchange_number exchange;
        due why = due::time_limit;
    };
    struct call
    {
        gateway_input::service_arrived asked;
        deadline_budget limit;
        std::optional<upstream_id> home; // the one sidecar that may run it, if its name pins it
        std::vector<upstream_id> excluded;
        upstream_id at;
        attempt_number attempt;
        bool sent = false;
        timer_id limit_timer;
        std::optional<timer_id> retry_timer{};
    };
    using calls = std::map<exchange_number, call>;

    [[nodiscard]] auto home_for(const service_spec& spec) const -> result<std::optional<upstream_id>>;
    [[nodiscard]] auto find(const attempt_key& key) -> calls::iterator;
    void dispatch(instant now, calls::iterator held, std::vector<gateway_action>& actions);
    [[nodiscard]] auto choose(instant now, const call& item) -> route_decision;
    void end_attempt(instant now, call& item);
    void forget(instant now, calls::iterator held);

    gateway_router& routes_;
    retry_rules& rules_;
    ticket_codec tickets_;
    std::map<route_id, service_route_entry> services_;
    calls calls_;
    timer_service<wake_key> timers_;
    std::size_t capacity_;
};

} // namespace dragonflymill
