#include "core_fleet.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr std::size_t fleet_size = 9;
const failure_domain_id domain_a("a");

// A fleet that has found itself and has version 7 in force.
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
    // Operators see a change reach a failure domain as soon as it can be reached again.
    // Order: a failure domain is cut off, versions 8 and 9 spread among the others, the way opens.
    // Cause: a switch fails; the words on every datagram bring the newest version, and 8 is never fetched.
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
    // Operators see a change arrive everywhere although the process that they pushed it to dies at once.
    // Order: it tells a few, dies; those have fetched from it and tell the others.
    // Cause: hosts fail at any moment, also just after a push was answered.
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
    // Operators see no older bundle anywhere when a failure domain restarts on a lossy network.
    // Order: version 8 is in force; a third of the fleet restarts at once while a third of all datagrams are
    // lost. Cause: a rack is power-cycled as a link goes bad; starting processes ask until peers have
    // answered.
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
    // Operators see a replaced process with the bundle that was in force, not with an older one.
    // Order: a process dies and starts with nothing; two peers lag behind with 7, the others have 8.
    // Cause: who answers first may lag; all that were asked are waited for, as long as patience lasts.
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
    // Operators see a failure domain take no new work within seconds on a network that loses a third.
    // Order: the word is told to four at once; those tell others; later datagrams repeat it.
    // Cause: datagrams are lost; every datagram carries a word again.
    auto world = settled_fleet(0.33, 5);
    world.drain(3, domain_a, true);
    world.run(3s);
    cr_assert(world.drained_at(domain_a) == fleet_size, "%zu", world.drained_at(domain_a));
}

FAULT_CELL(drain_leave, partition)
{
    // Operators see the word hold on their side at once, and on the other as soon as it can be reached.
    // Order: a failure domain is cut off, the word is given, the way opens.
    // Cause: a switch fails just when it matters; words are kept and repeated.
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
    // Operators see a replaced process respect a drain that was given before it started.
    // Order: the word is given, a process restarts with nothing and hears it from its peers.
    // Cause: 390 restarts a day; nothing is kept over a restart.
    auto world = settled_fleet();
    world.drain(0, domain_a, true);
    world.run(3s);
    world.start(4, 2'000);
    world.run(5s);
    cr_assert(world.drained_at(domain_a) == fleet_size);
}

FAULT_CELL(drain_leave, paused_wakes_late)
{
    // Operators see a process that slept through a drain learn of it within seconds of waking.
    // Order: a process is paused, the word is given, it wakes with what it knew before.
    // Cause: hosts pause processes; the first answers to its pings repeat the word.
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
    // Operators see a failure domain stay out where the word to return has not arrived, and only there.
    // Order: out everywhere, a part is cut off, "back" is given; the way opens and the newer word wins.
    // Cause: words carry numbers; a part that kept the old one can't put it back.
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
    // Operators see the failure domain out when two of them say "back" and "out" at the same time.
    // Order: a part is cut off, one says "back" there, another says "out" here; both words get one number.
    // Cause: nobody counts for both; of two words of one number the safe one holds, everywhere.
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
