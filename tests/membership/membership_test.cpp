#include "dragonflymill/membership/membership.h"
#include "membership_fixture.h"
#include "support/fault_cell.h"

#include <set>

using namespace dragonflymill;
using namespace dragonflymill::test;

Test(membership, everyone_finds_everyone)
{
    membership_fixture world(12, 1);
    world.run(15s);
    cr_assert(world.all_observe_all_alive());
    const auto digest = world.members[0]->table().digest();
    cr_assert(digest != world.members[1]->table().digest(), "each leaves itself out");
    cr_assert(world.members[0]->table().live_count() == 11);
}

Test(membership, same_inputs_give_the_same_datagrams)
{
    const auto log = [] {
        membership_fixture world(6, 3, {.drop = 0.2, .duplicate = 0.1});
        std::string text;
        world.run(20s, [&] { text += std::to_string(world.datagrams) + " "; });
        return text;
    };
    cr_assert(log() == log());
}

Test(membership, updates_are_ordered_the_same_way_round)
{
    const std::vector<member_state> states{member_state::alive, member_state::suspect, member_state::dead,
                                           member_state::leaving};
    std::vector<member_update> updates;
    for (const std::uint64_t start : {1U, 2U}) {
        for (const std::uint32_t refutation : {0U, 1U}) {
            for (const auto state : states) {
                updates.push_back({{}, state, {incarnation(start), refutation}});
            }
        }
    }
    for (const auto& a : updates) {
        for (const auto& b : updates) {
            cr_assert(!(overrides(a, b) && overrides(b, a)));
        }
    }
    const member_update leaving{{}, member_state::leaving, {incarnation(1), 0}};
    cr_assert(!overrides({{}, member_state::alive, {incarnation(1), 9}}, leaving));
    cr_assert(overrides({{}, member_state::alive, {incarnation(2), 0}}, leaving));
}

Test(membership, table_is_bounded_and_forgets)
{
    member_table table(10, 1h);
    const auto update = [](int number, member_state state) {
        member_info info;
        info.id = process_id(std::to_string(number));
        return member_update{info, state, {incarnation(1), 0}};
    };
    for (int number = 0; number < 10; ++number) {
        cr_assert(table.merge(instant{}, update(number, member_state::alive)));
    }
    cr_assert(!table.merge(instant{}, update(10, member_state::alive)), "full of live members");
    cr_assert(table.merge(instant{}, update(3, member_state::dead)));
    cr_assert(table.merge(instant{}, update(10, member_state::alive)), "in place of the dead one");
    cr_assert(!table.merge(instant{}, update(3, member_state::dead)), "unknown and dead is no news");
    cr_assert(table.merge(instant{}, update(4, member_state::leaving)));
    table.forget(instant{} + 1h);
    cr_assert(table.records().size() == 9 && table.live_count() == 9);
}

Test(membership, datagrams_a_second_do_not_grow_with_the_fleet)
{
    const auto each_second = [](std::size_t size) {
        membership_fixture world(size, 4);
        world.run(60s);
        world.datagrams = 0;
        world.run(60s);
        return static_cast<double>(world.datagrams) / 60 / static_cast<double>(size);
    };
    cr_assert(each_second(10) < 2.5);
    cr_assert(each_second(40) < 2.5);
}

Test(membership, peers_of_different_failure_domains_are_asked_first)
{
    membership_fixture world(9, 19);
    world.run(15s);
    std::set<std::size_t> domains;
    for (const auto& output : world.members[0]->ask_peers(3)) {
        domains.insert(std::stoul(std::get<send_datagram>(output).address) % 3);
    }
    cr_assert(domains.size() == 3);
}

FAULT_CELL(member_probe, message_lost)
{
    // Operators see nobody declared dead on a network that loses one datagram in ten.
    // Order: pings and answers are lost; others are asked to ping; what is still suspected denies it.
    // Cause: a lossy link must not look like ten dead hosts.
    membership_fixture world(10, 5, {.drop = 0.1});
    world.run(20s);
    world.run(300s);
    cr_assert(world.all_observe_all_alive());
    cr_assert(world.deaths == 0, "%lu", static_cast<unsigned long>(world.deaths));
}

FAULT_CELL(member_probe, process_dies)
{
    // Gateways stop counting on a host that died, within seconds.
    // Order: the process stops answering; a probe fails directly and through others; nobody denies the
    // suspicion. Cause: ten hosts fail on an ordinary day.
    membership_fixture world(10, 6);
    world.run(15s);
    world.down[4] = true;
    world.run(16s);
    cr_assert(world.all_observe(4, member_state::dead));
}

