#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <string>
#include <variant>

namespace dragonflymill::upstream {

/// One token of a completion stream.
struct token_event
{
    std::string engine_request; ///< Request to which the token belongs, as stated by the engine.
    token_offset offset = 0;    ///< Offset of the token in the answer.
    std::string text;           ///< Text of the token.
};

/// End of a completion stream.
struct end_event
{
    std::string engine_request; ///< Request to which the stream belongs, as stated by the engine.
    token_offset tokens = 0;    ///< Length of the whole answer, in tokens.
    std::string reason;         ///< Finish reason.
};

/// One event of a completion stream.
using stream_event = std::variant<token_event, end_event>;

/// Returns the body of `POST /v1/completions`.
[[nodiscard]] auto completion_body(const std::string& engine_request, const attempt_spec& spec,
                                   const std::string& prompt) -> std::string;
/// Returns the body of `POST /v1/kv/export`.
[[nodiscard]] auto export_body(const std::string& engine_request, const attempt_spec& spec,
                               const std::string& prompt) -> std::string;
/// Returns the body of `POST /v1/kv/import`.
[[nodiscard]] auto import_body(const std::string& engine_request, const span_import& what) -> std::string;
/// Returns the body of `POST /v1/kv/release`.
[[nodiscard]] auto release_body(const std::string& span) -> std::string;
/// Returns the body of `POST /v1/cancel`.
[[nodiscard]] auto cancel_body(const std::string& engine_request) -> std::string;
/// Returns the body of `POST /v1/orders`.
[[nodiscard]] auto order_body(const engine_order& order) -> std::string;
/// Parses one event of a completion stream. Fails if it is malformed or of an unknown type.
[[nodiscard]] auto read_stream_event(const std::string& payload) -> result<stream_event>;
/// Parses the answer to `GET /v1/state`. Fails if it is malformed or has no load.
[[nodiscard]] auto read_state_answer(const std::string& body) -> result<sidecar_input::engine_reported>;
/// Parses the answer to `POST /v1/cancel`. Returns whether the engine still holds memory for the request.
[[nodiscard]] auto read_cancel_answer(const std::string& body) -> result<bool>;

} // namespace dragonflymill::upstream
