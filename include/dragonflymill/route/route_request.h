#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/route/prompt_blocks.h"

#include <vector>

namespace dragonflymill {

/// Properties of a request that routing uses.
struct route_request
{
    request_id id;                     ///< Id of the request; breaks ties between equal upstreams.
    model_id model;                    ///< Requested model.
    adapter_id adapter;                ///< Requested adapter; empty for none.
    token_count prompt_tokens = 0;     ///< Length of the prompt, in tokens.
    token_count max_tokens = 0;        ///< Maximum output length, in tokens.
    std::vector<block_hash> blocks;    ///< Chained hashes of the prompt's blocks, from its start.
    std::vector<upstream_id> excluded; ///< Upstreams on which earlier attempts of this request failed.

    friend auto operator==(const route_request&, const route_request&) -> bool = default;
};

} // namespace dragonflymill
