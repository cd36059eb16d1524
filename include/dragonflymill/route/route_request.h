#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/route/prompt_blocks.h"

#include <vector>

namespace dragonflymill {

/// What routing needs to know of a request.
struct route_request
{
    request_id id;                     ///< The request; breaks ties between equal upstreams.
    model_id model;                    ///< Model it asks for.
    adapter_id adapter;                ///< Adapter it asks for; empty for none.
    token_count prompt_tokens = 0;     ///< Length of the prompt.
    token_count max_tokens = 0;        ///< Most tokens of the answer.
    std::vector<block_hash> blocks;    ///< Chained hashes of the prompt's blocks, from its start.
    std::vector<upstream_id> excluded; ///< Upstreams that failed this request before.

    friend auto operator==(const route_request&, const route_request&) -> bool = default;
};

} // namespace dragonflymill
