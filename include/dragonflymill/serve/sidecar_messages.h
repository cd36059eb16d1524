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

/// Number that a sidecar's shell gives to each call it receives.
using call_number = number_id<struct call_tag>;

/// Inputs of `sidecar_core`.
namespace sidecar_input {

/// A gateway puts a try.
struct attempt_opened
{
    call_number call;  ///< The call.
    attempt_spec spec; ///< What is asked.
};
/// The whole prompt has come.
struct prompt_received
{
    call_number call; ///< The call.
};
/// The gateway cancelled the call, or its connection is gone.
struct call_cancelled
{
    call_number call; ///< The call.
};
/// A sign of life of a gateway: what it holds here is renewed.
struct gateway_heartbeat
{
    process_id gateway; ///< The gateway.
};
/// The engine sent tokens.
struct engine_tokens
{
    call_number call;                ///< The call.
    token_offset offset = 0;         ///< Place of the first of them.
    std::vector<std::string> tokens; ///< Their text.
};
/// The engine ended the stream.
struct engine_finished
{
    call_number call;        ///< The call.
    token_offset tokens = 0; ///< Length of the whole answer.
    std::string reason;      ///< Why it ends there.
    std::string source{};    ///< Address where other engines read the span, if it is an export.
};
/// The stream broke or was never taken.
struct engine_failed
{
    call_number call;        ///< The call.
    bool sent = true;        ///< Whether a byte of the request may have reached the engine.
    bool overloaded = false; ///< Whether the engine said that it has too much load.
    bool not_loaded = false; ///< Whether the engine said that the model or adapter is not loaded.
};
/// One thing that the engine holds.
struct engine_holding
{
    std::string id;         ///< Engine's name for it.
    token_count tokens = 0; ///< Memory it takes.
    bool kv = false;        ///< Whether it is a span of KV cache, not a stream.

    friend auto operator==(const engine_holding&, const engine_holding&) -> bool = default;
};
/// The engine's word about itself.
struct engine_reported
{
    upstream_report status;           ///< Start, cold or not, queue.
    token_count memory_used = 0;      ///< Memory held, in tokens.
    std::vector<engine_holding> held; ///< What it holds.
    engine_view view{};               ///< Models, adapters, role and the number that fences orders.
    std::vector<model_id> loading{};  ///< Models that it is loading.
};
/// The engine confirmed that it no longer holds a stream.
struct cancel_confirmed
{
    std::string engine_request; ///< Engine's name of the stream.
};
/// The engine confirmed that it no longer holds a span of KV cache.
struct span_released
{
    std::string span; ///< Its name.
};
/// A gateway asks for a share of a gang.
struct share_requested
{
    call_number call;     ///< The call.
    process_id gateway;   ///< The gateway.
    reserve_share wanted; ///< What it asks for.
};
/// A gateway wants to keep a share.
struct share_renewal_requested
{
    call_number call;   ///< The call.
    process_id gateway; ///< The gateway.
    renew_share wanted; ///< Which share.
};
/// A gateway gives a share back, also one that may never have been granted.
struct share_release_requested
{
    call_number call;   ///< The call.
    process_id gateway; ///< The gateway.
    gang_key gang;      ///< The round that it was for.
};
/// A gateway asks for a ticket.
struct ticket_requested
{
    call_number call;  ///< The call.
    service_spec spec; ///< Route, account and remaining time.
};
/// A gateway calls the plain service.
struct service_called
{
    call_number call;  ///< The call.
    service_spec spec; ///< What is asked.
};
/// A gateway asks what became of a call.
struct status_requested
{
    call_number call;  ///< The call.
    service_spec spec; ///< Route, account, ticket or key.
};
/// The plain service answered.
struct service_answered
{
    call_number call;   ///< The call that ran it.
    once_answer answer; ///< The answer.
};
/// No answer of the plain service will come.
struct service_failed
{
    call_number call; ///< The call that ran it.
    bool sent = true; ///< Whether a byte of it may have reached the service.
};
/// The failure domain or the upstream was taken out, or is back.
struct drain_changed
{
    bool out = false; ///< Whether it takes no new work.
};
/// One plain service's route as the bundle in force has it.
struct route_view
{
    route_id route;                     ///< Its name.
    std::vector<upstream_id> upstreams; ///< Upstreams that serve it.
    duration remember_for{0};           ///< How long the outcome of a named call is kept.
};
/// The bundle in force changed the routes to plain services.
struct routes_changed
{
    std::vector<route_view> routes; ///< All of them.
};
/// The bundle in force changed what the upstream carries.
struct capacity_changed
{
    work_cost cold = 1;     ///< Work in cold start.
    work_cost warm = 1;     ///< Work when warm.
    model_id warm_up_model; ///< Model of an engine's warm-up requests; empty for none.
};
/// The process is to stop: nothing new is taken.
struct stop_requested
{
};
/// Time passed.
struct tick
{
};

} // namespace sidecar_input

