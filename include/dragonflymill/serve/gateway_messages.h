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

/// Number that a gateway's shell gives to each request of a caller.
using exchange_number = number_id<struct exchange_tag>;

/// Names one try at one request within a gateway.
struct attempt_key
{
    exchange_number exchange; ///< The request.
    attempt_number attempt;   ///< The try.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const attempt_key&, const attempt_key&) -> std::strong_ordering = default;
};

/// What a caller wants of a plain service.
enum class service_operation
{
    run,    ///< Run the call.
    ticket, ///< Give a ticket for a later call.
    status, ///< Tell what became of an earlier call.
};

/// Inputs of `gateway_core`.
namespace gateway_input {

/// A caller asks for a completion.
struct completion_arrived
{
    exchange_number exchange;                       ///< The request.
    request_id request;                             ///< Its name.
    client_account_id account;                      ///< Whose it is.
    model_id model;                                 ///< Model it asks for.
    adapter_id adapter;                             ///< Adapter it asks for; empty for none.
    priority request_priority = priority::standard; ///< Its priority.
    token_count prompt_tokens = 0;                  ///< Length of the prompt.
    token_count max_tokens = 0;                     ///< Most tokens of the answer.
    std::vector<block_hash> blocks{};               ///< Chained hashes of the prompt's blocks.
    duration time_limit{0};                         ///< Its time limit, from when it was read.
    duration waited{0};                             ///< How long ago that was.

    /// What is left of its time limit; not above zero if none is.
    [[nodiscard]] auto remaining() const -> duration { return time_limit - waited; }
};
/// A caller calls a plain service, or asks for a ticket or a status.
struct service_arrived
{
    exchange_number exchange;                             ///< The request.
    service_operation operation = service_operation::run; ///< What it wants.
    service_spec spec;  ///< The call, with its time limit from when it was read.
    duration waited{0}; ///< How long ago that was.
};
/// The caller left before its answer was whole.
struct caller_left
{
    exchange_number exchange; ///< The request.
};
/// The sidecar granted the try.
struct attempt_granted
{
    attempt_key key; ///< The try.
};
/// The sidecar refused the try, or its engine lost it.
struct attempt_refused
{
    attempt_key key; ///< The try.
    refusal why;     ///< The refusal.
};
/// Tokens have come.
struct attempt_tokens
{
    attempt_key key;                 ///< The try.
    token_offset offset = 0;         ///< Place of the first of them.
    std::vector<std::string> tokens; ///< Their text.
};
/// The answer is whole.
struct attempt_finished
{
    attempt_key key;         ///< The try.
    token_offset tokens = 0; ///< Length of the whole answer.
    std::string reason;      ///< Why it ends there.
    std::string source{};    ///< Address where other engines read the span, if it was a try at one.
};
/// The call broke: its connection is gone or was replaced.
struct attempt_broken
{
    attempt_key key;          ///< The try.
    bool prompt_sent = false; ///< Whether a byte of the prompt may have left.
};
/// The sidecar's answer to a service call.
struct service_answered
{
    attempt_key key;       ///< The try.
    once_answer answer;    ///< The service's answer.
    bool replayed = false; ///< Whether it is the remembered answer of an earlier call.
};
/// The sidecar refused the service call, or can't tell what became of it.
struct service_refused
{
    attempt_key key; ///< The try.
    refusal why;     ///< The refusal.
};
/// The sidecar gave a ticket.
struct ticket_given
{
    attempt_key key;    ///< The try.
    std::string ticket; ///< The ticket's text.
};
/// The sidecar says that the call asked about is running or may still be submitted.
struct service_running
{
    attempt_key key; ///< The try.
};
/// A load word of an upstream, out of an answer or a heartbeat.
struct load_reported
{
    upstream_id upstream; ///< The upstream.
    upstream_load load;   ///< Its word.
};
/// The links' or membership's word about an upstream's sidecar.
struct upstream_changed
{
    upstream_id upstream;                         ///< The upstream.
    upstream_state state = upstream_state::alive; ///< The word.
};
/// A bundle has come into force.
struct bundle_adopted
{
    std::shared_ptr<const bundle> in_force; ///< The bundle.
};
/// What takes no new work, by all words that there are: bundle, host list and gossip. Until the first of
/// these the bundle's word counts alone.
struct drains_changed
{
    std::vector<failure_domain_id> domains; ///< Failure domains.
    std::vector<host_id> hosts;             ///< Further hosts.
};
/// The gateways believed alive have changed.
struct gateways_changed
{
    std::vector<process_id> live; ///< All of them, this one included.
    std::size_t configured = 1;   ///< How many there are when all are well.
};
/// The home of some accounts has granted shares of their limits.
struct shares_granted
{
    std::vector<share_grant> grants; ///< The grants.
    instant asked;                   ///< When they were asked for.
};
/// The process is to stop: what is in hand is finished.
struct stop_requested
{
};
/// Time passed.
struct tick
{
};

} // namespace gateway_input

