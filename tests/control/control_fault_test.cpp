#include "core_fleet.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr std::size_t fleet_size = 9;
const failure_domain_id domain_a("a");

// A fleet with complete membership and version 7 in force.
auto settled_fleet(double drop = 0, std::uint64_t seed = 1) -> core_fleet
{
    core_fleet world(fleet_size, drop, seed);
    world.run(20s);
    world.push(0, test_bundle(7));
    world.run(15s);
    cr_assert(world.all_have(7));
    return world;
}

void partition_domain(core_fleet& world, std::size_t domain)
{
    for (std::size_t at = domain; at < fleet_size; at += 3) {
        world.partition[at] = 1;
    }
}

void heal(core_fleet& world)
{
    world.partition.assign(fleet_size, 0);
}

} // namespace

FAULT_CELL(bundle_spread, partition)
{
    // A switch failure partitions a failure domain while versions 8 and 9 are replicated among the others.
    // Once reachable again, it must learn the newest version from the notice in every datagram and adopt 9.
    auto world = settled_fleet();
    partition_domain(world, 1);
    world.push(0, test_bundle(8));
    world.run(5s);
    world.push(0, test_bundle(9));
    world.run(60s);
    cr_assert(world.version(1) == 7 && world.version(2) == 9);
    heal(world);
    world.run(30s);
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_spread, process_dies)
{
    // The process that received an operator's push dies immediately afterwards. Peers that fetched the bundle
    // from it must replicate it to the others.
    auto world = settled_fleet();
    world.push(0, test_bundle(8));
    world.paused[0] = true;
    world.run(11s);
    for (std::size_t at = 1; at < fleet_size; ++at) {
        cr_assert(world.version(at) == 8);
    }
}

FAULT_CELL(bundle_spread, two_faults)
{
    // A third of the fleet restarts at once while a third of all datagrams is lost. Starting processes must
    // repeat their queries until peers have replied, and must not adopt an older bundle.
    auto world = settled_fleet(0.33, 3);
    world.push(4, test_bundle(8));
    world.run(11s);
    cr_assert(world.all_have(8));
    for (std::size_t at = 2; at < fleet_size; at += 3) {
        world.start(at, 2'000);
    }
    world.run(20s, [&] {
        for (std::size_t at = 0; at < fleet_size; ++at) {
            cr_assert(world.version(at) == 0 || world.version(at) == 8);
        }
    });
    cr_assert(world.all_have(8));
}

FAULT_CELL(bundle_adopt, process_dies)
{
    // A process restarts without state while two peers lag at version 7 and the others have 8. The lagging
    // peers may reply first; the process must wait for all queried peers and adopt 8.
    auto world = settled_fleet();
    world.paused[1] = true;
    world.paused[2] = true;
    world.push(0, test_bundle(8));
    world.run(5s);
    world.paused[1] = false;
    world.paused[2] = false;
    world.start(5, 2'000);
    world.run(10s, [&] { cr_assert(world.version(5) == 0 || world.version(5) == 8); });
    cr_assert(world.all_have(8));
}

FAULT_CELL(drain_leave, message_lost)
{
    // A third of all datagrams is lost while a failure domain is drained. The notice is sent to four
    // processes, relayed and repeated on later datagrams, so it must reach every process within seconds.
    auto world = settled_fleet(0.33, 5);
    world.drain(3, domain_a, true);
    world.run(3s);
    cr_assert(world.drained_at(domain_a) == fleet_size, "%zu", world.drained_at(domain_a));
}

FAULT_CELL(drain_leave, partition)
{
    // A failure domain is partitioned when a drain is requested. The drain must apply at once on the
    // requesting side, and on the other side once it is reachable, because notices are kept and repeated.
    auto world = settled_fleet();
    partition_domain(world, 2);
    world.drain(0, domain_a, true);
    world.run(60s);
    cr_assert(world.drained_at(domain_a) == 6);
    heal(world);
    world.run(20s);
    cr_assert(world.drained_at(domain_a) == fleet_size);
}

FAULT_CELL(drain_leave, process_dies)
{
    // A process restarts without state after a drain was requested. It must learn of the drain from its
    // peers; at 390 restarts per day this is common.
    auto world = settled_fleet();
    world.drain(0, domain_a, true);
    world.run(3s);
    world.start(4, 2'000);
    world.run(5s);
    cr_assert(world.drained_at(domain_a) == fleet_size);
}

FAULT_CELL(drain_leave, paused_wakes_late)
{
    // A process is paused while a drain is requested and resumes with outdated state. The first replies to
    // its pings must carry the notice, so that it applies the drain within seconds.
    auto world = settled_fleet();
    world.paused[5] = true;
    world.drain(0, domain_a, true);
    world.run(30s);
    cr_assert(world.drained_at(domain_a) == fleet_size - 1);
    world.paused[5] = false;
    world.run(5s);
    cr_assert(world.drained_at(domain_a) == fleet_size);
}

FAULT_CELL(drain_return, partition)
{
    // A drained failure domain is returned to service while some processes are partitioned. They must keep
    // the drain until they are reachable; then the notice with the higher number must win on both sides.
    auto world = settled_fleet();
    world.drain(0, domain_a, true);
    world.run(3s);
    partition_domain(world, 2);
    world.drain(0, domain_a, false);
    world.run(30s);
    cr_assert(world.drained_at(domain_a) == 3);
    heal(world);
    world.run(20s);
    cr_assert(world.drained_at(domain_a) == 0);
}

FAULT_CELL(drain_return, two_faults)
{
    // During a partition one operator returns a failure domain to service and another one drains it, and both
    // notices get the same number. The safe one, the drain, must win everywhere.
    auto world = settled_fleet();
    world.drain(0, domain_a, true);
    world.run(3s);
    partition_domain(world, 2);
    world.drain(0, domain_a, true);
    world.drain(2, domain_a, false);
    world.run(10s);
    heal(world);
    world.run(20s);
    cr_assert(world.drained_at(domain_a) == fleet_size);
}
