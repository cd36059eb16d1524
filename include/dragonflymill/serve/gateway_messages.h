#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/gang/gang_messages.h"
#include "dragonflymill/limit/account_limiter.h"
#include "dragonflymill/once/once_ledger.h"
#include "dragonflymill/route/prompt_blocks.h"
#include "dragonflymill/route/routing_policy.h"
#include "dragonflymill/route/upstream_description.h"
#include "dragonflymill/serve/attempt_spec.h"
#include "dragonflymill/serve/service_spec.h"
#include "dragonflymill/stream/stream_joiner.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Number that a gateway's shell assigns to each client request.
using exchange_number = number_id<struct exchange_tag>;

/// Identifies one attempt at one request within a gateway.
struct attempt_key
{
    exchange_number exchange;
    attempt_number attempt;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const attempt_key&, const attempt_key&) -> std::strong_ordering = default;
};

/// Operation that a caller requests of a plain service.
enum class service_operation
{
    run,    ///< Run the call.
    ticket, ///< Issue a ticket for a later call.
    status, ///< Report the state of an earlier call.
};

/// Inputs of `gateway_core`.
namespace gateway_input {

/// A caller requests a completion.
struct completion_arrived
{
    exchange_number exchange;
    request_id request;        ///< Identifies the request in logs and at engines.
    client_account_id account; ///< Account that is charged for the request.
    model_id model;
    adapter_id adapter; ///< Adapter of the model; empty for none.
    priority request_priority = priority::standard;
    token_count prompt_tokens = 0;    ///< Length of the prompt.
    token_count max_tokens = 0;       ///< Maximum length of the answer.
    std::vector<block_hash> blocks{}; ///< Chained hashes of the prompt's blocks.
    duration time_limit{0};           ///< Time limit, counted from when the request was read.
    duration waited{0};               ///< Time since the request was read.

    /// Returns the rest of the time limit; zero or negative once it has expired.
    [[nodiscard]] auto remaining() const -> duration { return time_limit - waited; }
};
/// A caller calls a plain service, or requests a ticket or a status.
struct service_arrived
{
    exchange_number exchange;
    service_operation operation = service_operation::run;
    service_spec spec;  ///< The call, with its time limit counted from when it was read.
    duration waited{0}; ///< Time since the call was read.
};
/// The caller disconnected before its answer was complete.
struct caller_left
{
    exchange_number exchange;
};
/// The sidecar granted the attempt.
struct attempt_granted
{
    attempt_key key;
};
/// The sidecar refused the attempt, or its engine lost it.
struct attempt_refused
{
    attempt_key key;
    refusal why;
};
/// Tokens of the answer arrived.
struct attempt_tokens
{
    attempt_key key;
    token_offset offset = 0;         ///< Offset of the first token in the answer.
    std::vector<std::string> tokens; ///< Text of each token.
};
/// The answer is complete.
struct attempt_finished
{
    attempt_key key;
    token_offset tokens = 0; ///< Length of the whole answer.
    std::string reason;      ///< Finish reason.
    std::string source{}; ///< For an attempt that computed a span: address from which other engines read it.
};
/// The connection of the attempt was closed or replaced.
struct attempt_broken
{
    attempt_key key;
    bool prompt_sent = false; ///< Whether a byte of the prompt may have been sent.
};
/// The sidecar's answer to a service call.
struct service_answered
{
    attempt_key key;
    once_answer answer;
    bool replayed = false; ///< Whether it is the stored answer of an earlier call.
};
/// The sidecar refused the service call, or doesn't know its outcome.
struct service_refused
{
    attempt_key key;
    refusal why;
};
/// The sidecar issued a ticket.
struct ticket_given
{
    attempt_key key;
    std::string ticket;
};
/// The call whose status was requested is running, or may still be submitted.
struct service_running
{
    attempt_key key;
};
/// Load of an upstream, from an answer or a heartbeat.
struct load_reported
{
    upstream_id upstream;
    upstream_load load;
};
/// State of an upstream's sidecar as its link or the membership reports it.
struct upstream_changed
{
    upstream_id upstream;
    upstream_state state = upstream_state::alive;
};
/// A bundle was put in force.
struct bundle_adopted
{
    std::shared_ptr<const bundle> in_force;
};
/// Everything that is drained according to the bundle, the host list and gossip together. Until the first of
/// these events only the bundle's own drains apply.
struct drains_changed
{
    std::vector<failure_domain_id> domains; ///< Drained failure domains.
    std::vector<host_id> hosts;             ///< Drained hosts outside these domains.
};
/// The set of gateways believed alive changed.
struct gateways_changed
{
    std::vector<process_id> live; ///< All live gateways, this one included.
    std::size_t configured = 1;   ///< Number of gateways when all are alive.
};
/// The owner of some accounts granted shares of their limits.
struct shares_granted
{
    std::vector<share_grant> grants;
    instant asked; ///< When the shares were requested.
};
/// The process is to stop; work in flight is finished first.
struct stop_requested
{
};
/// Periodic event that triggers what is due.
struct tick
{
};

} // namespace gateway_input

