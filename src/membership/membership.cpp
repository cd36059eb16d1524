#include "dragonflymill/membership/membership.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <bit>
#include <set>

namespace dragonflymill {

namespace {

constexpr std::size_t max_seeds = 64;
// Size of a datagram without updates: UDP/IP header, seal, sender, bundle notice, numbers.
constexpr std::size_t datagram_base_bytes = 28 + 16 + 140 + 48 + 32;
constexpr std::uint32_t transmissions_per_doubling = 3;

} // namespace

membership::membership(membership_settings settings, std::uint64_t seed, instant now)
    : settings_(std::move(settings))
    , random_(seed)
    , self_{settings_.self, member_state::alive, {settings_.start, 0}}
    , table_(settings_.max_members, settings_.retention)
    , started_(now)
    , last_tick_(now)
    , heard_(now)
    , next_probe_(now)
    , next_join_(now)
    , next_lost_(now)
    , budget_(settings_.burst_bytes)
{
    add_seeds(settings_.seeds);
    news_.add(self_);
}

auto membership::leave() -> membership_outputs
{
    self_.state = member_state::leaving;
    news_.add(self_);
    return announce();
}

auto membership::announce() -> membership_outputs
{
    membership_outputs outputs;
    for (const auto* record : table_.sample(random_, settings_.announce_fanout, is_live)) {
        send(record->update.info.gossip_address, record->update.info.id, announce_message{}, outputs);
    }
    return outputs;
}

auto membership::ask_peers(std::size_t count) -> membership_outputs
{
    auto order = table_.sample(random_, table_.records().size(), is_live);
    // One member of each failure domain first, then the others.
    std::set<failure_domain_id> domains;
    std::stable_partition(order.begin(), order.end(), [&domains](const auto* record) {
        return domains.insert(record->update.info.domain).second;
    });
    order.resize(std::min(order.size(), count));
    membership_outputs outputs;
    for (const auto* record : order) {
        ping(*record, outputs);
    }
    return outputs;
}

void membership::add_seeds(const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        const bool is_known = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
        if (!is_known && address != settings_.self.gossip_address && seeds_.size() < max_seeds) {
            seeds_.push_back(address);
        }
    }
}

auto membership::isolated(instant now) const -> bool
{
    return table_.live_count() > 0 && now - heard_ >= settings_.isolation_after;
}

auto membership::same_region(const member_record& record) const -> bool
{
    return record.update.info.region == self_.info.region;
}

auto membership::digest() const -> std::uint64_t
{
    const auto own = stable_hash(self_.info.id.text(), self_.number.start.value());
    return self_.state == member_state::alive ? table_.digest() ^ own : table_.digest();
}

auto membership::repeats_of_change() const -> std::uint32_t
{
    return transmissions_per_doubling * static_cast<std::uint32_t>(std::bit_width(table_.live_count() + 1));
}

void membership::send(const std::string& address, const process_id& receiver, datagram_body body,
                      membership_outputs& outputs)
{
    datagram message;
    message.sender = self_;
    message.receiver = receiver;
    message.counter = ++counter_;
    message.body = std::move(body);
    message.word = word_;
    message.members_digest = digest();
    message.members_count = static_cast<std::uint32_t>(table_.live_count() + 1);
    // A suspect or dead member must receive this state to refute it; waiting for gossip could take long.
    const auto* record = table_.find(receiver);
    if (record != nullptr && record->update.state != member_state::alive) {
        message.news.push_back(record->update);
    }
    budget_ -= std::min(budget_, datagram_base_bytes);
    add_news(message);
    outputs.push_back(send_datagram{address, std::move(message)});
}

void membership::add_news(datagram& message)
{
    const auto available_bytes = std::min(settings_.news_bytes, budget_);
    news_.fill(message, available_bytes, repeats_of_change());
    if (!drains_.empty() && message.drains.empty()) {
        message.drains.push_back(drains_[next_drain_++ % drains_.size()]);
    }
    std::size_t used_bytes = 0;
    for (const auto& news : message.news) {
        used_bytes += size_bound(news);
    }
    for (const auto& drain : message.drains) {
        used_bytes += size_bound(drain);
    }
    budget_ -= std::min(budget_, used_bytes);
}

void membership::ping(const member_record& record, membership_outputs& outputs)
{
    send(record.update.info.gossip_address, record.update.info.id, ping_message{++sequence_}, outputs);
}

void membership::set_state(instant now, const member_record& record, member_state state,
                           membership_outputs& outputs)
{
    auto update = record.update;
    update.state = state;
    hear(now, update, outputs);
}

} // namespace dragonflymill
