#include "gateway/caller_admission.h"

#include "dragonflymill/route/prompt_blocks.h"
#include "gateway/account_keys.h"
#include "gateway/http_responses.h"
#include "http/http_text.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::gateway {

namespace {

constexpr std::size_t block_bytes = static_cast<std::size_t>(block_tokens) * 4;
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::size_t max_idempotency_key_length = 256;
constexpr duration ring_full_retry_after = 500ms;
constexpr duration body_limit_retry_after = 2s;
/// Other gateways can serve the caller at once: the load balancer has had time to notice that this one stops.
constexpr duration stopping_retry_after = 100ms;

auto find_model(const bundle& current, const std::string& name) -> const model_entry*
{
    const auto found = std::find_if(current.models.begin(), current.models.end(),
                                    [&](const model_entry& m) { return m.id.text() == name; });
    return found == current.models.end() ? nullptr : &*found;
}

auto find_service(const bundle& current, const std::string& name) -> const service_route_entry*
{
    const auto found = std::find_if(current.service_routes.begin(), current.service_routes.end(),
                                    [&](const service_route_entry& r) { return r.id.text() == name; });
    return found == current.service_routes.end() ? nullptr : &*found;
}

/// Returns the error response to a completion that the bundle does not allow, or nothing if it is valid.
auto reject_completion(const bundle& current, const completion_request& body, const request_id& id)
    -> std::optional<http::http_response>
{
    const auto* model = find_model(current, body.model);
    if (model == nullptr) {
        return rejection(id, 404, "unknown_model", "name one of the models of GET /v1/models");
    }
    const bool adapter_known =
        body.adapter.empty() ||
        std::count(model->adapters.begin(), model->adapters.end(), adapter_id(body.adapter)) != 0;
    if (!adapter_known) {
        return rejection(id, 404, "unknown_adapter", "name one of the model's adapters, see GET /v1/models");
    }
    const auto tokens = estimate_tokens(body.prompt.size());
    if (tokens > model->max_prompt_tokens) {
        return rejection(id, 413, "prompt_too_long",
                         "send at most " + std::to_string(model->max_prompt_tokens) +
                             " tokens; this prompt has about " + std::to_string(tokens));
    }
    return std::nullopt;
}

/// Service path split into the route name and the rest, which includes the query and starts with a slash.
struct service_path
{
    std::string route;
    std::string rest;
};

auto split_service_target(const std::string& target) -> service_path
{
    const auto route_and_rest = target.substr(services_prefix.size());
    const auto end = route_and_rest.find_first_of("/?");
    if (end == std::string::npos) {
        return {route_and_rest, "/"};
    }
    auto rest = route_and_rest.substr(end);
    if (rest.front() == '?') {
        rest.insert(rest.begin(), '/');
    }
    return {route_and_rest.substr(0, end), std::move(rest)};
}

auto operation_of(const std::string& method, const std::string& rest) -> service_operation
{
    if (method == "POST" && rest == "/tickets") {
        return service_operation::ticket;
    }
    if (method == "GET" && rest == "/status") {
        return service_operation::status;
    }
    return service_operation::run;
}

} // namespace

auto exchange_number_of(const http::http_session& session) -> exchange_number
{
    return exchange_number(session.exchange());
}

caller_admission::caller_admission(caller_admission_options options,
                                   std::function<bool(accepted_request)> on_accepted,
                                   std::function<std::string()> metrics)
    : options_(std::move(options))
    , on_accepted_(std::move(on_accepted))
    , metrics_(std::move(metrics))
{
}

void caller_admission::set_bundle(std::shared_ptr<const bundle> in_force)
{
    const std::lock_guard lock(mutex_);
    in_force_ = std::move(in_force);
}

auto caller_admission::in_force() const -> std::shared_ptr<const bundle>
{
    const std::lock_guard lock(mutex_);
    return in_force_;
}

auto caller_admission::next_request_id() -> request_id
{
    return request_id(options_.self.text() + "-" + std::to_string(options_.start) + "-" +
                      std::to_string(++requests_));
}

void caller_admission::handle_request(const session_ptr& session, http::http_request request)
{
    if (auto answer = answer_without_account(request)) {
        session->respond(session->exchange(), std::move(*answer));
        return;
    }
    const auto id = next_request_id();
    if (refuses_requests_) {
        session->respond(session->exchange(), refusal_response(id, {refusal_code::stopping, ran_state::no,
                                                                    stopping_retry_after, "come back"}));
        return;
    }
    const auto current = in_force();
    if (!current) {
        session->respond(session->exchange(),
                         refusal_response(id, {refusal_code::not_ready, ran_state::no, 1s, "come back"}));
        return;
    }
    const auto* account = find_account(*current, request.bearer_token());
    if (account == nullptr) {
        log_event(event::caller_unauthorized, field("request", id));
        session->respond(session->exchange(), rejection(id, 401, "unauthorized",
                                                        "send Authorization: Bearer with the account's key"));
        return;
    }
    handle_authorized(*account, *current, session, std::move(request), id);
}

auto caller_admission::body_limit_response() -> http::http_response
{
    return refusal_response(next_request_id(), {refusal_code::overloaded, ran_state::no,
                                                body_limit_retry_after, "come back after the time given"});
}

