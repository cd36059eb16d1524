#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/error.h"

#include <optional>
#include <string>

namespace dragonflymill::gateway {

/// The body of `POST /v1/completions`.
struct completion_request
{
    std::string model;                        ///< Requested model.
    std::string adapter;                      ///< Requested adapter; empty for none.
    std::string prompt;                       ///< Prompt text.
    token_count max_tokens = 16;              ///< Maximum number of answer tokens.
    bool stream = false;                      ///< Whether to stream the answer as server-sent events.
    std::optional<priority> request_priority; ///< Defaults to the account's priority.
    std::optional<duration> time_limit;       ///< Defaults to the gateway's maximum.

    friend auto operator==(const completion_request&, const completion_request&) -> bool = default;
};

/// Parses the body. The prompt is appended directly to the result, so that a prompt of a million tokens is
/// copied only once. Ignores unknown fields; the error lists every invalid field.
[[nodiscard]] auto read_completion_request(const std::string& body) -> result<completion_request>;

/// Estimates the length of a prompt before an engine has tokenized it: one token per four bytes, rounded up.
[[nodiscard]] auto estimate_tokens(std::size_t prompt_bytes) -> token_count;
/// Returns the text of the tokens from `begin` up to `end`, counted as in `estimate_tokens`. Never splits a
/// UTF-8 character: both bounds move forward to the start of the next one.
[[nodiscard]] auto span_text(const std::string& prompt, token_count begin, token_count end) -> std::string;

} // namespace dragonflymill::gateway