FAULT_CELL(member_probe, partition_one_way)
{
    // Operators see nobody declared dead although two processes can't reach each other.
    // Order: 1 pings 2 in vain, asks others to ping 2 for it, and gets the answer through them.
    // Cause: one broken link between two hosts says nothing about either.
    membership_fixture world(6, 7);
    world.run(15s);
    world.deaths = 0;
    world.run(120s, [&] {
        world.bag.lose([](const member_message& m) { return m.from + m.to == 3 && m.from * m.to == 2; });
    });
    cr_assert(world.deaths == 0);
}

FAULT_CELL(member_probe, message_doubled)
{
    // Nobody sees anything: a recorded datagram that is played back is dropped and counted.
    // Order: one datagram arrives twice.
    // Cause: the network doubles, or somebody replays what was sealed once.
    membership_fixture world(2, 8);
    world.run(5s);
    const auto outputs = world.members[0]->tick(world.now + 1s);
    const auto& message = std::get<send_datagram>(outputs.front()).message;
    cr_assert(!world.members[1]->receive(world.now, message, "0").empty());
    const auto before = world.members[1]->counts().replayed;
    cr_assert(world.members[1]->receive(world.now, message, "0").empty());
    cr_assert(world.members[1]->counts().replayed == before + 1);
}

FAULT_CELL(member_suspect, paused_wakes_late)
{
    // Operators see no wave of deaths when a paused host wakes.
    // Order: a process is paused for a minute, is declared dead, wakes, and every probe of its own is
    // overdue. Cause: its own silence looks to it like everybody else's; it denies its death and judges
    // nobody.
    membership_fixture world(10, 9);
    world.run(15s);
    world.paused[3] = true;
    world.run(60s);
    cr_assert(world.all_observe(3, member_state::dead));
    world.deaths = 0;
    world.paused[3] = false;
    world.run(20s);
    cr_assert(world.deaths == 0);
    cr_assert(world.all_observe_all_alive());
    cr_assert(world.members[3]->counts().pauses == 1);
}

FAULT_CELL(member_suspect, partition)
{
    // Operators see both halves come together by themselves after an hour apart.
    // Order: a failure domain is cut off, each side declares the other dead; the way opens; each denies it.
    // Cause: switches fail; dead members are still asked now and then, or nobody would ever speak again.
    membership_fixture world(9, 10);
    world.run(15s);
    for (std::size_t at = 0; at < 9; at += 3) {
        world.partition[at] = 1;
    }
    world.run(120s);
    cr_assert(world.observed_state(0, 1) == member_state::dead &&
              world.observed_state(1, 0) == member_state::dead);
    world.partition.assign(9, 0);
    world.run(30s);
    cr_assert(world.all_observe_all_alive());
}

FAULT_CELL_MORE(member_suspect, partition, alone)
{
    // Operators see one process cut off, not all the others dead, when its cable is pulled for a while.
    // Order: it hears from nobody, and holds its verdicts until it does.
    // Cause: who hears nobody is itself what is wrong.
    membership_fixture world(9, 11);
    world.run(15s);
    world.partition[5] = 1;
    world.deaths = 0;
    world.run(8s);
    cr_assert(world.members[5]->isolated(world.now));
    world.run(60s);
    for (std::size_t other = 0; other < 9; ++other) {
        cr_assert(other == 5 || world.observed_state(5, other) != member_state::dead);
    }
    world.partition[5] = 0;
    world.run(20s);
    cr_assert(world.all_observe_all_alive());
}

FAULT_CELL_MORE(member_suspect, partition, regions)
{
    // Operators see no deaths when two regions lose each other for an hour.
    // Order: probes between the regions fail; each region goes on judging its own.
    // Cause: a broken line between regions says nothing about the processes behind it.
    membership_fixture world(10, 12, {}, 5);
    world.run(20s);
    cr_assert(world.all_observe_all_alive());
    for (std::size_t at = 5; at < 10; ++at) {
        world.partition[at] = 1;
    }
    world.deaths = 0;
    world.run(120s);
    cr_assert(world.deaths == 0);
    world.down[7] = true;
    world.run(20s);
    cr_assert(world.observed_state(8, 7) == member_state::dead &&
              world.observed_state(0, 7) == member_state::alive);
    world.partition.assign(10, 0);
    world.run(60s);
    cr_assert(world.all_observe(7, member_state::dead), "the bridges bring what the other region knows");
}

FAULT_CELL(member_suspect, message_late)
{
    // Nobody sees a process die twice: a suspicion that was denied arrives again, late.
    // Order: suspicion, denial, and the same suspicion five seconds later by another way.
    // Cause: gossip has no order; the number of the denial decides.
    membership_fixture world(6, 13, {.late = 0.2});
    world.run(30s);
    world.deaths = 0;
    world.run(120s);
    cr_assert(world.deaths == 0);
    cr_assert(world.all_observe_all_alive());
}

