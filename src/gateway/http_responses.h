#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/once/once_ledger.h"
#include "http/http_request.h"

#include <string>
#include <vector>

namespace dragonflymill::gateway {

/// Returns the HTTP status code for a refusal.
[[nodiscard]] auto status_of(refusal_code code) -> unsigned;
/// Serializes a refusal as the JSON object `{"error":{"code","ran","retry_after_ms","remedy","request_id"}}`.
[[nodiscard]] auto refusal_json(const request_id& request, const refusal& why) -> std::string;
/// Builds the response to a refused request, with `Retry-After` (seconds, rounded up) if the refusal has a
/// retry delay.
[[nodiscard]] auto refusal_response(const request_id& request, const refusal& why) -> http::http_response;
/// Builds an error response to a request that was rejected before it reached the core; it has not run.
[[nodiscard]] auto rejection(const request_id& request, unsigned status, const std::string& code,
                             const std::string& remedy) -> http::http_response;
/// Builds the payload of one event of a streamed completion. `finish_reason` is empty for all but the last
/// event, and is then written as JSON null.
[[nodiscard]] auto completion_chunk(const request_id& request, const std::string& model,
                                    const std::string& text, const std::string& finish_reason) -> std::string;
/// Builds the response to a completion that is not streamed.
[[nodiscard]] auto completion_response(const request_id& request, const std::string& model,
                                       const std::string& text, const std::string& finish_reason,
                                       token_count prompt_tokens, token_count completion_tokens)
    -> http::http_response;
/// Builds the response to `GET /v1/models`.
[[nodiscard]] auto models_response(const request_id& request, const std::vector<model_entry>& models)
    -> http::http_response;
/// Builds the response from a service's answer. `replayed` marks a stored answer to an earlier call.
[[nodiscard]] auto service_response(const request_id& request, const once_answer& answer, bool replayed)
    -> http::http_response;
/// Builds the response that carries a new ticket.
[[nodiscard]] auto ticket_response(const request_id& request, const std::string& ticket)
    -> http::http_response;
/// Builds the response to a status query for a call that is running or may still be submitted.
[[nodiscard]] auto running_response(const request_id& request) -> http::http_response;

} // namespace dragonflymill::gateway
