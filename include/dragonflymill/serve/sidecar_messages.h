#pragma once

#include "dragonflymill/admission/permit_controller.h"
#include "dragonflymill/gang/gang_messages.h"
#include "dragonflymill/once/once_ledger.h"
#include "dragonflymill/route/upstream_description.h"
#include "dragonflymill/serve/attempt_spec.h"
#include "dragonflymill/serve/order_messages.h"
#include "dragonflymill/serve/service_spec.h"

#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Number that a sidecar's shell assigns to each received call.
using call_number = number_id<struct call_tag>;

/// Inputs of `sidecar_core`.
namespace sidecar_input {

/// A gateway submitted an attempt.
struct attempt_opened
{
    call_number call;  ///< The call.
    attempt_spec spec; ///< The attempt.
};
/// The whole prompt was received.
struct prompt_received
{
    call_number call; ///< The call.
};
/// The gateway cancelled the call, or its connection was lost.
struct call_cancelled
{
    call_number call; ///< The call.
};
/// A gateway sent a heartbeat, which renews everything it holds here.
struct gateway_heartbeat
{
    process_id gateway; ///< The gateway.
};
/// The engine sent tokens.
struct engine_tokens
{
    call_number call;                ///< The call.
    token_offset offset = 0;         ///< Position of the first token in the answer.
    std::vector<std::string> tokens; ///< Text of the tokens.
};
/// The engine ended the stream.
struct engine_finished
{
    call_number call;        ///< The call.
    token_offset tokens = 0; ///< Length of the whole answer in tokens.
    std::string reason;      ///< Finish reason.
    std::string source{};    ///< Address from which other engines import the span, for an export.
};
/// The stream failed or was never accepted.
struct engine_failed
{
    call_number call;        ///< The call.
    bool sent = true;        ///< Whether a byte of the request may have reached the engine.
    bool overloaded = false; ///< Whether the engine rejected it for overload.
    bool not_loaded = false; ///< Whether the engine rejected it because the model or adapter is not loaded.
};
/// A stream or KV span that the engine holds.
struct engine_holding
{
    std::string id;         ///< Name at the engine.
    token_count tokens = 0; ///< KV cache memory in tokens.
    bool kv = false;        ///< Whether it is a span of KV cache instead of a stream.

    friend auto operator==(const engine_holding&, const engine_holding&) -> bool = default;
};
/// A report of the engine about its state.
struct engine_reported
{
    upstream_report status;           ///< Start number, cold flag and queue length.
    token_count memory_used = 0;      ///< KV cache memory in use, in tokens.
    std::vector<engine_holding> held; ///< Streams and spans that it holds.
    engine_view view{};               ///< Models, adapters, role and fencing number.
    std::vector<model_id> loading{};  ///< Models being loaded.
};
/// The engine confirmed that it no longer holds a stream.
struct cancel_confirmed
{
    std::string engine_request; ///< Name of the stream at the engine.
};
/// The engine confirmed that it no longer holds a span of KV cache.
struct span_released
{
    std::string span; ///< Name of the span.
};
/// A gateway requests a gang share.
struct share_requested
{
    call_number call;     ///< The call.
    process_id gateway;   ///< The gateway.
    reserve_share wanted; ///< The requested share.
};
/// A gateway requests the renewal of a share.
struct share_renewal_requested
{
    call_number call;   ///< The call.
    process_id gateway; ///< The gateway.
    renew_share wanted; ///< Share to renew.
};
/// A gateway releases a share, which may never have been granted.
struct share_release_requested
{
    call_number call;   ///< The call.
    process_id gateway; ///< The gateway.
    gang_key gang;      ///< Round of the share.
};
/// A gateway requests a ticket.
struct ticket_requested
{
    call_number call;  ///< The call.
    service_spec spec; ///< Route, account and remaining time.
};
/// A gateway calls the plain service.
struct service_called
{
    call_number call;  ///< The call.
    service_spec spec; ///< The service call.
};
/// A gateway queries the status of a call.
struct status_requested
{
    call_number call;  ///< The call.
    service_spec spec; ///< Route, account, and ticket or idempotency key.
};
/// The plain service answered.
struct service_answered
{
    call_number call;   ///< The call that ran it.
    once_answer answer; ///< The answer.
};
/// The call to the plain service failed: no answer will come.
struct service_failed
{
    call_number call; ///< The call that ran it.
    bool sent = true; ///< Whether a byte of the call may have reached the service.
};
/// The failure domain or the upstream was drained or returned to service.
struct drain_changed
{
    bool out = false; ///< Whether it accepts no new work.
};
/// Route of a plain service in the bundle in force.
struct route_view
{
    route_id route;                     ///< Name of the route.
    std::vector<upstream_id> upstreams; ///< Upstreams of the route.
    duration remember_for{0};           ///< Retention time of the outcome of a call by ticket or key.
};
/// The bundle in force changed the routes to plain services.
struct routes_changed
{
    std::vector<route_view> routes; ///< All routes.
};
/// The bundle in force changed the capacity of the upstream.
struct capacity_changed
{
    work_cost cold = 1;     ///< Capacity in cold start.
    work_cost warm = 1;     ///< Capacity when warm.
    model_id warm_up_model; ///< Model of warm-up requests; empty for none.
};
/// The process shall stop: new work is refused.
struct stop_requested
{
};
/// Time passed.
struct tick
{
};

} // namespace sidecar_input

