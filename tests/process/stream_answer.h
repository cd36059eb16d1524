#pragma once

#include "dragonflymill/core/length_class.h"
#include "standins/http_client.h"

#include <cstdint>

namespace dragonflymill::test {

/// Returns a seed whose prompt of `tokens` gets a response of exactly `max_tokens`, without an earlier stop
/// by the model. Fails the test if there is none below 10,000: the stand-in engine limits the response
/// length.
[[nodiscard]] auto seed_of_long_answer(token_count tokens, token_count max_tokens) -> std::uint64_t;

/// Whether a streamed response is complete: status 200, `[DONE]` received, and the expected text.
[[nodiscard]] auto is_whole_answer(const standins::http_answer& answer, token_count tokens,
                                   token_count max_tokens, std::uint64_t seed = 1) -> bool;

} // namespace dragonflymill::test
