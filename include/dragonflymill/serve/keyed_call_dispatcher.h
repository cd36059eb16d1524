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

/// Tracks the calls of plain services that one gateway has in flight. A non-repeatable call goes only to the
/// sidecar that its ticket or key selects, and is retried only after a sidecar reported that it was not run.
class keyed_call_dispatcher
{
public:
    /// Keeps references to `routes` and `rules`, which must outlive it; reads tickets with `ticket_key`. At
    /// most `capacity` calls are held.
    keyed_call_dispatcher(gateway_router& routes, retry_rules& rules, std::string ticket_key,
                          std::size_t capacity);

    /// Applies the service routes of a new bundle.
    void routes_changed(const std::vector<service_route_entry>& routes);
    /// Adds a call and dispatches it.
    void arrived(instant now, const gateway_input::service_arrived& input,
                 std::vector<gateway_action>& actions);
    /// Drops the call of a caller that disconnected. A call that was sent runs on; its sidecar stores the
    /// outcome.
    void caller_left(instant now, exchange_number exchange);
    /// Passes on the service's answer.
    void answered(instant now, const gateway_input::service_answered& input,
                  std::vector<gateway_action>& actions);
    /// Handles a refusal, or a lost connection, of a call.
    void refused(instant now, const gateway_input::service_refused& input,
                 std::vector<gateway_action>& actions);
    /// Passes on a ticket.
    void ticket_given(instant now, const gateway_input::ticket_given& input,
                      std::vector<gateway_action>& actions);
    /// Reports that the call whose status was requested is running.
    void running(instant now, const gateway_input::service_running& input,
                 std::vector<gateway_action>& actions);
    /// Handles time limits and retries that are due.
    void tick(instant now, std::vector<gateway_action>& actions);

    /// Returns the number of calls in flight.
    [[nodiscard]] auto size() const -> std::size_t { return calls_.size(); }

private:
    enum class timer_kind
    {
        time_limit,
        retry
    };
    struct timer_key
    {
        exchange_number exchange;
        timer_kind kind = timer_kind::time_limit;
    };
    struct call
    {
        gateway_input::service_arrived asked;
        deadline_budget limit;
        std::optional<upstream_id> owner; // the only sidecar that may run it, if a ticket or key selects one
        std::vector<upstream_id> excluded;
        upstream_id upstream;
        attempt_number attempt;
        bool sent = false;
        timer_id limit_timer;
        std::optional<timer_id> retry_timer{};
    };
    using calls = std::map<exchange_number, call>;

    [[nodiscard]] auto owner_for(const service_spec& spec) const -> result<std::optional<upstream_id>>;
    [[nodiscard]] auto find(const attempt_key& key) -> calls::iterator;
    void dispatch(instant now, calls::iterator entry, std::vector<gateway_action>& actions);
    [[nodiscard]] auto choose(instant now, const call& item) -> route_decision;
    void end_attempt(instant now, call& item);
    void remove(instant now, calls::iterator entry);

    gateway_router& routes_;
    retry_rules& rules_;
    ticket_codec tickets_;
    std::map<route_id, service_route_entry> services_;
    calls calls_;
    timer_service<timer_key> timers_;
    std::size_t capacity_;
};

} // namespace dragonflymill
