#pragma once

#include "dragonflymill/core/length_class.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::standins {

/// Prompt bytes per token at the stand-in engines.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens per block of the prefix cache. Size and hash of the blocks must match those of the gateway, or it
/// can't use the cache events; a test compares both.
inline constexpr token_count cache_block_tokens = 256;

/// Digest that a stand-in engine keeps instead of a prompt.
struct prompt_digest
{
    std::uint64_t hash = 0;            ///< Chained hash of the whole prompt.
    token_count tokens = 0;            ///< Length: bytes / `bytes_per_token`, rounded up.
    std::vector<std::uint64_t> blocks; ///< Chained hash of each full block, which covers all blocks up to it.

    friend auto operator==(const prompt_digest&, const prompt_digest&) -> bool = default;
};

/// Computes the digest of a prompt.
[[nodiscard]] auto digest_of(std::string_view prompt) -> prompt_digest;

/// Length of the answer in tokens: the length that the model chooses, at most `max_tokens`.
[[nodiscard]] auto answer_length(std::string_view model, std::uint64_t prompt_hash, token_count max_tokens)
    -> token_count;

/// Text of the token at `offset` of the answer.
[[nodiscard]] auto answer_token(std::string_view model, std::uint64_t prompt_hash, token_count offset)
    -> std::string;

/// Complete answer of a stand-in engine to a prompt.
[[nodiscard]] auto expected_answer(std::string_view model, std::string_view prompt, token_count max_tokens)
    -> std::string;

} // namespace dragonflymill::standins
