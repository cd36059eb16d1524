#include "upstream/engine_client.h"

#include "http/whole_answer.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"
#include "upstream/engine_json.h"

#include <utility>

namespace dragonflymill::upstream {

namespace {

constexpr std::size_t max_event_bytes = 64 * 1024;
constexpr std::size_t max_state_bytes = 4 * 1024 * 1024;
/// Size of the answer to an order, a cancellation, an import or a release: a status and a few fields.
constexpr std::size_t max_control_answer_bytes = 64 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;
constexpr duration control_call_timeout = 2s;
constexpr duration control_call_total_timeout = 10s;
constexpr duration order_timeout = 30s;

auto post(const std::string& target, std::string body) -> http::http_request
{
    return {"POST", target, {{"Content-Type", "application/json"}}, std::move(body)};
}

/// Runs a short call. Passes the complete answer to `on_answer`, which is not called if the call fails, and
/// then calls `on_end`.
void fetch_answer(const std::shared_ptr<http::http_call>& call, http::http_request request, instant not_after,
                  std::function<void(unsigned status, const std::string& body)> on_answer,
                  std::function<void()> on_end)
{
    auto handlers = http::gather_answer([on_answer = std::move(on_answer), on_end = std::move(on_end)](
                                            http::call_end how, const http::http_response& answer) {
        if (how == http::call_end::whole) {
            on_answer(answer.status, answer.body);
        }
        on_end();
    });
    call->start(std::move(request), not_after, std::move(handlers));
}

auto control_call_deadline() -> instant
{
    return runtime::now() + control_call_timeout;
}

auto order_result_of(unsigned status) -> order_result
{
    switch (status) {
    case status_ok:
        return order_result::done;
    case status_conflict:
        return order_result::fenced;
    case status_too_many:
        return order_result::rate_limit;
    default:
        return order_result::failed;
    }
}

} // namespace

engine_client::engine_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                             engine_client_options options, sink events)
    : context_(context)
    , server_(std::move(server))
    , options_(options)
    , events_(std::move(events))
    , state_timer_(context)
{
}

void engine_client::start()
{
    read_state();
}

void engine_client::start_stream(const sidecar_output::start_stream& what, const std::string& prompt)
{
    if (what.spec.is_export()) {
        export_span(what, prompt);
    }
    else if (!what.spec.imports.empty()) {
        import_next(what, prompt, 0);
    }
    else {
        begin_stream(what, prompt);
    }
}

void engine_client::import_next(const sidecar_output::start_stream& what, std::string prompt,
                                std::size_t next_import)
{
    if (next_import == what.spec.imports.size()) {
        begin_stream(what, prompt);
        return;
    }
    const auto call = control_call();
    streams_.insert_or_assign(what.call, stream{call, http::sse_parser(max_event_bytes)});
    const auto imported = std::make_shared<bool>(false);
    const auto on_answer = [imported](unsigned status, const std::string& /*body*/) {
        *imported = status == status_ok;
    };
    const auto on_end = [this, imported, what, next_import, prompt = std::move(prompt)]() mutable {
        if (streams_.count(what.call) == 0) {
            return; // cancelled in the meantime
        }
        if (*imported) {
            import_next(what, std::move(prompt), next_import + 1);
            return;
        }
        fail_stream(what.call, false);
    };
    fetch_answer(call,
                 post("/v1/kv/import", import_body(what.engine_request, what.spec.imports[next_import])),
                 what.not_after, on_answer, on_end);
}

void engine_client::export_span(const sidecar_output::start_stream& what, const std::string& prompt)
{
    http::call_limits limits;
    limits.connect_timeout = options_.connect_timeout;
    limits.first_byte_timeout = options_.first_token_timeout;
    const auto call = std::make_shared<http::http_call>(context_, server_, limits);
    const auto number = what.call;
    const auto tokens = what.spec.span_end - what.spec.span_begin;
    streams_.insert_or_assign(number, stream{call, http::sse_parser(max_event_bytes)});
    http::call_handlers handlers;
    handlers.on_header = [this, number](unsigned status, const std::string& /*type*/) {
        streams_.at(number).status = status;
    };
    handlers.on_bytes = [](std::string_view /*bytes*/) {};
    handlers.on_end = [this, number, tokens](http::call_end how) { on_exported(number, tokens, how); };
    call->start(post("/v1/kv/export", export_body(what.engine_request, what.spec, prompt)), what.not_after,
                std::move(handlers));
}

void engine_client::on_exported(call_number call, token_count tokens, http::call_end how)
{
    const auto found = streams_.find(call);
    if (found == streams_.end() || found->second.status != status_ok || how != http::call_end::whole) {
        on_end(call, how);
        return;
    }
    streams_.erase(found);
    events_(sidecar_input::engine_finished{call, tokens, "exported", to_text(server_)});
}

void engine_client::release_span(const std::string& span)
{
    const auto confirm = [this, span](unsigned status, const std::string& /*body*/) {
        if (status == status_ok) {
            events_(sidecar_input::span_released{span});
        }
    };
    fetch_answer(control_call(), post("/v1/kv/release", release_body(span)), control_call_deadline(), confirm,
                 [] {});
}

auto engine_client::control_call() -> std::shared_ptr<http::http_call>
{
    http::call_limits limits;
    limits.connect_timeout = options_.connect_timeout;
    limits.first_byte_timeout = control_call_timeout;
    limits.total_timeout = control_call_total_timeout;
    limits.max_body_bytes = max_control_answer_bytes;
    return std::make_shared<http::http_call>(context_, server_, limits);
}

