#include "dragonflymill/route/prompt_blocks.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill {

auto prompt_blocks(std::string_view prompt, std::size_t block_bytes) -> std::vector<block_hash>
{
    std::vector<block_hash> blocks;
    if (block_bytes == 0) {
        return blocks;
    }
    const std::size_t count = std::min(prompt.size() / block_bytes, max_prompt_blocks);
    blocks.reserve(count);
    block_hash chained = 0;
    for (std::size_t i = 0; i < count; ++i) {
        chained = stable_hash(prompt.substr(i * block_bytes, block_bytes), chained + 1);
        blocks.push_back(chained);
    }
    return blocks;
}

} // namespace dragonflymill
