#include "dragonflymill/direct/gossip_relay.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace dragonflymill::direct {

namespace {

/// Returns whether `a` is the better relay: the one with more processor, in an order common to all gateways.
auto is_better_relay(const peer_digest& a, const peer_digest& b) -> bool
{
    const auto rank = [](const peer_digest& digest) {
        return std::tuple(digest.leaving, -digest.millicores, stable_hash(digest.gateway));
    };
    return rank(a) < rank(b);
}

} // namespace

auto gossip_relay::update(const peer_table& peers, instant now) -> bool
{
    const int gateways = peers.gateways();
    is_large_ = gateways > (is_large_ ? mesh_restore_limit : mesh_limit);
    std::erase_if(subscribers_, [&](const auto& item) {
        return now - item.second.last_received_at > subscription_timeout || gateways <= mesh_restore_limit;
    });
    std::erase_if(excluded_relays_, [&](const auto& item) { return now >= item.second; });
    if (relay_ && now - std::max(relay_received_at_, relay_selected_at_) > relay_timeout) {
        excluded_relays_[*relay_] = now + relay_exclusion_time;
    }
    const bool moved = choose_relay(peers, now);
    const bool connected = now - relay_received_at_ <= relay_timeout;
    sends_to_all_ = !is_large_ || !connected;
    return moved;
}

auto gossip_relay::choose_relay(const peer_table& peers, instant now) -> bool
{
    const peer_digest& best = best_relay(peers, now);
    // A gateway that knows fewer peers still subscribes to a relay that they use, because they do not send to
    // it directly.
    const bool through_relays = is_large_ || (best.relaying && peers.gateways() > mesh_restore_limit);
    is_domain_relay_ = through_relays && best.gateway == self_.gateway;
    const auto chosen = through_relays && !is_domain_relay_ ? std::optional(best.address) : std::nullopt;
    const bool moved = chosen && chosen != relay_;
    if (chosen != relay_) {
        relay_ = chosen;
        relay_selected_at_ = now;
        relay_received_at_ = instant{};
    }
    return moved;
}

auto gossip_relay::is_usable(const known_peer& peer, instant now) const -> bool
{
    return !peer.digest.leaving && now - peer.last_received_at <= peer_table::source_reader_timeout &&
           !excluded_relays_.contains(peer.digest.address);
}

auto gossip_relay::best_relay(const peer_table& peers, instant now) const -> const peer_digest&
{
    const peer_digest* best = &self_;
    for (const auto& [name, peer] : peers.peers()) {
        const bool near = peer.digest.failure_domain == self_.failure_domain;
        if (near && is_usable(peer, now) && is_better_relay(peer.digest, *best)) {
            best = &peer.digest;
        }
    }
    return *best;
}

void gossip_relay::take(const peer_datagram& datagram, instant now)
{
    if (datagram.relay.empty()) {
        for (const peer_message& message : datagram.messages) {
            if (message.digest.subscribes) {
                subscribers_[message.digest.gateway] = {message.digest.address, now};
                enqueue(message, true, now);
            }
        }
        return;
    }
    if (relay_ == datagram.relay || (is_domain_relay_ && datagram.for_relays)) {
        relay_received_at_ = now;
    }
    if (datagram.for_relays && is_relay()) {
        for (const peer_message& message : datagram.messages) {
            enqueue(message, false, now);
        }
    }
}

void gossip_relay::enqueue_own(const peer_message& message)
{
    enqueue(message, true, flushed_at_);
}

void gossip_relay::enqueue(const peer_message& message, bool from_origin, instant now)
{
    pending_batch_.for_subscribers.push_back(message);
    if (from_origin) {
        pending_batch_.for_relays.push_back(message);
    }
    const int slowdown = std::max(1, static_cast<int>(subscribers_.size()) / subscribers_at_full_rate);
    const duration interval = (message.digest.urgent ? urgent_flush_interval : flush_interval) * slowdown;
    const instant due = std::max(flushed_at_ + interval, now);
    flush_at_ = std::min(flush_at_.value_or(due), due);
}

auto gossip_relay::take_batch() -> relay_batch
{
    flush_at_.reset();
    return std::exchange(pending_batch_, {});
}

auto gossip_relay::flush_at() const -> std::optional<instant>
{
    return flush_at_;
}

auto gossip_relay::keepalive_due(instant now) const -> bool
{
    return is_relay() && now - flushed_at_ >= keepalive_interval;
}

auto gossip_relay::subscribers() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    addresses.reserve(subscribers_.size());
    for (const auto& [gateway, subscribed] : subscribers_) {
        addresses.push_back(subscribed.address);
    }
    return addresses;
}

auto gossip_relay::other_relays(const peer_table& peers, instant now) const -> std::vector<std::string>
{
    std::map<std::string_view, const peer_digest*> first;
    std::set<std::string> addresses;
    for (const auto& [gateway, peer] : peers.peers()) {
        if (!is_usable(peer, now)) {
            continue;
        }
        if (peer.digest.relaying) {
            addresses.insert(peer.digest.address);
        }
        const peer_digest*& best = first[peer.digest.failure_domain];
        if (best == nullptr || is_better_relay(peer.digest, *best)) {
            best = &peer.digest;
        }
    }
    // The best candidate of another failure domain may not have reported yet that it relays.
    first.erase(self_.failure_domain);
    for (const auto& [domain, best] : first) {
        addresses.insert(best->address);
    }
    return {addresses.begin(), addresses.end()};
}

} // namespace dragonflymill::direct
