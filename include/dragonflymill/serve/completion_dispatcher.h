#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/quarantine/part_quarantine.h"
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

/// The router that gateways use.
using gateway_router = router<predicted_first_token>;

/// Tracks the completions that one gateway has in flight, from arrival to their final answer. Each receives
/// exactly one final answer, at its time limit at the latest.
class completion_dispatcher
{
public:
    /// Keeps references to `routes`, `rules` and `gangs`, which must outlive it. `self` is the gateway's
    /// process id; at most `capacity` requests are held.
    completion_dispatcher(process_id self, gateway_router& routes, retry_rules& rules, gang_dispatcher& gangs,
                          std::size_t capacity);

    /// Adds a request and dispatches it.
    void arrived(instant now, const gateway_input::completion_arrived& input,
                 std::vector<gateway_action>& actions);
    /// Adds a request whose work starts with the next `resume`.
    void arrived_deferred(instant now, const gateway_input::completion_arrived& input,
                          std::vector<gateway_action>& actions);
    /// Cancels the request's attempt; the caller keeps the tokens delivered so far and waits for the rest.
    void pause(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// Continues a paused request at the upstream that is now the best.
    void resume(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// Cancels the work of a caller that disconnected.
    void caller_left(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// Sends the prompt of a granted attempt.
    void granted(instant now, const attempt_key& key, std::vector<gateway_action>& actions);
    /// Handles the refusal or loss of an attempt.
    void refused(instant now, const gateway_input::attempt_refused& input,
                 std::vector<gateway_action>& actions);
    /// Passes on tokens of an attempt.
    void tokens(instant now, const gateway_input::attempt_tokens& input,
                std::vector<gateway_action>& actions);
    /// Handles the end of an attempt's answer.
    void finished(instant now, const gateway_input::attempt_finished& input,
                  std::vector<gateway_action>& actions);
    /// Opens the decoding attempt of a gang whose spans are ready.
    void decode(instant now, const gang_decode& made, std::vector<gateway_action>& actions);
    /// Handles a gang that can't be reserved or was lost.
    void lost(instant now, const gang_attempt_lost& loss, std::vector<gateway_action>& actions);
    /// Handles time limits, retries and gaps that are due.
    void tick(instant now, std::vector<gateway_action>& actions);

    /// Returns the number of requests in flight.
    [[nodiscard]] auto size() const -> std::size_t { return requests_.size(); }
    /// Returns whether the exchange is in flight here.
    [[nodiscard]] auto holds(exchange_number exchange) const -> bool
    {
        return requests_.count(exchange) != 0;
    }

private:
    enum class timer_kind
    {
        time_limit,
        retry,
        open_gap
    };
    struct timer_key
    {
        exchange_number exchange;
        timer_kind kind = timer_kind::time_limit;
    };

    struct request
    {
        gateway_input::completion_arrived asked;
        deadline_budget limit;
        stream_joiner joiner;
        route_request routing;
        prompt_parts parts;
        upstream_id upstream;   // upstream of the running attempt; empty between two attempts
        attempt_number attempt; // number of the running attempt
        std::uint64_t attempts = 0;
        bool first_token_seen = false;
        instant first_token_at{};                // of the running attempt
        std::optional<instant> prompt_sent_at{}; // for the running attempt
        bool may_have_run = false;               // for the attempts before it
        bool paused = false;
        bool was_paused = false;
        timer_id limit_timer;
        std::optional<timer_id> attempt_timer{};
    };
    using requests = std::map<exchange_number, request>;

    [[nodiscard]] auto add_request(instant now, const gateway_input::completion_arrived& input,
                                   std::vector<gateway_action>& actions) -> requests::iterator;
    void dispatch(instant now, requests::iterator entry, std::vector<gateway_action>& actions);
    void open(instant now, requests::iterator entry, const route_request& routing, const route_choice& choice,
              const gang_decode* gang, std::vector<gateway_action>& actions);
    /// Refuses a request whose prompt is quarantined; returns whether it did.
    auto refuse_quarantined(instant now, requests::iterator entry, std::vector<gateway_action>& actions)
        -> bool;
    void record_lost_attempt(instant now, const request& item, const refusal& why);
    void end_attempt(instant now, request& item);
    [[nodiscard]] auto retry_deferred(instant now, requests::iterator entry, refusal_code code,
                                      duration after) -> bool;
    void apply_stream_outputs(instant now, requests::iterator entry, std::vector<stream_output> outputs,
                              const refusal& why, std::vector<gateway_action>& actions);
    void retry_or_refuse(instant now, requests::iterator entry, const refusal& why,
                         std::vector<gateway_action>& actions);
    void refuse_finally(instant now, requests::iterator entry, const refusal& why,
                        std::vector<gateway_action>& actions);
    void schedule_gap_check(requests::iterator entry);
    void remove(instant now, requests::iterator entry, std::vector<gateway_action>& actions);
    void set_attempt_timer(requests::iterator entry, instant at, timer_kind kind);

    process_id self_;
    gateway_router& routes_;
    retry_rules& rules_;
    gang_dispatcher& gangs_;
    part_quarantine quarantine_;
    requests requests_;
    timer_service<timer_key> timers_;
    std::size_t capacity_;
};

} // namespace dragonflymill
