#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/route/prompt_blocks.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace dragonflymill {

/// What happened in an engine's prefix cache.
enum class cache_event_kind
{
    stored,  ///< The blocks are cached now.
    evicted, ///< The blocks are no longer cached.
};

/// One event of an engine's prefix cache. Events come late, doubled and with gaps.
struct cache_event
{
    std::uint64_t sequence = 0;                       ///< Rises by one with each event of an engine's start.
    cache_event_kind kind = cache_event_kind::stored; ///< What happened.
    std::vector<block_hash> blocks;                   ///< To which blocks.

    friend auto operator==(const cache_event&, const cache_event&) -> bool = default;
};

/// Tokens of a prompt that an upstream likely has in its cache.
struct prefix_match
{
    std::uint64_t upstream_hash = 0; ///< `stable_hash` of the upstream's name.
    token_count tokens = 0;          ///< Matched tokens, weighed by the trust in what is known of it.

    friend auto operator==(const prefix_match&, const prefix_match&) -> bool = default;
};

/// Which blocks of prompts are likely cached where: learned from own sends, refined by cache events. It is a
/// hint that only changes costs; an answer is right whatever it says.
class prefix_map
{
public:
    /// Upstreams remembered for one block; a further one replaces the one noted first.
    static constexpr std::size_t max_holders = 8;

    /// Holds at most `max_blocks` blocks; when full, the block used longest ago goes.
    explicit prefix_map(std::size_t max_blocks = 65'536);

    /// Notes that a prompt with these blocks was sent to an upstream, which will cache them.
    void sent(const upstream_id& upstream, std::span<const block_hash> blocks);
    /// Takes in a cache event. A gap in the sequence lowers the trust in what is known of the upstream; an
    /// event that came before is dropped.
    void event(const upstream_id& upstream, const cache_event& event);
    /// Drops what is known of an upstream: its engine restarted, or it left.
    void forget(const upstream_id& upstream);
    /// Fills `matches` with the upstreams that likely hold a prefix of the prompt; at most `max_holders`.
    void lookup(std::span<const block_hash> blocks, std::vector<prefix_match>& matches) const;

    /// Trust in what is known of an upstream, from 0 to 1.
    [[nodiscard]] auto trust(const upstream_id& upstream) const -> double;
    /// Blocks held now.
    [[nodiscard]] auto size() const -> std::size_t { return index_.size(); }

private:
    using slot = std::uint16_t;

    static constexpr slot no_slot = 0xffff;
    static constexpr std::uint32_t no_entry = 0xffffffff;

    struct holder_state
    {
        upstream_id id;
        std::uint64_t name_hash = 0;
        std::uint64_t sequence = 0;
        double trust = 1.0;
        bool used = false;
    };

    struct entry
    {
        block_hash block = 0;
        std::uint32_t newer = no_entry;
        std::uint32_t older = no_entry;
        std::array<slot, max_holders> holders{};
    };

    [[nodiscard]] auto slot_of(const upstream_id& upstream) const -> slot;
    auto slot_for(const upstream_id& upstream) -> slot;
    void add(block_hash block, slot holder);
    void remove(block_hash block, slot holder);
    [[nodiscard]] auto place_for(block_hash block) -> std::uint32_t;
    void unlink(std::uint32_t i);
    void link_newest(std::uint32_t i);

    std::size_t max_blocks_;
    std::vector<holder_state> holders_; // at most `no_slot`, places of forgotten ones are used again
    std::vector<entry> entries_;        // at most `max_blocks_`
    std::unordered_map<block_hash, std::uint32_t> index_; // looked up only, never walked
    std::uint32_t newest_ = no_entry;
    std::uint32_t oldest_ = no_entry;
};

} // namespace dragonflymill
