#pragma once

#include "dragonflymill/core/length_class.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Chained hash of a prompt block and all blocks before it: equal hashes mean equal prefixes.
using block_hash = std::uint64_t;

/// Tokens per block.
inline constexpr token_count block_tokens = 256;
/// Maximum number of hashed blocks per prompt; a longer shared prefix counts as this long.
inline constexpr std::size_t max_prompt_blocks = 512;

/// Chained hashes of the complete blocks of `prompt`, each `block_bytes` long, from its start. Empty if
/// `block_bytes` is 0.
[[nodiscard]] auto prompt_blocks(std::string_view prompt, std::size_t block_bytes) -> std::vector<block_hash>;

} // namespace dragonflymill
