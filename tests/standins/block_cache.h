#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"
#include "standins/answer.h"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace dragonflymill::standins {

/// What became of a block of the prefix cache.
struct block_event
{
    std::uint64_t sequence = 0; ///< Rises by one; a missing number is a lost event.
    instant shows{};            ///< Not seen by anyone earlier.
    bool stored = false;        ///< Stored, else removed.
    std::uint64_t block = 0;    ///< Chained hash.

    friend auto operator==(const block_event&, const block_event&) -> bool = default;
};

/// Prefix cache of an engine: blocks in limited memory, the least recently used goes first; events late and
/// with gaps.
class block_cache
{
public:
    /// Holds up to `capacity` tokens.
    block_cache(token_count capacity, duration event_lag, double event_loss, std::uint64_t seed);

    /// Tokens at the prompt's beginning that are cached.
    [[nodiscard]] auto cached_tokens(const prompt_digest& prompt) const -> token_count;
    /// Stores a prompt's blocks, or moves them to the end of the eviction order.
    void store(const prompt_digest& prompt, instant now);
    /// Forgets all, without events: a restarted engine doesn't tell what it lost.
    void clear();
    /// Events above `after` that show at `now`.
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