FAULT_CELL(member_rejoin, process_dies)
{
    // Operators see a replaced process back within seconds.
    // Order: it dies, is declared dead, starts with a later number and joins by a seed.
    // Cause: 390 restarts a day.
    membership_fixture world(8, 14);
    world.run(15s);
    world.down[4] = true;
    world.run(20s);
    world.start(4, 2'000);
    world.run(10s);
    cr_assert(world.all_observe_all_alive());
    cr_assert(world.members[4]->table().live_count() == 7);
}

FAULT_CELL(member_rejoin, clock_jump)
{
    // Operators see a restarted process taken up although its host's clock went back.
    // Order: it starts with a lower number than before, hears of its own past and takes a higher one.
    // Cause: the start number is civil time, which jumps.
    membership_fixture world(6, 15);
    world.run(15s);
    world.start(3, 500);
    world.run(15s);
    cr_assert(world.all_observe_all_alive());
    cr_assert(world.members[3]->self().number.start == incarnation(1'001));
    cr_assert(world.superseded_count[3] == 0);
}

FAULT_CELL(member_rejoin, paused_wakes_late)
{
    // Operators see the old process stop when it wakes beside its successor; the successor is not disturbed.
    // Order: a process is paused, a successor starts under its name, the old one wakes and speaks.
    // Cause: the platform replaced a host that was only paused.
    membership_fixture world(6, 16);
    world.run(40s);
    auto old_process = *world.members[3];
    world.start(3, 2'000);
    world.run(15s);
    const auto sent_after_wake = old_process.tick(world.now);
    bool was_superseded = false;
    for (const auto& output : sent_after_wake) {
        const auto* sent = std::get_if<send_datagram>(&output);
        if (sent == nullptr) {
            continue;
        }
        auto& other = *world.members[std::stoul(sent->address)];
        for (const auto& reply : other.receive(world.now, sent->message, "3")) {
            const auto* back = std::get_if<send_datagram>(&reply);
            for (const auto& heard : old_process.receive(world.now, back->message, sent->address)) {
                was_superseded = was_superseded || std::holds_alternative<superseded>(heard);
            }
        }
    }
    cr_assert(was_superseded);
    world.run(10s);
    cr_assert(world.all_observe_all_alive());
    cr_assert(world.superseded_count[3] == 0);
}

FAULT_CELL(process_stop, message_reordered)
{
    // Callers see no request cut off: a process that stops gets no new work, whatever arrives late.
    // Order: "leaving" spreads; an older "alive" and a suspicion of the same start arrive after it.
    // Cause: gossip has no order; what a process says of its own end is final for this start.
    membership_fixture world(6, 17, {.late = 0.3});
    world.run(30s);
    world.apply_outputs(2, world.members[2]->leave());
    world.run(5s);
    cr_assert(world.all_observe(2, member_state::leaving));
    world.run(30s, [&] { cr_assert(world.all_observe(2, member_state::leaving)); });
}

FAULT_CELL(process_stop, message_lost)
{
    // Callers see no request cut off although the first words of the stop are lost.
    // Order: half of all datagrams are lost; every later one repeats that the process is leaving.
    // Cause: a word said once may not arrive.
    membership_fixture world(6, 18, {.drop = 0.5});
    world.run(60s);
    world.apply_outputs(2, world.members[2]->leave());
    world.run(10s);
    for (std::size_t at = 0; at < 6; ++at) {
        cr_assert(at == 2 || world.observed_state(at, 2) == member_state::leaving);
    }
}

FAULT_CELL_MORE(bundle_spread, config_stale, peer_has_newer)
{
    // A sidecar goes on acting by a bundle that is no longer in force. Peers with the same bundle confirm it,
    // from the moment they were asked; as soon as those that answer have a newer one nothing confirms it.
    membership_fixture world(2, 5);
    const auto word = [](std::uint64_t version) { return bundle_notice{bundle_version(version), {}}; };
    world.members[0]->set_word(word(3));
    world.run(10s);
    cr_assert(!world.members[0]->bundle_confirmed(), "a peer without a bundle confirms none");
    world.members[1]->set_word(word(3));
    world.run(10s);
    const auto confirmed = world.members[0]->bundle_confirmed();
    cr_assert(confirmed && *confirmed > world.now - 3s && *confirmed <= world.now);
    world.members[1]->set_word(word(4));
    world.run(1s); // for what is on its way
    const auto last = world.members[0]->bundle_confirmed();
    world.run(10s);
    cr_assert(world.members[0]->bundle_confirmed() == last);
}
