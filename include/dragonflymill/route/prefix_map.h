#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/route/prompt_blocks.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace dragonflymill {

/// Kind of a prefix cache event.
enum class cache_event_kind
{
    stored,  ///< The blocks were added to the cache.
    evicted, ///< The blocks were removed from the cache.
};

/// Event of an engine's prefix cache. Events may be delayed, duplicated, reordered or lost.
struct cache_event
{
    std::uint64_t sequence = 0; ///< Consecutive number within one incarnation of the engine.
    cache_event_kind kind = cache_event_kind::stored; ///< Kind of the change.
    std::vector<block_hash> blocks;                   ///< Blocks concerned.

    friend auto operator==(const cache_event&, const cache_event&) -> bool = default;
};

/// Estimate of how much of a prompt an upstream has in its prefix cache.
struct prefix_match
{
    std::uint64_t upstream_hash = 0; ///< `stable_hash` of the upstream's id.
    token_count tokens = 0; ///< Matched tokens, multiplied by the trust in the data about this upstream.

    friend auto operator==(const prefix_match&, const prefix_match&) -> bool = default;
};

/// Estimates which upstreams have which prompt blocks in their prefix cache. It learns from the requests that
/// this gateway sends and from cache events. The estimate affects only routing costs, never the correctness
/// of a response.
class prefix_map
{
public:
    /// Upstreams stored for one block; a further one replaces the one that was added first.
    static constexpr std::size_t max_holders = 8;

    /// Stores at most `max_blocks` blocks; when full, the least recently used block is evicted.
    explicit prefix_map(std::size_t max_blocks = 65'536);

    /// Records that a prompt with these blocks was sent to an upstream, which will cache them.
    void sent(const upstream_id& upstream, std::span<const block_hash> blocks);
    /// Applies a cache event. A gap in the sequence lowers the trust in the data about the upstream; a
    /// duplicate or out-of-order event is ignored.
    void event(const upstream_id& upstream, const cache_event& event);
    /// Removes all data about an upstream, because its engine restarted or it left.
    void forget(const upstream_id& upstream);
    /// Fills `matches` with the upstreams that likely have a prefix of the prompt cached; at most
    /// `max_holders`.
    void lookup(std::span<const block_hash> blocks, std::vector<prefix_match>& matches) const;

    /// Trust in the data about an upstream, from 0 to 1; 1 for an unknown upstream.
    [[nodiscard]] auto trust(const upstream_id& upstream) const -> double;
    /// Number of stored blocks.
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
    std::vector<holder_state> holders_; // at most `no_slot`; slots of removed upstreams are reused
    std::vector<entry> entries_;        // at most `max_blocks_`
    std::unordered_map<block_hash, std::uint32_t> index_; // for lookup; iteration order is unspecified
    std::uint32_t newest_ = no_entry;
    std::uint32_t oldest_ = no_entry;
};

} // namespace dragonflymill
