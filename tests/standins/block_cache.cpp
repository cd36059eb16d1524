#include "standins/block_cache.h"

namespace dragonflymill::standins {

namespace {

constexpr std::size_t max_events = 20'000;

} // namespace

block_cache::block_cache(token_count capacity, duration event_lag, double event_loss, std::uint64_t seed)
    : capacity_(capacity)
    , event_lag_(event_lag)
    , event_loss_(event_loss)
    , random_(seed)
{
}

auto block_cache::cached_tokens(const prompt_digest& prompt) const -> token_count
{
    token_count out = 0;
    for (const auto block : prompt.blocks) {
        if (blocks_.count(block) == 0) {
            break;
        }
        out += cache_block_tokens;
    }
    return out;
}

void block_cache::store(const prompt_digest& prompt, instant now)
{
    const auto max_blocks = static_cast<std::size_t>(capacity_ / cache_block_tokens);
    for (std::size_t i = 0; i < prompt.blocks.size() && i < max_blocks; ++i) {
        const auto block = prompt.blocks[i];
        if (const auto found = blocks_.find(block); found != blocks_.end()) {
            order_.splice(order_.end(), order_, found->second);
            continue;
        }
        if (blocks_.size() == max_blocks) {
            record(false, order_.front(), now);
            blocks_.erase(order_.front());
            order_.pop_front();
        }
        blocks_[block] = order_.insert(order_.end(), block);
        record(true, block, now);
    }
}

void block_cache::clear()
{
    order_.clear();
    blocks_.clear();
}

auto block_cache::events(std::uint64_t after, instant now) const -> std::vector<block_event>
{
    std::vector<block_event> out;
    for (const auto& event : events_) {
        if (event.sequence > after && event.shows <= now) {
            out.push_back(event);
        }
    }
    return out;
}

void block_cache::record(bool stored, std::uint64_t block, instant now)
{
    ++sequence_;
    if (random_.chance(event_loss_)) {
        return;
    }
    events_.push_back({sequence_, now + event_lag_, stored, block});
    if (events_.size() > max_events) {
        events_.pop_front();
    }
}

} // namespace dragonflymill::standins
