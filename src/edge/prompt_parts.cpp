#include "edge/prompt_parts.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/units.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace dragonflymill::edge {

namespace {

auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, last - first + 1);
}

} // namespace

auto parse_prompt_parts(std::string_view text, std::string_view service) -> prompt_parts
{
    prompt_parts parts;
    const std::uint64_t seed = stable_hash(service);
    while (!text.empty()) {
        const auto comma = text.find(',');
        const bool is_last = comma == std::string_view::npos;
        const std::string_view entry = text.substr(0, comma);
        text = is_last ? std::string_view() : text.substr(comma + 1);
        const std::string_view id = trimmed(entry.substr(0, entry.find(':')));
        if (id.empty() || (!is_last && parts.size() + 1 >= crash_evidence::max_parts)) {
            continue;
        }
        parts.push_back(make_prompt_part(stable_hash(to_lower(id), seed), is_last));
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

} // namespace dragonflymill::edge
