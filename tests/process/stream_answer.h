#pragma once

#include "dragonflymill/core/length_class.h"
#include "standins/http_client.h"

#include <cstdint>

namespace dragonflymill::test {

/// A seed whose prompt of `tokens` is answered with all of `max_tokens`, not with the model's own earlier
/// end. Ends the test if a few thousand seeds give none: the engine's stand-in has a longest answer.
[[nodiscard]] auto seed_of_long_answer(token_count tokens, token_count max_tokens) -> std::uint64_t;

/// Whether a streamed answer came whole: ends with `[DONE]`, has no error, and its text is the expected one.
[[nodiscard]] auto is_whole_answer(const standins::http_answer& answer, token_count tokens,
                                   token_count max_tokens, std::uint64_t seed = 1) -> bool;

} // namespace dragonflymill::test
