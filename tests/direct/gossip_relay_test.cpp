#include "dragonflymill/direct/gossip_relay.h"
#include "gossip_world.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;
using namespace dragonflymill::direct::test;

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
