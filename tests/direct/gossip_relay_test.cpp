#include "dragonflymill/direct/gossip_relay.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);
constexpr int domains = 5;

/// Simulates gateways on a network without delay or loss; single links may be cut and gateways killed.
class gossip_world
{
public:
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
        received_.clear();
        crossed_ = 0;
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
                (void)one->peers.expire_peers(now);
                const bool moved = one->relay.update(one->peers, now);
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
    /// Maximum age of the last digest of one running gateway at another.
    [[nodiscard]] auto oldest_digest() const -> duration
    {
        duration oldest{};
        for (const auto& [address, to] : gateways_) {
            for (const auto& [other, from] : gateways_) {
                if (address == other || !to->alive || !from->alive) {
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
    [[nodiscard]] auto most_received() const -> int
    {
        int most = 0;
        for (const auto& [address, count] : received_) {
            most = std::max(most, count);
        }
        return most;
    }
    [[nodiscard]] auto crossed_domains() const -> int { return crossed_; }
    static auto address_of(int number) -> std::string { return "10.0.0." + std::to_string(number); }

private:
    struct gateway
    {
        int number = 0;
        peer_digest self;
        peer_table peers{"", "", {}};
        gossip_relay relay{{}};
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
        made->peers = peer_table(made->self.gateway, made->self.address, {});
        made->relay = gossip_relay(made->self);
        gateways_.emplace(made->self.address, made);
    }

    auto digest_of(gateway& from) -> peer_digest
    {
        peer_digest digest = from.self;
        digest.sequence = ++from.sequence;
        digest.relaying = from.relay.is_relay();
        return digest;
    }

    void send_digest(gateway& from)
    {
        peer_message message{digest_of(from), {}, {}};
        if (from.relay.is_relay()) {
            from.relay.enqueue_own(message);
        }
        if (from.relay.sends_to_all()) {
            for (const std::string& address : from.peers.targets(now_)) {
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
        ++received_[address];
        crossed_ += from.self.failure_domain == to.self.failure_domain ? 0 : 1;
        to.relay.take(datagram, now_);
        for (const peer_message& message : datagram.messages) {
            (void)to.peers.take(message.digest, now_);
        }
    }

    std::map<std::string, std::shared_ptr<gateway>> gateways_;
    std::vector<std::pair<std::string, std::string>> cut_;
    std::map<std::string, int> received_;
    int crossed_ = 0;
    instant now_ = start;
};

} // namespace

// Guards against delaying the digests of a small fleet by batching: a few gateways form a full mesh.
Test(gossip_relay, a_small_fleet_sends_digests_directly)
{
    gossip_world world(12);
    world.run(start + 2s, start + 3s);
    cr_assert(!world.relay_of(gossip_world::address_of(11)));
    cr_assert(world.oldest_digest() <= 100ms);
}

// Pattern: a hundred unequal gateways with ten changes per second each. In a full mesh, each gateway would
// receive a thousand datagrams per second, which small hosts cannot process.
Test(gossip_relay, a_large_fleet_has_fresh_state_with_few_datagrams)
{
    gossip_world world(103);
    world.run(start + 2s, start + 3s);
    cr_assert(world.oldest_digest() <= 200ms);
    cr_assert(world.most_received() < 500, "a relay receives from its subscribers and the other relays");
    cr_assert(world.crossed_domains() < 5'000,
              "in a full mesh 82,000 datagrams per second cross failure domains");
}

// Guards against selecting a small host as the relay by the hash of its name.
Test(gossip_relay, selects_the_gateway_with_the_most_processor_of_a_domain)
{
    gossip_world world(103);
    const auto relay = world.relay_of(gossip_world::address_of(100));
    cr_assert(relay && (*relay == gossip_world::address_of(0) || *relay == gossip_world::address_of(5)));
}

// Guards against gateways that receive no digests after their relay was killed.
Test(gossip_relay, subscribers_of_a_killed_relay_select_another)
{
    gossip_world world(103);
    const auto first = world.relay_of(gossip_world::address_of(100));
    world.kill(*first);
    world.run(start + 2s, start + 4s);
    cr_assert(world.relay_of(gossip_world::address_of(100)) != first);
    cr_assert(world.oldest_digest() <= 300ms);
}

// Guards against a subscriber that keeps a relay whose datagrams do not reach it, while the relay works for
// all others.
Test(gossip_relay, only_the_subscriber_that_receives_nothing_excludes_its_relay)
{
    gossip_world world(103);
    const std::string far = gossip_world::address_of(100);
    const std::string near = gossip_world::address_of(95);
    const auto first = world.relay_of(far);
    world.cut(*first, far);
    world.run(start + 2s, start + 3500ms);
    cr_assert(world.relay_of(far) && world.relay_of(far) != first);
    cr_assert(world.relay_of(near) == first);
    cr_assert(world.oldest_digest() <= 1500ms);
}

// Guards against two groups that receive nothing from each other: most of a large fleet is killed at once,
// and the rest returns to a full mesh.
Test(gossip_relay, a_shrinking_fleet_keeps_fresh_state_of_all_running_gateways)
{
    gossip_world world(103);
    for (int i = 0; i < 75; ++i) {
        world.kill(gossip_world::address_of(i));
    }
    world.run(start + 2s, start + 8s);
    cr_assert(!world.relay_of(gossip_world::address_of(100)), "28 gateways form a full mesh");
    cr_assert(world.oldest_digest() <= 300ms);
}

// Pattern: a failure domain with a hundred gateways. Guards against a relay that is overloaded by sending:
// the interval of its batches grows with the number of subscribers.
Test(gossip_relay, sends_batches_less_often_to_many_subscribers)
{
    peer_digest self;
    self.gateway = "relay";
    gossip_relay relay(self);
    const auto subscribe = [&](int number) {
        peer_message message;
        message.digest.gateway = "subscriber-" + std::to_string(number);
        message.digest.address = gossip_world::address_of(number);
        message.digest.subscribes = true;
        relay.take({"", false, {message}}, start);
    };
    for (int i = 0; i < 100; ++i) {
        subscribe(i);
    }
    (void)relay.take_batch();
    relay.flushed(start);
    subscribe(0);
    cr_assert(relay.flush_at() == start + 4 * gossip_relay::flush_interval);
}
