#include "dragonflymill/quarantine/prefix_parts.h"

#include <algorithm>

namespace dragonflymill {

auto prefix_parts(std::span<const block_hash> blocks) -> prompt_parts
{
    prompt_parts parts;
    for (std::size_t length = 1; length < blocks.size() && parts.size() + 1 < crash_evidence::max_parts;
         length *= 2) {
        parts.push_back(make_prompt_part(blocks[length - 1], false));
    }
    if (!blocks.empty()) {
        parts.push_back(make_prompt_part(blocks.back(), true));
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

} // namespace dragonflymill
