#include "gateway/http_responses.h"

#include "http/error_body.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace dragonflymill::gateway {

namespace json = boost::json;

namespace {

auto json_response(const request_id& request, unsigned status, const json::object& body)
    -> http::http_response
{
    return {status, "application/json", {{"X-Request-Id", request.text()}}, json::serialize(body) + "\n"};
}

auto choice_object(const std::string& text, const std::string& finish_reason) -> json::object
{
    json::object object;
    object["index"] = 0;
    object["text"] = text;
    object["finish_reason"] = finish_reason.empty() ? json::value(nullptr) : json::value(finish_reason);
    return object;
}

auto completion_object(const request_id& request, const std::string& model, const std::string& text,
                       const std::string& finish_reason) -> json::object
{
    json::object body;
    body["id"] = request.text();
    body["object"] = "text_completion";
    body["model"] = model;
    body["choices"] = json::array{choice_object(text, finish_reason)};
    return body;
}

auto error_object(const request_id& request, std::string_view code, ran_state ran, duration retry_after,
                  const std::string& remedy) -> json::object
{
    json::object body = http::error_body(code, ran, retry_after, remedy);
    body["error"].as_object()["request_id"] = request.text();
    return body;
}

auto refusal_object(const request_id& request, const refusal& why) -> json::object
{
    return error_object(request, to_string(why.code), why.ran, why.retry_after, why.remedy);
}

} // namespace

auto status_of(refusal_code code) -> unsigned
{
    switch (code) {
    case refusal_code::account_limit:
        return 429;
    case refusal_code::overloaded:
    case refusal_code::upstream_cold:
    case refusal_code::draining:
    case refusal_code::stopping:
    case refusal_code::not_ready:
    case refusal_code::quarantined:
        return 503;
    case refusal_code::upstream_gone:
        return 502;
    case refusal_code::deadline:
        return 504;
    case refusal_code::ticket_unknown:
    case refusal_code::cancelled:
    case refusal_code::conflict:
        return 409;
    case refusal_code::no_route:
        return 404;
    case refusal_code::too_large:
        return 413;
    case refusal_code::internal:
        return 500;
    }
    return 500;
}

auto refusal_json(const request_id& request, const refusal& why) -> std::string
{
    return json::serialize(refusal_object(request, why));
}

auto refusal_response(const request_id& request, const refusal& why) -> http::http_response
{
    auto response = json_response(request, status_of(why.code), refusal_object(request, why));
    if (why.retry_after > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(why.retry_after).count();
        response.fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

auto rejection(const request_id& request, unsigned status, const std::string& code, const std::string& remedy)
    -> http::http_response
{
    return json_response(request, status,
                         error_object(request, code, ran_state::no, duration::zero(), remedy));
}

auto completion_chunk(const request_id& request, const std::string& model, const std::string& text,
                      const std::string& finish_reason) -> std::string
{
    return json::serialize(completion_object(request, model, text, finish_reason));
}

auto completion_response(const request_id& request, const std::string& model, const std::string& text,
                         const std::string& finish_reason, token_count prompt_tokens,
                         token_count completion_tokens) -> http::http_response
{
    auto body = completion_object(request, model, text, finish_reason);
    json::object usage;
    usage["prompt_tokens"] = prompt_tokens;
    usage["completion_tokens"] = completion_tokens;
    usage["total_tokens"] = prompt_tokens + completion_tokens;
    body["usage"] = std::move(usage);
    return json_response(request, 200, body);
}

auto models_response(const request_id& request, const std::vector<model_entry>& models) -> http::http_response
{
    json::array list;
    for (const auto& model : models) {
        json::object item;
        item["id"] = model.id.text();
        item["object"] = "model";
        item["max_prompt_tokens"] = model.max_prompt_tokens;
        json::array adapters;
        for (const auto& adapter : model.adapters) {
            adapters.emplace_back(adapter.text());
        }
        item["adapters"] = std::move(adapters);
        list.push_back(std::move(item));
    }
    json::object body;
    body["object"] = "list";
    body["data"] = std::move(list);
    return json_response(request, 200, body);
}

auto service_response(const request_id& request, const once_answer& answer, bool replayed)
    -> http::http_response
{
    http::http_response response{static_cast<unsigned>(answer.status),
                                 answer.content_type.empty() ? "application/octet-stream"
                                                             : answer.content_type,
                                 {{"X-Request-Id", request.text()}},
                                 answer.body};
    if (replayed) {
        response.fields.push_back({"Idempotent-Replayed", "true"});
    }
    if (!answer.body_kept) {
        response.fields.push_back({"Dragonflymill-Body", "not-kept"});
    }
    return response;
}

auto ticket_response(const request_id& request, const std::string& ticket) -> http::http_response
{
    json::object body;
    body["ticket"] = ticket;
    return json_response(request, 200, body);
}

auto running_response(const request_id& request) -> http::http_response
{
    json::object body;
    body["state"] = "running";
    return json_response(request, 200, body);
}

} // namespace dragonflymill::gateway