/// Everything that `sidecar_core` takes in.
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

/// Tell the gateway to send the prompt.
struct grant_attempt
{
    call_number call; ///< The call.
    lease_id lease;   ///< Its permit.
};
/// End the call with a refusal.
struct refuse_call
{
    call_number call; ///< The call.
    refusal why;      ///< The refusal.
};
/// Put the stream to the engine, but not after `not_after`: the process may be paused in between.
struct start_stream
{
    call_number call;           ///< The call, whose prompt the shell holds.
    std::string engine_request; ///< Engine's name for it.
    attempt_spec spec;          ///< What to run.
    instant not_after;          ///< Last moment for the first byte to leave.
};
/// Put a request of the sidecar's own to the engine, with any prompt of `spec.prompt_tokens` tokens that no
/// earlier one began with. Nobody waits for its answer.
struct start_warm_up
{
    call_number call;           ///< A number that the shell never gives to a call.
    std::string engine_request; ///< Engine's name for it.
    attempt_spec spec;          ///< What to run.
    instant not_after;          ///< Last moment for the first byte to leave.
};
/// Pass tokens on.
struct send_tokens
{
    call_number call;                ///< The call.
    token_offset offset = 0;         ///< Place of the first of them.
    std::vector<std::string> tokens; ///< Their text.
};
/// Tell the gateway that the answer is whole.
struct finish_attempt
{
    call_number call;        ///< The call.
    token_offset tokens = 0; ///< Length of the whole answer.
    std::string reason;      ///< Why it ends there.
    std::string source{};    ///< Address where other engines read the span, if it was an export.
};
/// Close the connection of a stream, if there is one, and cancel it at the engine. Answered by
/// `cancel_confirmed`; asked again until then.
struct cancel_stream
{
    call_number call;           ///< The call.
    std::string engine_request; ///< Engine's name for it.
};
/// Release a span of KV cache at the engine. Answered by `span_released`; asked again until then.
struct release_span
{
    std::string span; ///< Its name.
};
/// Tell the gateway that its share stands.
struct grant_share
{
    call_number call;      ///< The call.
    lease_id lease;        ///< The share's lease.
    std::uint64_t ask = 0; ///< Number of the ask that it answers.
};
/// Tell the gateway that it has no share.
struct refuse_share
{
    call_number call;     ///< The call.
    refusal why;          ///< The refusal.
    bool in_line = false; ///< Whether the next free memory is kept for it.
};
/// Tell the gateway that nothing is held for its round any more.
struct confirm_share_return
{
    call_number call; ///< The call.
};
/// Call the plain service, but not after `not_after`.
struct run_service
{
    call_number call;   ///< The call.
    service_spec spec;  ///< What to run.
    instant not_after;  ///< Last moment for the first byte to leave.
    duration remaining; ///< How long to wait for the answer.
};
/// Answer the gateway with the service's answer.
struct answer_service
{
    call_number call;      ///< The call.
    once_answer answer;    ///< The answer.
    bool replayed = false; ///< Whether it is the remembered answer of an earlier call.
};
/// Give the gateway a ticket.
struct send_ticket
{
    call_number call;   ///< The call.
    std::string ticket; ///< The ticket's text.
};
/// Tell the gateway that the call it asks about is running, or may still be submitted.
struct report_running
{
    call_number call; ///< The call.
};
/// Everything is finished: the process may end.
struct all_done
{
};

} // namespace sidecar_output

/// Everything that `sidecar_core` wants done.
using sidecar_action =
    std::variant<sidecar_output::grant_attempt, sidecar_output::refuse_call, sidecar_output::start_stream,
                 sidecar_output::start_warm_up, sidecar_output::send_tokens, sidecar_output::finish_attempt,
                 sidecar_output::cancel_stream, sidecar_output::release_span, sidecar_output::grant_share,
                 sidecar_output::refuse_share, sidecar_output::confirm_share_return,
                 sidecar_output::run_service, sidecar_output::answer_service, sidecar_output::send_ticket,
                 sidecar_output::report_running, sidecar_output::ask_sidecar, sidecar_output::send_order,
                 sidecar_output::all_done>;

} // namespace dragonflymill
