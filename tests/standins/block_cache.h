#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"
#include "standins/answer.h"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace dragonflymill::standins {

/// Reports that a block was stored in the prefix cache or removed from it.
struct block_event
{
    std::uint64_t sequence = 0; ///< Increases by one; a gap means a lost event.
    instant shows{};            ///< Time from which the event is visible.
    bool stored = false;        ///< Whether the block was stored; otherwise removed.
    std::uint64_t block = 0;    ///< Chained hash of the block.

    friend auto operator==(const block_event&, const block_event&) -> bool = default;
};

/// Prefix cache of an engine with LRU eviction of blocks. Its events are delayed, and some are lost.
class block_cache
{
public:
    /// Holds up to `capacity` tokens. A fraction `event_loss` of the events is lost, chosen by `seed`.
    block_cache(token_count capacity, duration event_lag, double event_loss, std::uint64_t seed);

    /// Length of the prompt's cached prefix in tokens.
    [[nodiscard]] auto cached_tokens(const prompt_digest& prompt) const -> token_count;
    /// Stores the blocks of a prompt, or marks them as most recently used.
    void store(const prompt_digest& prompt, instant now);
    /// Removes all blocks without events: a restarted engine doesn't report what it lost.
    void clear();
    /// Events visible at `now` with a sequence number above `after`.
    [[nodiscard]] auto events(std::uint64_t after, instant now) const -> std::vector<block_event>;

private:
    void record(bool stored, std::uint64_t block, instant now);

    token_count capacity_;
    duration event_lag_;
    double event_loss_;
    random_source random_;
    std::list<std::uint64_t> order_; // least recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::deque<block_event> events_;
    std::uint64_t sequence_ = 0;
};

} // namespace dragonflymill::standins
