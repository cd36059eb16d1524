#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/stream/stream_joiner.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// The importing engine holds one in this many tokens of an imported span.
inline constexpr token_count import_memory_divisor = 64;

/// A span of a prompt's KV cache at another engine.
struct span_import
{
    std::string span;      ///< Name of the span.
    std::string source;    ///< Address of the engine that holds the span.
    token_count begin = 0; ///< First token of the span.
    token_count end = 0;   ///< One past the last token of the span.

    friend auto operator==(const span_import&, const span_import&) -> bool = default;
};

/// One attempt at a completion, as a gateway submits it to a sidecar. The prompt is sent separately.
struct attempt_spec
{
    request_id request;                             ///< Request that the attempt serves.
    attempt_number attempt;                         ///< Number of the attempt.
    process_id gateway;                             ///< Gateway that submits the attempt.
    client_account_id account;                      ///< Account that the request belongs to.
    model_id model;                                 ///< Model to run.
    adapter_id adapter;                             ///< Adapter of the model; empty for none.
    length_class size = length_class::interactive;  ///< Length class of the request.
    priority request_priority = priority::standard; ///< Priority for load shedding.
    token_count prompt_tokens = 0;                  ///< Length of the prompt in tokens.
    token_count max_tokens = 0;                     ///< Maximum number of tokens of the answer.
    token_count prefill = 0;            ///< Predicted number of prompt tokens that miss the prefix cache.
    token_offset resume_offset = 0;     ///< Tokens of the answer that the caller already received.
    duration remaining{0};              ///< Time to the deadline when the attempt was submitted.
    lease_id share{};                   ///< Gang share under which it runs; the default value for none.
    std::string exported_span{};        ///< Span to compute instead of an answer; empty for an answer.
    token_count span_begin = 0;         ///< First token of the exported span.
    token_count span_end = 0;           ///< One past the last token of the span.
    std::vector<span_import> imports{}; ///< Spans at other engines that cover the start of the prompt.

    /// Returns whether the attempt computes a span instead of an answer.
    [[nodiscard]] auto is_export() const -> bool { return !exported_span.empty(); }

    friend auto operator==(const attempt_spec&, const attempt_spec&) -> bool = default;
};

} // namespace dragonflymill
