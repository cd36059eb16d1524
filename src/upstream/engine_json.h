#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <string>
#include <variant>

namespace dragonflymill::upstream {

/// One token of a stream.
struct token_event
{
    std::string engine_request; ///< Stream that the engine says it belongs to.
    token_offset offset = 0;    ///< Its place.
    std::string text;           ///< Its text.
};

/// The end of a stream.
struct end_event
{
    std::string engine_request; ///< Stream that the engine says it belongs to.
    token_offset tokens = 0;    ///< Length of the whole answer.
    std::string reason;         ///< Why it ends there.
};

/// One event of a completion's stream.
using stream_event = std::variant<token_event, end_event>;

/// Body of `POST /v1/completions`.
[[nodiscard]] auto completion_body(const std::string& engine_request, const attempt_spec& spec,
                                   const std::string& prompt) -> std::string;
/// Body of `POST /v1/kv/export`.
[[nodiscard]] auto export_body(const std::string& engine_request, const attempt_spec& spec,
                               const std::string& prompt) -> std::string;
/// Body of `POST /v1/kv/import`.
[[nodiscard]] auto import_body(const std::string& engine_request, const span_import& what) -> std::string;
/// Body of `POST /v1/kv/release`.
[[nodiscard]] auto release_body(const std::string& span) -> std::string;
/// Body of `POST /v1/cancel`.
[[nodiscard]] auto cancel_body(const std::string& engine_request) -> std::string;
/// Body of `POST /v1/orders`.
[[nodiscard]] auto order_body(const engine_order& order) -> std::string;
/// Reads one event of a completion's stream.
[[nodiscard]] auto read_stream_event(const std::string& payload) -> result<stream_event>;
/// Reads the answer of `GET /v1/state`.
[[nodiscard]] auto read_state_answer(const std::string& body) -> result<sidecar_input::engine_reported>;
/// Reads the answer of `POST /v1/cancel`: whether anything is still held.
[[nodiscard]] auto read_cancel_answer(const std::string& body) -> result<bool>;

} // namespace dragonflymill::upstream