/// Any input of `sidecar_core`.
using sidecar_event = std::variant<
    sidecar_input::attempt_opened, sidecar_input::prompt_received, sidecar_input::call_cancelled,
    sidecar_input::gateway_heartbeat, sidecar_input::engine_tokens, sidecar_input::engine_finished,
    sidecar_input::engine_failed, sidecar_input::engine_reported, sidecar_input::cancel_confirmed,
    sidecar_input::span_released, sidecar_input::share_requested, sidecar_input::share_renewal_requested,
    sidecar_input::share_release_requested, sidecar_input::ticket_requested, sidecar_input::service_called,
    sidecar_input::status_requested, sidecar_input::service_answered, sidecar_input::service_failed,
    sidecar_input::drain_changed, sidecar_input::capacity_changed, sidecar_input::routes_changed,
    sidecar_input::listening, sidecar_input::bundle_confirmed, sidecar_input::peers_changed,
    sidecar_input::declared_changed, sidecar_input::sidecar_answered, sidecar_input::order_answered,
    sidecar_input::stop_requested, sidecar_input::tick>;

/// Outputs of `sidecar_core`.
namespace sidecar_output {

/// Grants an attempt: the gateway may send the prompt.
struct grant_attempt
{
    call_number call; ///< The call.
    lease_id lease;   ///< Lease of its permit.
};
/// Ends the call with a refusal.
struct refuse_call
{
    call_number call; ///< The call.
    refusal why;      ///< The refusal.
};
/// Starts the stream at the engine, but not after `not_after`, since the process may be paused in between.
struct start_stream
{
    call_number call;           ///< The call; the shell holds its prompt.
    std::string engine_request; ///< Name at the engine.
    attempt_spec spec;          ///< Specification of the work.
    instant not_after;          ///< Latest time to send the first byte.
};
/// Sends a warm-up request to the engine, with any prompt of `spec.prompt_tokens` tokens that shares no
/// prefix with an earlier one. Its answer is discarded.
struct start_warm_up
{
    call_number call;           ///< Number that the shell never assigns to a call.
    std::string engine_request; ///< Name at the engine.
    attempt_spec spec;          ///< Specification of the work.
    instant not_after;          ///< Latest time to send the first byte.
};
/// Forwards tokens to the gateway.
struct send_tokens
{
    call_number call;                ///< The call.
    token_offset offset = 0;         ///< Position of the first token in the answer.
    std::vector<std::string> tokens; ///< Text of the tokens.
};
/// Reports to the gateway that the answer is complete.
struct finish_attempt
{
    call_number call;        ///< The call.
    token_offset tokens = 0; ///< Length of the whole answer in tokens.
    std::string reason;      ///< Finish reason.
    std::string source{};    ///< Address from which other engines import the span, for an export.
};
/// Closes the connection of a stream, if there is one, and cancels the stream at the engine. Repeated until
/// `cancel_confirmed`.
struct cancel_stream
{
    call_number call;           ///< The call.
    std::string engine_request; ///< Name at the engine.
};
/// Releases a span of KV cache at the engine. Repeated until `span_released`.
struct release_span
{
    std::string span; ///< Name of the span.
};
/// Confirms a share to the gateway.
struct grant_share
{
    call_number call;      ///< The call.
    lease_id lease;        ///< Lease of the share.
    std::uint64_t ask = 0; ///< Number of the reservation or renewal that it answers.
};
/// Refuses a share.
struct refuse_share
{
    call_number call;     ///< The call.
    refusal why;          ///< The refusal.
    bool in_line = false; ///< Whether the next free memory is reserved for it.
};
/// Confirms to the gateway that nothing is held for its round.
struct confirm_share_return
{
    call_number call; ///< The call.
};
/// Calls the plain service, but not after `not_after`.
struct run_service
{
    call_number call;   ///< The call.
    service_spec spec;  ///< Specification of the work.
    instant not_after;  ///< Latest time to send the first byte.
    duration remaining; ///< Time to wait for the answer.
};
/// Sends the service's answer to the gateway.
struct answer_service
{
    call_number call;      ///< The call.
    once_answer answer;    ///< The answer.
    bool replayed = false; ///< Whether it is the stored answer of an earlier call.
};
/// Sends a ticket to the gateway.
struct send_ticket
{
    call_number call;   ///< The call.
    std::string ticket; ///< Text of the ticket.
};
/// Reports to the gateway that the queried call is running or may still be submitted.
struct report_running
{
    call_number call; ///< The call.
};
/// All work has finished: the process may exit.
struct all_done
{
};

} // namespace sidecar_output

/// Any action requested by `sidecar_core`.
using sidecar_action =
    std::variant<sidecar_output::grant_attempt, sidecar_output::refuse_call, sidecar_output::start_stream,
                 sidecar_output::start_warm_up, sidecar_output::send_tokens, sidecar_output::finish_attempt,
                 sidecar_output::cancel_stream, sidecar_output::release_span, sidecar_output::grant_share,
                 sidecar_output::refuse_share, sidecar_output::confirm_share_return,
                 sidecar_output::run_service, sidecar_output::answer_service, sidecar_output::send_ticket,
                 sidecar_output::report_running, sidecar_output::ask_sidecar, sidecar_output::send_order,
                 sidecar_output::all_done>;

} // namespace dragonflymill
