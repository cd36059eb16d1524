#include "dragonflymill/route/prefix_map.h"
#include "support/fault_cell.h"

#include <numeric>
#include <string>

using namespace dragonflymill;

namespace {

const upstream_id u0("u0");
const upstream_id u1("u1");

auto blocks_from(block_hash first, std::size_t count) -> std::vector<block_hash>
{
    std::vector<block_hash> blocks(count);
    std::iota(blocks.begin(), blocks.end(), first);
    return blocks;
}

/// Likely cached tokens of the prompt at the first matching upstream; 0 if none matches.
auto cached(const prefix_map& map, const std::vector<block_hash>& blocks) -> token_count
{
    std::vector<prefix_match> matches;
    map.lookup(blocks, matches);
    return matches.empty() ? 0 : matches.front().tokens;
}

} // namespace

Test(prompt_blocks, equal_prefixes_have_equal_hashes)
{
    const auto a = prompt_blocks("aaaabbbbcccc", 4);
    const auto b = prompt_blocks("aaaabbbbdddd!", 4);
    cr_assert(a.size() == 3);
    cr_assert(b.size() == 3);
    cr_assert(a[1] == b[1]);
    cr_assert(a[2] != b[2]);
    cr_assert(prompt_blocks("bbbbaaaa", 4)[1] != a[1], "a block hash must include all blocks before it");
    cr_assert(prompt_blocks(std::string(10'000, 'x'), 4).size() == max_prompt_blocks);
}

Test(prefix_map, finds_the_longest_cached_prefix_of_each_upstream)
{
    prefix_map map;
    map.sent(u0, blocks_from(1, 4));
    map.sent(u1, blocks_from(1, 2));
    std::vector<prefix_match> matches;
    map.lookup(blocks_from(1, 6), matches);
    cr_assert(matches.size() == 2);
    cr_assert(matches[0].tokens == 4 * block_tokens);
    cr_assert(matches[1].tokens == 2 * block_tokens);
    map.lookup(blocks_from(2, 6), matches);
    cr_assert(matches.size() == 2, "a block hash must identify its whole prefix");
}

Test(prefix_map, is_bounded_and_evicts_the_least_recently_used_blocks)
{
    prefix_map map(100);
    map.sent(u0, blocks_from(1, 10));
    for (block_hash i = 1; i < 50; ++i) {
        map.sent(u0, blocks_from(i * 1'000, 10));
        map.sent(u0, blocks_from(1, 10)); // keeps these blocks recently used
    }
    cr_assert(map.size() == 100);
    cr_assert(cached(map, blocks_from(1, 10)) == 10 * block_tokens);
    cr_assert(cached(map, blocks_from(1'000, 10)) == 0);
}

FAULT_CELL_MORE(request_route, message_lost, cache_event)
{
    // Guards against routing a long prompt to an engine that evicted its prefix, after the eviction event was
    // lost. A gap in the event sequence must lower the trust in the engine's entries, and a second gap must
    // lower it further.
    prefix_map map;
    map.sent(u0, blocks_from(1, 10));
    map.event(u0, {1, cache_event_kind::stored, {}});
    const auto before = cached(map, blocks_from(1, 10));
    map.event(u0, {3, cache_event_kind::stored, {}});
    const auto after = cached(map, blocks_from(1, 10));
    cr_assert(after < before);
    map.event(u0, {9, cache_event_kind::stored, {}});
    cr_assert(cached(map, blocks_from(1, 10)) < after);
}

FAULT_CELL_MORE(request_route, message_reordered, cache_event)
{
    // Guards against treating an evicted prefix as cached when events are reordered and duplicated: "evicted"
    // arrives before the older "stored", and arrives once more.
    prefix_map map;
    map.event(u0, {1, cache_event_kind::stored, blocks_from(50, 1)});
    map.event(u0, {3, cache_event_kind::evicted, blocks_from(1, 10)});
    const double trust = map.trust(u0);
    map.event(u0, {2, cache_event_kind::stored, blocks_from(1, 10)});
    map.event(u0, {3, cache_event_kind::evicted, blocks_from(50, 1)});
    cr_assert(cached(map, blocks_from(1, 10)) == 0);
    cr_assert(cached(map, blocks_from(50, 1)) > 0);
    cr_assert(map.trust(u0) == trust);
}

FAULT_CELL_MORE(request_route, process_dies, cache)
{
    // Guards against routing to a cache that was lost when its engine died and restarted empty: the entries
    // of the earlier incarnation must be removed.
    prefix_map map;
    map.sent(u0, blocks_from(1, 10));
    map.sent(u1, blocks_from(1, 5));
    map.forget(u0);
    cr_assert(cached(map, blocks_from(1, 10)) == 5 * block_tokens);
    map.sent(u0, blocks_from(1, 3));
    std::vector<prefix_match> matches;
    map.lookup(blocks_from(1, 10), matches);
    cr_assert(matches.size() == 2);
}
