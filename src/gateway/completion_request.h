#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/error.h"

#include <optional>
#include <string>

namespace dragonflymill::gateway {

/// The body of `POST /v1/completions`.
struct completion_request
{
    std::string model;                        ///< Model asked for.
    std::string adapter;                      ///< Adapter asked for; empty for none.
    std::string prompt;                       ///< The prompt.
    token_count max_tokens = 16;              ///< Most tokens of the answer.
    bool stream = false;                      ///< Whether the answer is to come as server-sent events.
    std::optional<priority> request_priority; ///< Priority; the account's own if missing.
    std::optional<duration> time_limit;       ///< Time limit; the gateway's longest if missing.

    friend auto operator==(const completion_request&, const completion_request&) -> bool = default;
};

/// Reads the body. The prompt goes straight to its place, so that a prompt of a million tokens is copied
/// once. Fields that are not known are left out, as is customary; the error names every field that is wrong.
[[nodiscard]] auto read_completion_request(const std::string& body) -> result<completion_request>;

/// Tokens that a prompt is counted as before an engine has seen it: one for each four bytes, rounded up.
[[nodiscard]] auto estimate_tokens(std::size_t prompt_bytes) -> token_count;
/// Text of a prompt's tokens from `begin` to `end`, counted as above; characters stay whole.
[[nodiscard]] auto span_text(const std::string& prompt, token_count begin, token_count end) -> std::string;

} // namespace dragonflymill::gateway
