#pragma once

#include "dragonflymill/quarantine/crash_evidence.h"
#include "dragonflymill/route/prompt_blocks.h"

#include <span>

namespace dragonflymill {

/// Returns the parts of a prompt that is known by the chained hashes of its blocks: its beginnings of 1, 2,
/// 4, and so on blocks, and all of it as the call's own part. Calls share a part if they begin alike.
[[nodiscard]] auto prefix_parts(std::span<const block_hash> blocks) -> prompt_parts;

} // namespace dragonflymill
