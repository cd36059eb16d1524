#include "standins/engine_wire.h"

#include "standins/json_fields.h"

#include <boost/json.hpp>
#include <cstdio>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

auto hex(std::uint64_t value) -> std::string
{
    std::string out(16, '0');
    std::snprintf(out.data(), out.size() + 1, "%016llx", static_cast<unsigned long long>(value));
    return out;
}

auto names(const std::vector<std::string>& items) -> json::array
{
    json::array out;
    for (const auto& item : items) {
        out.emplace_back(item);
    }
    return out;
}

auto held_list(const engine_model& model) -> json::array
{
    json::array out;
    for (const auto& item : model.held()) {
        out.push_back({{"id", item.id}, {"kind", item.kind}, {"tokens", item.tokens}});
    }
    return out;
}

auto run_list(const engine_model& model) -> json::array
{
    json::array out;
    for (const auto& run : model.runs()) {
        out.push_back({{"request_id", run.request_id},
                       {"attempt", run.attempt},
                       {"prompt_tokens", run.prompt},
                       {"prefilled", run.prefilled},
                       {"decoded", run.decoded},
                       {"outcome", run.outcome}});
    }
    return out;
}

auto order_list(const engine_model& model) -> json::array
{
    json::array out;
    for (const auto& order : model.control().carried_out()) {
        out.push_back({{"fence", order.fence},
                       {"order", order.kind},
                       {"model", order.model},
                       {"adapter", order.adapter},
                       {"role", order.role}});
    }
    return out;
}

} // namespace

auto completion_of(const json::object& body) -> completion_order
{
    completion_order out;
    out.request_id = text_field(body, "request_id");
    out.attempt = static_cast<std::uint64_t>(number_field(body, "attempt", 1));
    out.model = text_field(body, "model");
    out.adapter = text_field(body, "adapter");
    out.priority = static_cast<int>(number_field(body, "priority"));
    if (const auto* prompt = body.if_contains("prompt"); prompt != nullptr && prompt->is_string()) {
        out.prompt = digest_of({prompt->get_string().data(), prompt->get_string().size()});
    }
    out.max_tokens = number_field(body, "max_tokens", 16);
    out.resume_offset = number_field(body, "resume_offset");
    if (const auto* imports = body.if_contains("kv_imports"); imports != nullptr && imports->is_array()) {
        for (const auto& span : imports->get_array()) {
            out.kv_imports.emplace_back(span.is_string() ? std::string(span.get_string()) : std::string());
        }
    }
    return out;
}

auto control_of(const json::object& body) -> control_order
{
    control_order out;
    out.fence = static_cast<std::uint64_t>(number_field(body, "fence"));
    out.kind = text_field(body, "order");
    out.model = text_field(body, "model");
    out.adapter = text_field(body, "adapter");
    out.role = text_field(body, "role");
    return out;
}

auto stream_event(const engine_event& event, const std::string& request_id, std::uint64_t attempt)
    -> std::string
{
    json::object data{{"request_id", request_id}, {"attempt", attempt}};
    if (event.kind == engine_event::type::token) {
        data["type"] = "token";
        data["offset"] = event.offset;
        data["text"] = event.text;
    }
    else {
        data["type"] = "end";
        data["tokens"] = event.offset;
        data["finish_reason"] = event.text;
    }
    return "data: " + json::serialize(data) + "\n\n";
}

auto state_of(const engine_model& model, double time_scale) -> json::object
{
    const auto& load = model.reported_load();
    const auto age = static_cast<double>((model.now() - load.taken).count()) * time_scale;
    const json::object shown{{"running", load.running},
                             {"queued_prefill", load.queued_prefill},
                             {"memory_used", load.memory_used},
                             {"memory_total", model.settings().memory_total},
                             {"age_us", static_cast<std::int64_t>(age)}};
    return {{"start", model.start_id()},
            {"models", names(model.control().models())},
            {"loading", names(model.control().loading())},
            {"adapters", names(model.control().adapters())},
            {"role", model.control().role()},
            {"fence", model.control().fence()},
            {"cold", model.cold()},
            {"load", shown},
            {"held", held_list(model)}};
}

auto events_of(const engine_model& model, const std::string& after) -> json::object
{
    json::array events;
    for (const auto& event : model.cache_events(std::strtoull(after.c_str(), nullptr, 10))) {
        events.push_back({{"sequence", event.sequence},
                          {"type", event.stored ? "stored" : "removed"},
                          {"block", hex(event.block)},
                          {"tokens", cache_block_tokens}});
    }
    return {{"start", model.start_id()}, {"events", events}};
}

auto ledger_of(const engine_model& model, const std::string& name) -> json::object
{
    return {{"name", name},
            {"start", model.start_id()},
            {"falls", model.falls()},
            {"memory_used", model.memory_used()},
            {"held", held_list(model)},
            {"runs", run_list(model)},
            {"orders", order_list(model)}};
}

} // namespace dragonflymill::standins
