#include "dragonflymill/membership/membership.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

// Timers of the membership protocol.

namespace dragonflymill {

namespace {

constexpr duration join_interval = 500ms;
constexpr duration rejoin_interval = 10s;
constexpr duration dead_probe_interval = 5s;
constexpr duration page_interval = 250ms;
constexpr duration page_timeout = 1s;
constexpr std::size_t max_seeds_per_join = 4;
constexpr std::size_t max_suspect_pings = 8;

} // namespace

auto membership::tick(instant now) -> membership_outputs
{
    membership_outputs outputs;
    note_pause(now);
    const auto elapsed = static_cast<std::size_t>(std::max(duration::zero(), now - last_tick_).count());
    constexpr std::size_t microseconds_per_second = 1'000'000;
    budget_ = std::min(settings_.burst_bytes,
                       budget_ + elapsed * settings_.bytes_per_second / microseconds_per_second);
    last_tick_ = now;
    judge_suspects(now, outputs);
    join(now, outputs);
    go_on_syncing(now, outputs);
    if (probe_ && !probe_->indirect && now - probe_->sent >= settings_.probe_timeout) {
        probe_indirectly(outputs);
    }
    if (now >= next_probe_) {
        end_probe(now, outputs);
        warn_suspects(outputs);
        start_probe(now, outputs);
        probe_other_regions(outputs);
        probe_lost_ones(now, outputs);
        std::erase_if(relays_, [now](const auto& entry) { return entry.second.until <= now; });
        table_.forget(now);
        next_probe_ = now + settings_.probe_interval;
    }
    return outputs;
}

// Guards against mass suspicion after a pause: a resumed process would take its own silence for that of all
// others and declare dozens of members dead. Probes and suspicion times that were due during the pause are
// discarded or extended.
void membership::note_pause(instant now)
{
    const auto gap = now - last_tick_;
    if (gap < 2 * settings_.probe_interval) {
        return;
    }
    ++counts_.pauses;
    probe_.reset();
    heard_ = now;
    last_tick_ = now;
    for (const auto& [id, record] : table_.records()) {
        if (record.update.state == member_state::suspect) {
            table_.find(id)->since += gap;
        }
    }
}

void membership::judge_suspects(instant now, membership_outputs& outputs)
{
    // An isolated process gets no responses from anyone; it must not spread false deaths once it is
    // reconnected.
    if (isolated(now)) {
        return;
    }
    std::vector<member_record> overdue;
    for (const auto& [id, record] : table_.records()) {
        const bool in_own_region = record.update.state == member_state::suspect && same_region(record);
        // Processes that didn't probe it themselves wait twice as long, leaving the decision to those that
        // did.
        const auto timeout = record.silent ? settings_.suspicion : 2 * settings_.suspicion;
        if (in_own_region && now - record.since >= timeout) {
            overdue.push_back(record);
        }
    }
    for (const auto& record : overdue) {
        set_state(now, record, member_state::dead, outputs);
    }
}

void membership::probe_indirectly(membership_outputs& outputs)
{
    probe_->indirect = true;
    const auto target = probe_->target;
    const auto relay_peers =
        table_.sample(random_, settings_.indirect_probes, [&](const member_record& record) {
            return record.update.state == member_state::alive && same_region(record) &&
                   record.update.info.id != target;
        });
    for (const auto* relay_peer : relay_peers) {
        send(relay_peer->update.info.gossip_address, relay_peer->update.info.id,
             ping_request_message{probe_->sequence, target}, outputs);
    }
}

void membership::end_probe(instant now, membership_outputs& outputs)
{
    if (!probe_) {
        return;
    }
    const auto target = probe_->target;
    probe_.reset();
    const auto* record = table_.find(target);
    if (record == nullptr || !is_live(*record)) {
        return;
    }
    outputs.push_back(member_silent{target});
    if (record->update.state == member_state::alive && !isolated(now)) {
        const auto copy = *record;
        set_state(now, copy, member_state::suspect, outputs);
        table_.find(target)->silent = true;
    }
}

// Pings the members suspected by this process, so that a live one can refute at once; waiting for gossip to
// reach it would use up most of its suspicion time.
void membership::warn_suspects(membership_outputs& outputs)
{
    const auto suspects = table_.sample(random_, max_suspect_pings, [](const member_record& record) {
        return record.silent && record.update.state == member_state::suspect;
    });
    for (const auto* record : suspects) {
        ping(*record, outputs);
    }
}

void membership::start_probe(instant now, membership_outputs& outputs)
{
    if (const auto* target = next_target()) {
        const auto id = target->update.info.id;
        ping(*target, outputs);
        probe_ = probe{id, sequence_, now, false};
    }
}

// Iterates over the members in an order shuffled in each round, so that each is probed within two rounds.
auto membership::next_target() -> const member_record*
{
    for (int round = 0; round < 2; ++round) {
        while (!ring_.empty()) {
            const auto* record = table_.find(ring_.back());
            ring_.pop_back();
            if (record != nullptr && is_live(*record)) {
                return record;
            }
        }
        const auto wanted = [this](const member_record& record) {
            return is_live(record) && same_region(record);
        };
        for (const auto* record : table_.sample(random_, table_.records().size(), wanted)) {
            ring_.push_back(record->update.info.id);
        }
    }
    return nullptr;
}

auto membership::is_bridge() const -> bool
{
    const auto key = stable_hash(self_.info.region.text());
    const auto own = rendezvous_score(key, self_.info.id.text());
    std::uint32_t higher_scores = 0;
    for (const auto& [id, record] : table_.records()) {
        if (record.update.state == member_state::alive && same_region(record) &&
            rendezvous_score(key, id.text()) > own) {
            ++higher_scores;
        }
    }
    return higher_scores < settings_.bridges;
}

// Probes one member of the other regions per interval. A missing response causes no suspicion: the regions
// may be partitioned, and each region decides about its own members.
void membership::probe_other_regions(membership_outputs& outputs)
{
    const auto remote_members = table_.sample(
        random_, 1, [this](const member_record& record) { return is_live(record) && !same_region(record); });
    if (!remote_members.empty() && is_bridge()) {
        ping(*remote_members.front(), outputs);
    }
}

// Probes a dead member at a low rate; otherwise the sides of a healed partition would never contact each
// other.
void membership::probe_lost_ones(instant now, membership_outputs& outputs)
{
    if (now < next_lost_) {
        return;
    }
    next_lost_ = now + dead_probe_interval;
    const auto dead_members = table_.sample(
        random_, 1, [](const member_record& record) { return record.update.state == member_state::dead; });
    if (!dead_members.empty()) {
        ping(*dead_members.front(), outputs);
    }
}

void membership::join(instant now, membership_outputs& outputs)
{
    if (now < next_join_ || seeds_.empty()) {
        return;
    }
    const bool no_live_members = table_.live_count() == 0;
    next_join_ = now + (no_live_members ? join_interval : rejoin_interval);
    const auto wanted = std::min(no_live_members ? max_seeds_per_join : 1, seeds_.size());
    for (std::size_t count = 0; count < wanted; ++count) {
        const auto& address = seeds_[next_seed_++ % seeds_.size()];
        send(address, {}, ping_message{++sequence_}, outputs);
    }
}

void membership::go_on_syncing(instant now, membership_outputs& outputs)
{
    if (sync_.peer.empty() || now - sync_.asked < (sync_.waiting ? page_timeout : page_interval)) {
        return;
    }
    const auto* record = table_.find(sync_.peer);
    if (sync_.waiting || record == nullptr || !is_live(*record)) {
        // The peer didn't respond: the remaining pages are requested from another member.
        const auto other = table_.sample(random_, 1, is_live);
        if (other.empty()) {
            sync_ = {};
            return;
        }
        record = other.front();
        sync_.peer = record->update.info.id;
    }
    sync_.asked = now;
    sync_.waiting = true;
    send(record->update.info.gossip_address, record->update.info.id, sync_request_message{sync_.after},
         outputs);
}

} // namespace dragonflymill
