#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/retry/retry_rules.h"
#include "dragonflymill/route/predicted_first_token.h"
#include "dragonflymill/route/router.h"
#include "dragonflymill/serve/gang_dispatcher.h"
#include "dragonflymill/serve/gateway_messages.h"
#include "dragonflymill/stream/stream_joiner.h"
#include "dragonflymill/time/timer_service.h"

#include <map>
#include <vector>

namespace dragonflymill {

/// The routing that gateways use.
using gateway_router = router<predicted_first_token>;

/// The completions that one gateway has in hand, from arrival to their final answer. Each gets exactly one
/// final answer, at the latest at its time limit.
class completion_dispatcher
{
public:
    /// Works with `routes`, `rules` and `gangs`, which the owner keeps alive, for the gateway `self`; holds
    /// at most `capacity` requests.
    completion_dispatcher(process_id self, gateway_router& routes, retry_rules& rules, gang_dispatcher& gangs,
                          std::size_t capacity);

    /// A caller asks.
    void arrived(instant now, const gateway_input::completion_arrived& input,
                 std::vector<gateway_action>& actions);
    /// A caller asks, and its work waits for `resume`.
    void arrived_on_hold(instant now, const gateway_input::completion_arrived& input,
                         std::vector<gateway_action>& actions);
    /// Ends its try; the caller keeps what it has and waits for the rest.
    void pause(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// Goes on with it, at the upstream that is best now.
    void resume(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// The caller left: its work is cancelled.
    void caller_left(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// A try was granted: its prompt may travel.
    void granted(instant now, const attempt_key& key, std::vector<gateway_action>& actions);
    /// A try was refused or lost.
    void refused(instant now, const gateway_input::attempt_refused& input,
                 std::vector<gateway_action>& actions);
    /// Tokens have come.
    void tokens(instant now, const gateway_input::attempt_tokens& input,
                std::vector<gateway_action>& actions);
    /// A try says that the answer is whole.
    void finished(instant now, const gateway_input::attempt_finished& input,
                  std::vector<gateway_action>& actions);
    /// The engines of a gang are ready for the answer.
    void decode(instant now, const gang_decode& made, std::vector<gateway_action>& actions);
    /// A gang can't be had or was lost.
    void lost(instant now, const gang_attempt_lost& loss, std::vector<gateway_action>& actions);
    /// Acts on what is due.
    void tick(instant now, std::vector<gateway_action>& actions);

    /// Requests in hand.
    [[nodiscard]] auto size() const -> std::size_t { return requests_.size(); }
    /// Whether the exchange is one of these.
    [[nodiscard]] auto holds(exchange_number exchange) const -> bool
    {
        return requests_.count(exchange) != 0;
    }

private:
    enum class due
    {
        time_limit,
        retry,
        open_gap
    };
    struct wake_key
    {
        exchange_number exchange;
        due why = due::time_limit;
    };

    struct request
    {
        gateway_input::completion_arrived asked;
        deadline_budget limit;
        stream_joiner joiner;
        route_request routing;
        upstream_id at;         // upstream of the running try; empty between two tries
        attempt_number running; // its number
        std::uint64_t attempts = 0;
        bool first_token_seen = false;
        bool prompt_sent = false;  // of the running try
        bool may_have_run = false; // of the tries before it
        bool on_hold = false;
        bool was_on_hold = false;
        timer_id limit_timer;
        std::optional<timer_id> other_timer{};
    };
    using requests = std::map<exchange_number, request>;

    [[nodiscard]] auto take_in(instant now, const gateway_input::completion_arrived& input,
                               std::vector<gateway_action>& actions) -> requests::iterator;
    void dispatch(instant now, requests::iterator held, std::vector<gateway_action>& actions);
    void open(instant now, requests::iterator held, const route_request& routing, const route_choice& choice,
              const gang_decode* gang, std::vector<gateway_action>& actions);
    void end_attempt(instant now, request& item);
    [[nodiscard]] auto wait_again(instant now, requests::iterator held, refusal_code code, duration after)
        -> bool;
    void act_on(instant now, requests::iterator held, std::vector<stream_output> outputs, const refusal& why,
                std::vector<gateway_action>& actions);
    void try_again(instant now, requests::iterator held, const refusal& why,
                   std::vector<gateway_action>& actions);
    void give_up(instant now, requests::iterator held, const refusal& why,
                 std::vector<gateway_action>& actions);
    void watch_gap(requests::iterator held);
    void forget(instant now, requests::iterator held, std::vector<gateway_action>& actions);
    void set_other_timer(requests::iterator held, instant at, due why);

    process_id self_;
    gateway_router& routes_;
    retry_rules& rules_;
    gang_dispatcher& gangs_;
    requests requests_;
    timer_service<wake_key> timers_;
    std::size_t capacity_;
};

} // namespace dragonflymill
