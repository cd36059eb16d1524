#pragma once

#include "dragonflymill/direct/cell_directory.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "dragonflymill/direct/gossip_relay.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::direct::test {

inline constexpr instant start(100s);
inline constexpr int domains = 5;
/// Addresses that each gateway knows when it starts.
inline constexpr int seed_count = 3;

/// Simulates gateways on a network without delay or loss; single links may be cut and gateways killed.
class gossip_world
{
public:
    /// All gateways know each other, and form one cell.
    explicit gossip_world(int count)
    {
        for (int i = 0; i < count; ++i) {
            add(i);
        }
        for (const auto& [address, to] : gateways_) {
            for (const auto& [other, from] : gateways_) {
                if (address != other) {
                    (void)to->peers.take(digest_of(*from), start);
                }
            }
        }
        run(start, start + 2s);
        reset_counts();
    }

    /// All gateways start at once and know the seeds only. The records, which all receive after 100 ms, list
    /// `upstreams` upstreams.
    gossip_world(int count, std::size_t upstreams)
        : upstreams_(upstreams)
    {
        for (int i = 0; i < count; ++i) {
            add(i);
        }
    }

    /// Each gateway sends a digest every 100 ms, which corresponds to ten changes per second.
    void run(instant from, instant until)
    {
        for (instant now = from; now < until; now += 10ms) {
            now_ = now;
            const auto slot = static_cast<int>((now - from) / 10ms) % 10;
            for (auto& [address, one] : gateways_) {
                if (!one->alive) {
                    continue;
                }
                // Large fleets do as a gateway does, which checks once in ten steps.
                const bool checks = upstreams_ == 0 || slot == one->number % 10;
                if (checks) {
                    (void)one->peers.expire_peers(now);
                    update_cells(*one);
                }
                const bool moved = checks && one->relay.update(one->peers, now);
                if (one->number % 10 == slot || moved || one->relay.keepalive_due(now)) {
                    send_digest(*one);
                }
                flush(*one);
            }
        }
    }

    void kill(const std::string& address) { gateways_.at(address)->alive = false; }
    /// Drops all datagrams sent by `from` to `to` from now on.
    void cut(const std::string& from, const std::string& to) { cut_.emplace_back(from, to); }

    [[nodiscard]] auto relay_of(const std::string& address) const -> std::optional<std::string>
    {
        return gateways_.at(address)->relay.relay();
    }
    /// Maximum age of the last digest of one running gateway at another of its cell.
    [[nodiscard]] auto oldest_digest() const -> duration
    {
        duration oldest{};
        for (const auto& [address, to] : gateways_) {
            for (const auto& [other, from] : gateways_) {
                if (address == other || !to->alive || !from->alive || !to->cells.is_own(other)) {
                    continue;
                }
                const auto known = to->peers.peers().find(other);
                const duration age =
                    known == to->peers.peers().end() ? 1h : now_ - known->second.last_received_at;
                oldest = std::max(oldest, age);
            }
        }
        return oldest;
    }
    [[nodiscard]] auto most_received() const -> int { return most(received_); }
    [[nodiscard]] auto most_sent() const -> int { return most(sent_); }
    /// Maximum number of digests received by a gateway, in all datagrams.
    [[nodiscard]] auto most_digests() const -> int { return most(digests_); }
    [[nodiscard]] auto crossed_domains() const -> int { return crossed_; }
    void reset_counts()
    {
        received_.clear();
        sent_.clear();
        digests_.clear();
        crossed_ = 0;
    }
    /// Number of gateways that don't know all others of their cell.
    [[nodiscard]] auto incomplete() const -> int
    {
        std::map<cell_id, int> sizes;
        for (const auto& [address, one] : gateways_) {
            sizes[one->cells.own()] += one->alive ? 1 : 0;
        }
        return static_cast<int>(std::count_if(gateways_.begin(), gateways_.end(), [&](const auto& item) {
            const gateway& one = *item.second;
            return one.alive && one.peers.gateways() < sizes[one.cells.own()];
        }));
    }
    /// Number of cells, as the first gateway knows it.
    [[nodiscard]] auto cells() const -> cell_id { return gateways_.begin()->second->cells.count(); }
    static auto address_of(int number) -> std::string { return "10.0.0." + std::to_string(number); }

private:
    struct gateway
    {
        int number = 0;
        peer_digest self;
        peer_table peers{"", "", {}};
        gossip_relay relay{{}};
        fleet_cells cells{""};
        cell_directory others{"", {}};
        std::uint64_t round = 0;
        instant contacted_at{};
        std::uint64_t sequence = 0;
        bool alive = true;
    };

    void add(int number)
    {
        auto made = std::make_shared<gateway>();
        made->number = number;
        made->self.gateway = address_of(number);
        made->self.address = address_of(number);
        made->self.failure_domain = "domain-" + std::to_string(number % domains);
        made->self.millicores = number < 2 * domains ? 500 : 90;
        std::vector<std::string> seeds;
        if (upstreams_ > 0) {
            for (int seed = 0; seed < seed_count; ++seed) {
                seeds.push_back(address_of(seed));
            }
        }
        made->cells = fleet_cells(made->self.address);
        made->others = cell_directory(made->self.address, seeds);
        made->peers = peer_table(made->self.gateway, made->self.address, seeds);
        if (upstreams_ > 0) {
            (void)made->peers.set_cells(made->cells);
        }
        made->relay = gossip_relay(made->self);
        gateways_.emplace(made->self.address, made);
    }