void engine_client::begin_stream(const sidecar_output::start_stream& what, const std::string& prompt)
{
    http::call_limits limits;
    limits.connect_timeout = options_.connect_timeout;
    limits.first_byte_timeout = options_.first_token_timeout;
    limits.silence_timeout = options_.first_token_timeout;
    const auto call = std::make_shared<http::http_call>(context_, server_, limits);
    const auto number = what.call;
    streams_.insert_or_assign(number, stream{call, http::sse_parser(max_event_bytes)});
    http::call_handlers handlers;
    handlers.on_header = [this, number](unsigned status, const std::string& /*type*/) {
        streams_.at(number).status = status;
    };
    handlers.on_bytes = [this, number, name = what.engine_request](std::string_view bytes) {
        on_bytes(number, name, bytes);
    };
    handlers.on_end = [this, number](http::call_end how) { on_end(number, how); };
    call->start(post("/v1/completions", completion_body(what.engine_request, what.spec, prompt)),
                what.not_after, std::move(handlers));
}

void engine_client::on_bytes(call_number call, const std::string& engine_request, std::string_view bytes)
{
    const auto found = streams_.find(call);
    if (found == streams_.end() || found->second.status != status_ok) {
        return;
    }
    const auto payloads = found->second.events.feed(bytes);
    if (!payloads) {
        fail_stream(call, true);
        return;
    }
    for (const auto& payload : payloads.value()) {
        on_payload(call, engine_request, payload);
    }
}

void engine_client::on_payload(call_number call, const std::string& engine_request,
                               const std::string& payload)
{
    const auto found = streams_.find(call);
    if (found == streams_.end() || found->second.ended) {
        return;
    }
    const auto read = read_stream_event(payload);
    if (!read) {
        fail_stream(call, true);
        return;
    }
    if (const auto* token = std::get_if<token_event>(&read.value())) {
        // Detects an engine that mixes up its streams by the request name in each token: the caller would
        // receive the answer of another request.
        if (token->engine_request != engine_request) {
            fail_stream(call, true);
            return;
        }
        found->second.call->silence_after(options_.token_timeout);
        events_(sidecar_input::engine_tokens{call, token->offset, {token->text}});
        return;
    }
    const auto& end = std::get<end_event>(read.value());
    if (end.engine_request != engine_request || end.reason == "cancelled") {
        fail_stream(call, true);
        return;
    }
    found->second.ended = true;
    events_(sidecar_input::engine_finished{call, end.tokens, end.reason});
}

void engine_client::on_end(call_number call, http::call_end how)
{
    const auto found = streams_.find(call);
    if (found == streams_.end()) {
        return;
    }
    const auto status = found->second.status;
    const bool ended = found->second.ended;
    streams_.erase(found);
    if (ended) {
        return;
    }
    sidecar_input::engine_failed failed{call};
    failed.sent = how != http::call_end::not_sent;
    failed.overloaded = status == status_unavailable || status == status_too_many;
    failed.not_loaded = status == status_not_found;
    events_(failed);
}

void engine_client::fail_stream(call_number call, bool sent)
{
    const auto found = streams_.find(call);
    if (found == streams_.end()) {
        return;
    }
    found->second.call->drop();
    streams_.erase(found);
    sidecar_input::engine_failed failed{call};
    failed.sent = sent;
    events_(failed);
}

void engine_client::cancel_stream(const sidecar_output::cancel_stream& what)
{
    const auto found = streams_.find(what.call);
    if (found != streams_.end()) {
        found->second.call->drop();
        streams_.erase(found);
    }
    const auto confirm = [this, name = what.engine_request](unsigned status, const std::string& body) {
        const auto still_held = read_cancel_answer(body);
        if (status == status_ok && still_held && !still_held.value()) {
            events_(sidecar_input::cancel_confirmed{name});
        }
    };
    fetch_answer(control_call(), post("/v1/cancel", cancel_body(what.engine_request)),
                 control_call_deadline(), confirm, [] {});
}

void engine_client::send_order(const sidecar_output::send_order& what)
{
    http::call_limits limits;
    limits.connect_timeout = options_.connect_timeout;
    limits.first_byte_timeout = order_timeout;
    limits.total_timeout = order_timeout;
    limits.max_body_bytes = max_control_answer_bytes;
    const auto call = std::make_shared<http::http_call>(context_, server_, limits);
    const auto answer = std::make_shared<sidecar_input::order_answered>();
    answer->number = what.number;
    const auto store_result = [answer](unsigned status, const std::string& /*body*/) {
        answer->how = order_result_of(status);
    };
    fetch_answer(call, post("/v1/orders", order_body(what.order)), what.not_after, store_result,
                 [this, answer] { events_(*answer); });
}

void engine_client::read_state()
{
    http::call_limits limits;
    limits.connect_timeout = options_.connect_timeout;
    limits.first_byte_timeout = control_call_timeout;
    limits.total_timeout = control_call_total_timeout;
    limits.max_body_bytes = max_state_bytes;
    const auto call = std::make_shared<http::http_call>(context_, server_, limits);
    const auto report = [this, sent_at = runtime::now()](unsigned status, const std::string& body) {
        auto read = read_state_answer(body);
        if (status == status_ok && read) {
            read.value().view.asked = sent_at;
            events_(std::move(read.value()));
        }
    };
    fetch_answer(call, {"GET", "/v1/state", {}, {}}, control_call_deadline(), report,
                 [this] { schedule_state_read(); });
}

void engine_client::schedule_state_read()
{
    state_timer_.expires_after(options_.state_interval);
    state_timer_.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            read_state();
        }
    });
}

} // namespace dragonflymill::upstream