/// Every input of `gateway_core`.
using gateway_event = std::variant<
    gateway_input::completion_arrived, gateway_input::service_arrived, gateway_input::caller_left,
    gateway_input::attempt_granted, gateway_input::attempt_refused, gateway_input::attempt_tokens,
    gateway_input::attempt_finished, gateway_input::attempt_broken, gateway_input::service_answered,
    gateway_input::service_refused, gateway_input::ticket_given, gateway_input::service_running,
    gateway_input::load_reported, gateway_input::upstream_changed, gateway_input::bundle_adopted,
    gateway_input::drains_changed, gateway_input::gateways_changed, gateway_input::shares_granted,
    share_granted, share_refused, share_released, gateway_input::stop_requested, gateway_input::tick>;

/// Outputs of `gateway_core`.
namespace gateway_output {

/// Open an attempt at the upstream's sidecar, on the connection of its length class.
struct open_attempt
{
    upstream_id upstream;
    attempt_key key;
    attempt_spec spec;                                  ///< Parameters of the attempt.
    route_reason reason = route_reason::only_candidate; ///< Why the upstream was chosen, for the timeline.
};
/// Send the prompt of a granted attempt.
struct send_prompt
{
    attempt_key key;
};
/// Cancel an attempt; the cancellation is passed on to the engine.
struct cancel_attempt
{
    attempt_key key;
};
/// Call a plain service through its sidecar.
struct call_service
{
    upstream_id upstream;
    attempt_key key;
    service_operation operation = service_operation::run;
    service_spec spec;
};
/// Send tokens to the caller.
struct deliver
{
    exchange_number exchange;
    token_offset offset = 0;         ///< Offset of the first token in the answer.
    std::vector<std::string> tokens; ///< Text of each token.
};
/// End the caller's complete answer.
struct finish
{
    exchange_number exchange;
    token_offset tokens = 0; ///< Length of the answer.
    std::string reason;      ///< Finish reason.
};
/// Send the caller its final refusal, as the response or as the last event of its stream.
struct refuse
{
    exchange_number exchange;
    refusal why;
};
/// Send the caller the plain service's answer.
struct answer_service
{
    exchange_number exchange;
    once_answer answer;
    bool replayed = false; ///< Whether it is the stored answer of an earlier call.
};
/// Send the caller a ticket.
struct give_ticket
{
    exchange_number exchange;
    std::string ticket;
};
/// Report to the caller that the call it asked about is running.
struct report_running
{
    exchange_number exchange;
};
/// Keep connections to exactly these upstreams.
struct connect_upstreams
{
    std::vector<upstream_entry> upstreams; ///< The gateway's subset.
};
/// Request shares of account limits from the accounts' owner.
struct request_account_shares
{
    ask_shares asked; ///< The owner and the requests.
};
/// Request an upstream's load from its sidecar.
struct probe_load
{
    upstream_id upstream;
};
/// Log that a request's work was paused.
struct log_paused
{
    exchange_number exchange;
};
/// Log that a paused request's work was resumed.
struct log_resumed
{
    exchange_number exchange;
};
/// Nothing is in flight any more; sent once, after a stop was requested.
struct all_done
{
};

} // namespace gateway_output

/// Every output of `gateway_core`.
using gateway_action =
    std::variant<gateway_output::open_attempt, gateway_output::send_prompt, gateway_output::cancel_attempt,
                 gateway_output::call_service, gateway_output::deliver, gateway_output::finish,
                 gateway_output::refuse, gateway_output::answer_service, gateway_output::give_ticket,
                 gateway_output::report_running, reserve_share, renew_share, release_share,
                 gateway_output::connect_upstreams, gateway_output::request_account_shares,
                 gateway_output::probe_load, gateway_output::log_paused, gateway_output::log_resumed,
                 gateway_output::all_done>;

} // namespace dragonflymill
