#pragma once

#include "dragonflymill/core/length_class.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Hash of a block of a prompt and of everything before it: equal hashes mean equal prefixes.
using block_hash = std::uint64_t;

/// Tokens that one block stands for.
inline constexpr token_count block_tokens = 256;
/// Blocks that are hashed at most; a longer shared prefix counts as this long.
inline constexpr std::size_t max_prompt_blocks = 512;

/// Chained hashes of the whole blocks of `prompt`, each `block_bytes` long, from its start.
[[nodiscard]] auto prompt_blocks(std::string_view prompt, std::size_t block_bytes) -> std::vector<block_hash>;

} // namespace dragonflymill