/// Everything that `gateway_core` takes in.
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

/// Put a try to the upstream's sidecar, on the connection of its class.
struct open_attempt
{
    upstream_id upstream;                               ///< The upstream.
    attempt_key key;                                    ///< The try.
    attempt_spec spec;                                  ///< What is asked.
    route_reason reason = route_reason::only_candidate; ///< Why there, for the time line.
};
/// Send the prompt of a granted try.
struct send_prompt
{
    attempt_key key; ///< The try.
};
/// End a try: its cancel travels down to the engine.
struct cancel_attempt
{
    attempt_key key; ///< The try.
};
/// Call a sidecar's plain service.
struct call_service
{
    upstream_id upstream;                                 ///< The upstream.
    attempt_key key;                                      ///< The try.
    service_operation operation = service_operation::run; ///< What is wanted.
    service_spec spec;                                    ///< The call.
};
/// Give the caller tokens.
struct deliver
{
    exchange_number exchange;        ///< The request.
    token_offset offset = 0;         ///< Place of the first of them.
    std::vector<std::string> tokens; ///< Their text.
};
/// End the caller's answer: it is whole.
struct finish
{
    exchange_number exchange; ///< The request.
    token_offset tokens = 0;  ///< Length of the answer.
    std::string reason;       ///< Why it ends there.
};
/// Give the caller its final refusal, as an answer or as the last event of its stream.
struct refuse
{
    exchange_number exchange; ///< The request.
    refusal why;              ///< The refusal.
};
/// Give the caller the plain service's answer.
struct answer_service
{
    exchange_number exchange; ///< The request.
    once_answer answer;       ///< The answer.
    bool replayed = false;    ///< Whether it is the remembered answer of an earlier call.
};
/// Give the caller a ticket.
struct give_ticket
{
    exchange_number exchange; ///< The request.
    std::string ticket;       ///< The ticket's text.
};
/// Tell the caller that the call it asks about is running.
struct report_running
{
    exchange_number exchange; ///< The request.
};
/// Keep connections to exactly these upstreams.
struct connect_upstreams
{
    std::vector<upstream_entry> upstreams; ///< The subset.
};
/// Ask the home of some accounts for shares of their limits.
struct request_account_shares
{
    ask_shares asked; ///< Whom and what.
};
/// Ask an upstream's sidecar for its load.
struct probe_load
{
    upstream_id upstream; ///< The upstream.
};
/// Log that a request's work is paused.
struct log_paused
{
    exchange_number exchange; ///< The request.
};
/// Log that a paused request's work goes on.
struct log_resumed
{
    exchange_number exchange; ///< The request.
};
/// Everything in hand is finished.
struct all_done
{
};

} // namespace gateway_output

/// Everything that `gateway_core` wants done.
using gateway_action =
    std::variant<gateway_output::open_attempt, gateway_output::send_prompt, gateway_output::cancel_attempt,
                 gateway_output::call_service, gateway_output::deliver, gateway_output::finish,
                 gateway_output::refuse, gateway_output::answer_service, gateway_output::give_ticket,
                 gateway_output::report_running, reserve_share, renew_share, release_share,
                 gateway_output::connect_upstreams, gateway_output::request_account_shares,
                 gateway_output::probe_load, gateway_output::log_paused, gateway_output::log_resumed,
                 gateway_output::all_done>;

} // namespace dragonflymill
