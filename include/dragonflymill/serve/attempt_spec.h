#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/stream/stream_joiner.h"

namespace dragonflymill {

/// One try at a completion, as a gateway puts it to a sidecar. The prompt itself travels beside it.
struct attempt_spec
{
    request_id request;                            ///< Request it tries to answer.
    attempt_number attempt;                        ///< Number of the try.
    process_id gateway;                            ///< Gateway that asks.
    client_account_id account;                     ///< Whose request it is.
    model_id model;                                ///< Model to run.
    adapter_id adapter;                            ///< Adapter on it; empty for none.
    length_class size = length_class::interactive; ///< Its class.
    priority standing = priority::standard;        ///< What is given up first under overload.
    token_count prompt_tokens = 0;                 ///< Length of the prompt.
    token_count max_tokens = 0;                    ///< Most tokens of the answer.
    token_count prefill = 0;                       ///< Predicted tokens of prefill not in the cache.
    token_offset resume_offset = 0;                ///< Tokens of the answer that the caller already has.
    duration remaining{0};                         ///< Time left when it was put.

    friend auto operator==(const attempt_spec&, const attempt_spec&) -> bool = default;
};

} // namespace dragonflymill
