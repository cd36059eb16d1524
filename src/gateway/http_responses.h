#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/once/once_ledger.h"
#include "http/http_request.h"

#include <string>
#include <vector>

namespace dragonflymill::gateway {

/// HTTP status of a refusal.
[[nodiscard]] auto status_of(refusal_code code) -> unsigned;
/// A refusal as a JSON object `{"error":{"code","ran","retry_after_ms","remedy","request_id"}}`.
[[nodiscard]] auto refusal_json(const request_id& request, const refusal& why) -> std::string;
/// A refusal as a whole answer, with `Retry-After` where coming back can help.
[[nodiscard]] auto refusal_response(const request_id& request, const refusal& why) -> http::http_response;
/// An answer to a request that was not taken.
[[nodiscard]] auto rejection(const request_id& request, unsigned status, const std::string& code,
                             const std::string& remedy) -> http::http_response;
/// Payload of one event of a streamed completion; `finish_reason` is empty but for the last.
[[nodiscard]] auto completion_chunk(const request_id& request, const std::string& model,
                                    const std::string& text, const std::string& finish_reason) -> std::string;
/// A completion that is answered whole.
[[nodiscard]] auto completion_response(const request_id& request, const std::string& model,
                                       const std::string& text, const std::string& finish_reason,
                                       token_count prompt_tokens, token_count completion_tokens)
    -> http::http_response;
/// The list of models.
[[nodiscard]] auto models_response(const request_id& request, const std::vector<model_entry>& models)
    -> http::http_response;
/// A plain service's answer.
[[nodiscard]] auto service_response(const request_id& request, const once_answer& answer, bool replayed)
    -> http::http_response;
/// A ticket.
[[nodiscard]] auto ticket_response(const request_id& request, const std::string& ticket)
    -> http::http_response;
/// The word that the call asked about is running or may still be submitted.
[[nodiscard]] auto running_response(const request_id& request) -> http::http_response;

} // namespace dragonflymill::gateway