    void update_cells(gateway& one)
    {
        if (upstreams_ == 0) {
            return;
        }
        if (now_ >= start + 100ms && !one.cells.known()) {
            (void)one.cells.update(upstreams_, now_);
            for (const auto& [name, peer] : one.peers.peers()) {
                if (!one.cells.is_own(peer.digest.address)) {
                    one.others.take(peer.digest, peer.last_received_at);
                }
            }
            (void)one.peers.set_cells(one.cells);
        }
        one.others.expire(one.cells, now_);
        const bool is_alone = one.peers.gateways() == 1;
        const duration interval =
            is_alone ? cell_directory::round_length_alone : cell_directory::round_length;
        if (now_ - one.contacted_at >= interval) {
            one.contacted_at = now_;
            peer_message message{digest_of(one), {}, {}, {}};
            message.digest.seeks_peers = true;
            for (const std::string& address : one.others.targets(one.cells, one.round++, is_alone)) {
                deliver(one, address, {"", false, {message}});
            }
        }
    }

    void receive_digest(gateway& to, const peer_digest& digest)
    {
        if (to.cells.is_own(digest.address)) {
            if (to.peers.take(digest, now_) && upstreams_ > 0) {
                peer_message answer{digest_of(to), {}, {}, {}};
                answer.digest.peers = to.peers.address_sample(to.sequence);
                deliver(to, digest.address, {"", false, {answer}});
            }
            return;
        }
        to.others.take(digest, now_);
        to.others.learn(to.cells, digest.peers, now_);
        to.peers.learn(digest.peers, now_);
        if (digest.seeks_peers) {
            peer_message answer{digest_of(to), {}, {}, {}};
            answer.digest.peers =
                to.others.introductions(to.cells, to.cells.cell_of(digest.address), to.sequence);
            deliver(to, digest.address, {"", false, {answer}});
        }
    }

    auto digest_of(gateway& from) -> peer_digest
    {
        peer_digest digest = from.self;
        digest.sequence = ++from.sequence;
        digest.relaying = from.relay.is_relay();
        if (upstreams_ > 0 && digest.sequence % digests_per_address_list == 0) {
            digest.peers = from.peers.address_sample(digest.sequence);
        }
        return digest;
    }

    void send_digest(gateway& from)
    {
        peer_message message{digest_of(from), {}, {}, {}};
        if (from.relay.is_relay()) {
            from.relay.enqueue_own(message);
        }
        if (from.relay.sends_to_all()) {
            for (const std::string& address : from.peers.targets()) {
                deliver(from, address, {"", false, {message}});
            }
        }
        else if (upstreams_ > 0 && !message.digest.peers.empty()) {
            for (const std::string& address : from.peers.unknown_addresses()) {
                deliver(from, address, {"", false, {message}});
            }
        }
        if (from.relay.relay()) {
            message.digest.subscribes = true;
            deliver(from, *from.relay.relay(), {"", false, {message}});
        }
    }

    void flush(gateway& relay)
    {
        if (!relay.relay.flush_at() || *relay.relay.flush_at() > now_) {
            return;
        }
        const relay_batch batch = relay.relay.take_batch();
        relay.relay.flushed(now_);
        for (const std::string& address : relay.relay.subscribers()) {
            for (const peer_datagram& datagram :
                 split_into_datagrams(batch.for_subscribers, relay.self.address, false)) {
                deliver(relay, address, datagram);
            }
        }
        for (const std::string& address : relay.relay.other_relays(relay.peers, now_)) {
            for (const peer_datagram& datagram :
                 split_into_datagrams(batch.for_relays, relay.self.address, true)) {
                deliver(relay, address, datagram);
            }
        }
    }

    void deliver(const gateway& from, const std::string& address, const peer_datagram& datagram)
    {
        gateway& to = *gateways_.at(address);
        const bool lost =
            std::find(cut_.begin(), cut_.end(), std::pair(from.self.address, address)) != cut_.end();
        if (!to.alive || lost) {
            return;
        }
        ++sent_[from.self.address];
        ++received_[address];
        digests_[address] += static_cast<int>(datagram.messages.size());
        crossed_ += from.self.failure_domain == to.self.failure_domain ? 0 : 1;
        to.relay.take(datagram, now_);
        for (const peer_message& message : datagram.messages) {
            receive_digest(to, message.digest);
        }
    }

    [[nodiscard]] static auto most(const std::map<std::string, int>& counts) -> int
    {
        int found = 0;
        for (const auto& [address, count] : counts) {
            found = std::max(found, count);
        }
        return found;
    }

    std::map<std::string, std::shared_ptr<gateway>> gateways_;
    std::vector<std::pair<std::string, std::string>> cut_;
    static constexpr std::uint64_t digests_per_address_list = 10;

    std::size_t upstreams_ = 0;
    std::map<std::string, int> received_;
    std::map<std::string, int> sent_;
    std::map<std::string, int> digests_;
    int crossed_ = 0;
    instant now_ = start;
};

} // namespace dragonflymill::direct::test
