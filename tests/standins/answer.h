#pragma once

#include "dragonflymill/core/length_class.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::standins {

/// Bytes of a prompt that make one token at the stand-in engines.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens of one block of the prefix cache. The product hashes blocks of the same size in the same way, so
/// that cache events mean something to it; a test holds the two together.
inline constexpr token_count cache_block_tokens = 256;

/// All that a stand-in keeps of a prompt.
struct prompt_digest
{
    std::uint64_t hash = 0;            ///< Chained hash of the whole prompt.
    token_count tokens = 0;            ///< Bytes / 4, rounded up.
    std::vector<std::uint64_t> blocks; ///< Chained hash of each whole block: block n stands for all up to n.

    friend auto operator==(const prompt_digest&, const prompt_digest&) -> bool = default;
};

/// Digest of a prompt.
[[nodiscard]] auto digest_of(std::string_view prompt) -> prompt_digest;

/// Tokens of the answer, by the model's own end or by `max_tokens`.
[[nodiscard]] auto answer_length(std::string_view model, std::uint64_t prompt_hash, token_count max_tokens)
    -> token_count;

/// Text of the token at `offset` of the answer.
[[nodiscard]] auto answer_token(std::string_view model, std::uint64_t prompt_hash, token_count offset)
    -> std::string;

/// The whole answer that a stand-in engine gives to a prompt.
[[nodiscard]] auto expected_answer(std::string_view model, std::string_view prompt, token_count max_tokens)
    -> std::string;

} // namespace dragonflymill::standins
