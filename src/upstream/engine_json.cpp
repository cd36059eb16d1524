#include "upstream/engine_json.h"

#include "dragonflymill/route/engine_priority.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace dragonflymill::upstream {

namespace json = boost::json;

namespace {

auto malformed_error(const char* what) -> error
{
    return {error_kind::corrupt, std::string("the engine's ") + what + " can't be read",
            "check that the engine speaks the interface in docs/upstreams.md"};
}

auto parse_object(const std::string& text) -> result<json::object>
{
    json::error_code failure;
    auto value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        return malformed_error("answer");
    }
    return std::move(value.as_object());
}

auto string_field(const json::object& from, const char* name) -> std::string
{
    const auto* value = from.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

auto integer_field(const json::object& from, const char* name) -> std::int64_t
{
    const auto* value = from.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    json::error_code inexact;
    return value->to_number<std::int64_t>(inexact);
}

auto bool_field(const json::object& from, const char* name) -> bool
{
    const auto* value = from.if_contains(name);
    return value != nullptr && value->is_bool() && value->as_bool();
}

auto read_holdings(const json::object& state) -> std::vector<sidecar_input::engine_holding>
{
    std::vector<sidecar_input::engine_holding> held;
    const auto* list = state.if_contains("held");
    if (list == nullptr || !list->is_array()) {
        return held;
    }
    for (const auto& item : list->as_array()) {
        if (item.is_object()) {
            const auto& fields = item.as_object();
            held.push_back({string_field(fields, "id"), integer_field(fields, "tokens"),
                            string_field(fields, "kind") == "kv"});
        }
    }
    return held;
}

auto priority_of(const attempt_spec& spec) -> std::size_t
{
    // A short prompt keeps its usual priority: it uses so little capacity that delaying it would help no
    // other request, and for its client it counts as a short prompt.
    const bool can_wait =
        spec.request_priority == priority::overnight && spec.size != length_class::interactive;
    return can_wait ? overnight_engine_priority : engine_priority(spec.size);
}

/// Serializes `fields`, which are short, and appends the prompt as the last member; the prompt is not copied
/// into a JSON value first.
auto with_prompt(const json::object& fields, const std::string& prompt) -> std::string
{
    auto text = json::serialize(fields);
    text.pop_back();
    text.reserve(text.size() + prompt.size() + prompt.size() / 16);
    text += ",\"prompt\":";
    text += json::serialize(json::string_view(prompt));
    text += '}';
    return text;
}

template <typename Name>
auto name_list(const json::object& from, const char* name) -> std::vector<Name>
{
    std::vector<Name> names;
    const auto* list = from.if_contains(name);
    if (list == nullptr || !list->is_array()) {
        return names;
    }
    for (const auto& item : list->as_array()) {
        if (item.is_string()) {
            names.emplace_back(std::string(item.as_string()));
        }
    }
    return names;
}

auto role_text(engine_role role) -> const char*
{
    switch (role) {
    case engine_role::both:
        return "both";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    }
    return "both";
}

auto parse_role(const std::string& text) -> engine_role
{
    if (text == role_text(engine_role::prefill)) {
        return engine_role::prefill;
    }
    return text == role_text(engine_role::decode) ? engine_role::decode : engine_role::both;
}

auto kind_text(order_kind kind) -> const char*
{
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::set_role:
        return "set_role";
    }
    return "set_role";
}

auto read_view(const json::object& state) -> engine_view
{
    engine_view view;
    view.start = incarnation(static_cast<std::uint64_t>(integer_field(state, "start")));
    view.models = name_list<model_id>(state, "models");
    view.adapters = name_list<adapter_id>(state, "adapters");
    view.role = parse_role(string_field(state, "role"));
    view.fence = fencing_number(static_cast<std::uint64_t>(integer_field(state, "fence")));
    return view;
}

} // namespace

