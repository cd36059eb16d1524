#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/stream/stream_joiner.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// An imported span takes this part of its tokens where it is imported.
inline constexpr token_count import_memory_divisor = 64;

/// A span of a prompt's KV cache at another engine.
struct span_import
{
    std::string span;      ///< Its name.
    std::string source;    ///< Address of the engine that holds it.
    token_count begin = 0; ///< Its first token.
    token_count end = 0;   ///< One behind its last token.

    friend auto operator==(const span_import&, const span_import&) -> bool = default;
};

/// One try at a completion, as a gateway puts it to a sidecar. The prompt itself travels beside it.
struct attempt_spec
{
    request_id request;                             ///< Request it tries to answer.
    attempt_number attempt;                         ///< Number of the try.
    process_id gateway;                             ///< Gateway that asks.
    client_account_id account;                      ///< Whose request it is.
    model_id model;                                 ///< Model to run.
    adapter_id adapter;                             ///< Adapter on it; empty for none.
    length_class size = length_class::interactive;  ///< Its class.
    priority request_priority = priority::standard; ///< What is given up first under overload.
    token_count prompt_tokens = 0;                  ///< Length of the prompt.
    token_count max_tokens = 0;                     ///< Most tokens of the answer.
    token_count prefill = 0;                        ///< Predicted tokens of prefill not in the cache.
    token_offset resume_offset = 0;                 ///< Tokens of the answer that the caller already has.
    duration remaining{0};                          ///< Time left when it was put.
    lease_id share{};                   ///< Share of a gang under which it runs; the default for none.
    std::string exported_span{};        ///< Span that it computes instead of an answer; empty for an answer.
    token_count span_begin = 0;         ///< First token of that span.
    token_count span_end = 0;           ///< One behind its last token.
    std::vector<span_import> imports{}; ///< Spans at other engines that the prompt begins with.

    /// Whether it computes a span instead of an answer.
    [[nodiscard]] auto is_export() const -> bool { return !exported_span.empty(); }

    friend auto operator==(const attempt_spec&, const attempt_spec&) -> bool = default;
};

} // namespace dragonflymill
