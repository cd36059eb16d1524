#include "dragonflymill/route/prefix_map.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr double trust_after_gap = 0.5;
constexpr double min_trust = 0.1;
/// Trust recovers slowly: blocks affected by a lost event are evicted over time, by events that are received.
constexpr double trust_recovery_rate = 0.01;

} // namespace

prefix_map::prefix_map(std::size_t max_blocks)
    : max_blocks_(std::max<std::size_t>(max_blocks, 1))
{
}

void prefix_map::sent(const upstream_id& upstream, std::span<const block_hash> blocks)
{
    const slot holder = slot_for(upstream);
    if (holder == no_slot) {
        return;
    }
    // In reverse order, so that the first blocks, which most prompts share, are evicted last.
    for (std::size_t i = blocks.size(); i > 0; --i) {
        add(blocks[i - 1], holder);
    }
}

void prefix_map::event(const upstream_id& upstream, const cache_event& event)
{
    const slot holder = slot_for(upstream);
    if (holder == no_slot) {
        return;
    }
    auto& state = holders_[holder];
    if (event.sequence <= state.sequence) {
        return; // duplicate or out of order: a newer event may have undone it
    }
    const bool gap = state.sequence != 0 && event.sequence != state.sequence + 1;
    state.sequence = event.sequence;
    state.trust = gap ? std::max(min_trust, state.trust * trust_after_gap)
                      : state.trust + trust_recovery_rate * (1.0 - state.trust);
    for (const auto block : event.blocks) {
        if (event.kind == cache_event_kind::stored) {
            add(block, holder);
        }
        else {
            remove(block, holder);
        }
    }
}

void prefix_map::forget(const upstream_id& upstream)
{
    const slot holder = slot_of(upstream);
    if (holder == no_slot) {
        return;
    }
    for (auto& each : entries_) {
        std::replace(each.holders.begin(), each.holders.end(), holder, no_slot);
    }
    holders_[holder] = {};
}

void prefix_map::lookup(std::span<const block_hash> blocks, std::vector<prefix_match>& matches) const
{
    matches.clear();
    std::array<slot, max_holders> candidates{};
    candidates.fill(no_slot);
    std::array<token_count, max_holders> matched_blocks{};
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        const auto found = index_.find(blocks[i]);
        if (found == index_.end()) {
            break;
        }
        const auto& holders = entries_[found->second].holders;
        if (i == 0) {
            candidates = holders;
        }
        bool any_extended = false;
        for (std::size_t h = 0; h < max_holders; ++h) {
            const bool is_contiguous =
                candidates[h] != no_slot && matched_blocks[h] == static_cast<token_count>(i);
            if (is_contiguous && std::find(holders.begin(), holders.end(), candidates[h]) != holders.end()) {
                ++matched_blocks[h];
                any_extended = true;
            }
        }
        if (!any_extended) {
            break;
        }
    }
    for (std::size_t h = 0; h < max_holders; ++h) {
        if (matched_blocks[h] > 0) {
            const auto& state = holders_[candidates[h]];
            const double tokens = static_cast<double>(matched_blocks[h] * block_tokens) * state.trust;
            matches.push_back({state.name_hash, static_cast<token_count>(tokens)});
        }
    }
}

auto prefix_map::trust(const upstream_id& upstream) const -> double
{
    const slot holder = slot_of(upstream);
    return holder == no_slot ? 1.0 : holders_[holder].trust;
}

auto prefix_map::slot_of(const upstream_id& upstream) const -> slot
{
    const std::uint64_t name_hash = stable_hash(upstream.text());
    for (std::size_t i = 0; i < holders_.size(); ++i) {
        if (holders_[i].used && holders_[i].name_hash == name_hash && holders_[i].id == upstream) {
            return static_cast<slot>(i);
        }
    }
    return no_slot;
}

auto prefix_map::slot_for(const upstream_id& upstream) -> slot
{
    const slot known = slot_of(upstream);
    if (known != no_slot) {
        return known;
    }
    const auto is_free = [](const holder_state& state) { return !state.used; };
    auto place = std::find_if(holders_.begin(), holders_.end(), is_free);
    if (place == holders_.end()) {
        if (holders_.size() >= no_slot) {
            return no_slot;
        }
        place = holders_.insert(holders_.end(), holder_state{});
    }
    *place = {upstream, stable_hash(upstream.text()), 0, 1.0, true};
    return static_cast<slot>(place - holders_.begin());
}

void prefix_map::add(block_hash block, slot holder)
{
    const std::uint32_t i = place_for(block);
    auto& holders = entries_[i].holders;
    if (std::find(holders.begin(), holders.end(), holder) == holders.end()) {
        const auto place = std::find(holders.begin(), holders.end(), no_slot);
        if (place == holders.end()) {
            std::rotate(holders.begin(), holders.begin() + 1, holders.end());
            holders.back() = holder;
        }
        else {
            *place = holder;
        }
    }
    unlink(i);
    link_newest(i);
}

void prefix_map::remove(block_hash block, slot holder)
{
    const auto found = index_.find(block);
    if (found != index_.end()) {
        auto& holders = entries_[found->second].holders;
        std::replace(holders.begin(), holders.end(), holder, no_slot);
    }
}

auto prefix_map::place_for(block_hash block) -> std::uint32_t
{
    const auto found = index_.find(block);
    if (found != index_.end()) {
        return found->second;
    }
    std::uint32_t i = oldest_;
    if (entries_.size() < max_blocks_) {
        i = static_cast<std::uint32_t>(entries_.size());
        entries_.emplace_back();
    }
    else {
        index_.erase(entries_[i].block);
        unlink(i);
    }
    entries_[i].block = block;
    entries_[i].holders.fill(no_slot);
    index_.emplace(block, i);
    link_newest(i);
    return i;
}

void prefix_map::unlink(std::uint32_t i)
{
    auto& self = entries_[i];
    (self.newer == no_entry ? newest_ : entries_[self.newer].older) = self.older;
    (self.older == no_entry ? oldest_ : entries_[self.older].newer) = self.newer;
    self.newer = no_entry;
    self.older = no_entry;
}

void prefix_map::link_newest(std::uint32_t i)
{
    entries_[i].older = newest_;
    if (newest_ != no_entry) {
        entries_[newest_].newer = i;
    }
    newest_ = i;
    if (oldest_ == no_entry) {
        oldest_ = i;
    }
}

} // namespace dragonflymill