auto completion_body(const std::string& engine_request, const attempt_spec& spec, const std::string& prompt)
    -> std::string
{
    json::object body;
    body["request_id"] = engine_request;
    body["attempt"] = spec.attempt.value();
    body["model"] = spec.model.text();
    if (!spec.adapter.empty()) {
        body["adapter"] = spec.adapter.text();
    }
    body["priority"] = priority_of(spec);
    body["max_tokens"] = spec.max_tokens;
    body["resume_offset"] = spec.resume_offset;
    body["stream"] = true;
    if (!spec.imports.empty()) {
        json::array spans;
        for (const auto& each : spec.imports) {
            spans.emplace_back(each.span);
        }
        body["kv_imports"] = std::move(spans);
    }
    return with_prompt(body, prompt);
}

auto export_body(const std::string& engine_request, const attempt_spec& spec, const std::string& prompt)
    -> std::string
{
    json::object body;
    body["request_id"] = engine_request;
    body["priority"] = priority_of(spec);
    body["span"] = spec.exported_span;
    body["begin"] = spec.span_begin;
    body["end"] = spec.span_end;
    return with_prompt(body, prompt);
}

auto import_body(const std::string& engine_request, const span_import& what) -> std::string
{
    json::object body;
    body["request_id"] = engine_request;
    body["span"] = what.span;
    body["source"] = what.source;
    body["begin"] = what.begin;
    body["end"] = what.end;
    return json::serialize(body);
}

auto release_body(const std::string& span) -> std::string
{
    json::object body;
    body["span"] = span;
    return json::serialize(body);
}

auto cancel_body(const std::string& engine_request) -> std::string
{
    json::object body;
    body["request_id"] = engine_request;
    return json::serialize(body);
}

auto order_body(const engine_order& order) -> std::string
{
    json::object body{{"fence", order.fence.value()}, {"order", kind_text(order.kind)}};
    switch (order.kind) {
    case order_kind::load_model:
    case order_kind::unload_model:
        body["model"] = order.model.text();
        break;
    case order_kind::load_adapter:
        body["adapter"] = order.adapter.text();
        break;
    case order_kind::set_role:
        body["role"] = role_text(order.role);
        break;
    }
    return json::serialize(body);
}

auto read_stream_event(const std::string& payload) -> result<stream_event>
{
    auto parsed = parse_object(payload);
    if (!parsed) {
        return parsed.error();
    }
    const auto& fields = parsed.value();
    const auto type = string_field(fields, "type");
    if (type == "token") {
        return stream_event(token_event{string_field(fields, "request_id"), integer_field(fields, "offset"),
                                        string_field(fields, "text")});
    }
    if (type == "end") {
        return stream_event(end_event{string_field(fields, "request_id"), integer_field(fields, "tokens"),
                                      string_field(fields, "finish_reason")});
    }
    return malformed_error("stream event");
}

auto read_state_answer(const std::string& body) -> result<sidecar_input::engine_reported>
{
    auto parsed = parse_object(body);
    if (!parsed) {
        return parsed.error();
    }
    const auto& state = parsed.value();
    const auto* load = state.if_contains("load");
    if (load == nullptr || !load->is_object()) {
        return malformed_error("state");
    }
    sidecar_input::engine_reported report;
    report.status.start = incarnation(static_cast<std::uint64_t>(integer_field(state, "start")));
    report.status.cold = bool_field(state, "cold");
    report.status.queued_prefill = integer_field(load->as_object(), "queued_prefill");
    report.status.age = duration(integer_field(load->as_object(), "age_us"));
    report.memory_used = integer_field(load->as_object(), "memory_used");
    report.held = read_holdings(state);
    report.view = read_view(state);
    report.loading = name_list<model_id>(state, "loading");
    return report;
}

auto read_cancel_answer(const std::string& body) -> result<bool>
{
    auto parsed = parse_object(body);
    if (!parsed) {
        return parsed.error();
    }
    return bool_field(parsed.value(), "held");
}

} // namespace dragonflymill::upstream