auto caller_admission::answer_without_account(const http::http_request& request) const
    -> std::optional<http::http_response>
{
    if (request.method != "GET") {
        return std::nullopt;
    }
    const auto path = request.path();
    if (path == "/healthz") {
        return http::http_response{200, "text/plain", {}, "ok\n"};
    }
    if (path == "/readyz") {
        return readiness();
    }
    if (path == "/metrics") {
        return http::http_response{200, "text/plain; version=0.0.4", {}, metrics_()};
    }
    return std::nullopt;
}

auto caller_admission::readiness() const -> http::http_response
{
    if (stopping_) {
        return {503, "text/plain", {}, "stopping\n"};
    }
    if (!in_force()) {
        return {503, "text/plain", {}, "no bundle in force\n"};
    }
    return {200, "text/plain", {}, "ready\n"};
}

void caller_admission::handle_authorized(const account_entry& account, const bundle& current,
                                         const session_ptr& session, http::http_request request,
                                         const request_id& id)
{
    const auto path = request.path();
    if (path == "/v1/models" && request.method == "GET") {
        session->respond(session->exchange(), models_response(id, current.models));
    }
    else if (path == "/v1/completions" && request.method == "POST") {
        handle_completion(account, current, session, request, id);
    }
    else if (path == "/v1/completions" || path == "/v1/models") {
        session->respond(session->exchange(), rejection(id, 405, "method_not_allowed",
                                                        "use POST /v1/completions or GET /v1/models"));
    }
    else if (path.rfind(services_prefix, 0) == 0) {
        handle_service(account, current, session, std::move(request), id);
    }
    else {
        session->respond(
            session->exchange(),
            rejection(id, 404, "unknown_path", "use /v1/completions, /v1/models or /v1/services/{route}"));
    }
}

void caller_admission::handle_completion(const account_entry& account, const bundle& current,
                                         const session_ptr& session, const http::http_request& request,
                                         const request_id& id)
{
    auto parsed = read_completion_request(request.body);
    if (!parsed) {
        session->respond(
            session->exchange(),
            rejection(id, 400, "invalid_request", parsed.error().message() + "; " + parsed.error().remedy()));
        return;
    }
    auto& body = parsed.value();
    if (auto rejected = reject_completion(current, body, id)) {
        session->respond(session->exchange(), std::move(*rejected));
        return;
    }
    gateway_input::completion_arrived event;
    event.exchange = exchange_number_of(*session);
    event.request = id;
    event.account = account.id;
    event.model = model_id(body.model);
    event.adapter = adapter_id(body.adapter);
    event.request_priority = body.request_priority.value_or(account.request_priority);
    event.prompt_tokens = estimate_tokens(body.prompt.size());
    event.max_tokens = body.max_tokens;
    event.blocks = prompt_blocks(body.prompt, block_bytes);
    event.time_limit = std::min(body.time_limit.value_or(options_.max_time_limit), options_.max_time_limit);
    exchange pending;
    pending.model = body.model;
    pending.stream = body.stream;
    pending.prompt_tokens = event.prompt_tokens;
    pending.prompt = std::make_shared<const std::string>(std::move(body.prompt));
    pending.request = id;
    submit(session, {std::move(pending), std::move(event)});
}

void caller_admission::handle_service(const account_entry& account, const bundle& current,
                                      const session_ptr& session, http::http_request request,
                                      const request_id& id)
{
    auto path = split_service_target(request.target);
    const auto* route = find_service(current, path.route);
    if (route == nullptr) {
        session->respond(session->exchange(),
                         rejection(id, 404, "unknown_route", "name a service route that is configured"));
        return;
    }
    gateway_input::service_arrived event;
    event.exchange = exchange_number_of(*session);
    event.operation = operation_of(request.method, path.rest);
    event.spec.request = id;
    event.spec.route = route->id;
    event.spec.account = account.id;
    event.spec.gateway = options_.self;
    event.spec.ticket = request.field("Dragonflymill-Ticket");
    event.spec.idempotency_key = request.field("Idempotency-Key");
    event.spec.method = std::move(request.method);
    event.spec.target = std::move(path.rest);
    event.spec.content_type = request.field("Content-Type");
    event.spec.body = std::move(request.body);
    event.spec.idempotent = route->idempotent;
    event.spec.remaining = std::min(route->time_limit, options_.max_time_limit);
    if (event.spec.idempotency_key.size() > max_idempotency_key_length) {
        session->respond(session->exchange(), rejection(id, 400, "invalid_request",
                                                        "send an Idempotency-Key of at most 256 characters"));
        return;
    }
    const bool identified = !event.spec.ticket.empty() || !event.spec.idempotency_key.empty();
    if (event.operation == service_operation::status && !identified) {
        session->respond(session->exchange(),
                         rejection(id, 400, "invalid_request",
                                   "name the call with Dragonflymill-Ticket or Idempotency-Key"));
        return;
    }
    exchange pending;
    pending.request = id;
    submit(session, {std::move(pending), std::move(event)});
}

void caller_admission::submit(const session_ptr& session, accepted_request accepted)
{
    const auto id = accepted.pending.request;
    accepted.pending.session = session;
    accepted.pending.session_exchange = session->exchange();
    accepted.pending.arrived = runtime::now();
    if (!on_accepted_(std::move(accepted))) {
        log_event(event::ring_full, field("request", id));
        session->respond(session->exchange(),
                         refusal_response(id, {refusal_code::overloaded, ran_state::no, ring_full_retry_after,
                                               "come back after the time given"}));
    }
}

} // namespace dragonflymill::gateway
