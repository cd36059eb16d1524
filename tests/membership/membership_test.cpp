#include "dragonflymill/membership/membership.h"
#include "membership_fixture.h"
#include "support/fault_cell.h"

#include <set>

using namespace dragonflymill;
using namespace dragonflymill::test;

Test(membership, all_members_discover_each_other)
{
    membership_fixture world(12, 1);
    world.run(15s);
    cr_assert(world.all_observe_all_alive());
    const auto digest = world.members[0]->table().digest();
    cr_assert(digest != world.members[1]->table().digest(), "a table must not contain its own process");
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

Test(membership, update_order_is_antisymmetric)
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

Test(membership, table_is_bounded_and_expires_dead_and_leaving_members)
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
    cr_assert(!table.merge(instant{}, update(10, member_state::alive)),
              "a table full of live members must reject a new one");
    cr_assert(table.merge(instant{}, update(3, member_state::dead)));
    cr_assert(table.merge(instant{}, update(10, member_state::alive)),
              "a new member must replace the dead one");
    cr_assert(!table.merge(instant{}, update(3, member_state::dead)),
              "an unknown dead member must be ignored");
    cr_assert(table.merge(instant{}, update(4, member_state::leaving)));
    table.forget(instant{} + 1h);
    cr_assert(table.records().size() == 9 && table.live_count() == 9);
}

Test(membership, datagram_rate_per_member_is_independent_of_fleet_size)
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

Test(membership, asks_peers_of_different_failure_domains_first)
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
    // Guards against false deaths on a network that loses one datagram in ten: indirect probes and refutation
    // must make up for lost pings and acknowledgements.
    membership_fixture world(10, 5, {.drop = 0.1});
    world.run(20s);
    world.run(300s);
    cr_assert(world.all_observe_all_alive());
    cr_assert(world.deaths == 0, "%lu", static_cast<unsigned long>(world.deaths));
}

FAULT_CELL(member_probe, process_dies)
{
    // Guards against slow failure detection: a process whose host died must be declared dead within seconds,
    // after a direct and an indirect probe failed and nobody refuted the suspicion. Ten hosts fail on an
    // ordinary day.
    membership_fixture world(10, 6);
    world.run(15s);
    world.down[4] = true;
    world.run(16s);
    cr_assert(world.all_observe(4, member_state::dead));
}

FAULT_CELL(member_probe, partition_one_way)
{
    // Guards against a false death when only the link between processes 1 and 2 is broken: the indirect probe
    // through other members must succeed.
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
    // Guards against replayed datagrams, duplicated by the network or recorded by an attacker: the second
    // arrival must be dropped and counted.
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
    // Guards against mass deaths when a paused host resumes: after a minute all its own probes are overdue,
    // and it has been declared dead. It must refute its death and declare nobody dead.
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
    // Guards against a partition that never heals: a failure domain is cut off, each side declares the other
    // dead. Dead members must still be probed at a low rate, so that both sides refute once the network is
    // back.
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
    // Guards against a process without a network connection that declares all others dead: while it receives
    // nothing it must consider itself isolated and make no decisions.
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
    // Guards against deaths across regions when the link between them fails, which says nothing about the
    // processes behind it: each region must decide about its own members only.
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
    cr_assert(world.all_observe(7, member_state::dead),
              "the bridges must propagate the other region's updates");
}

FAULT_CELL(member_suspect, message_late)
{
    // Guards against a refuted suspicion that arrives again, late, by another path: gossip isn't ordered, so
    // the refutation number must decide.
    membership_fixture world(6, 13, {.late = 0.2});
    world.run(30s);
    world.deaths = 0;
    world.run(120s);
    cr_assert(world.deaths == 0);
    cr_assert(world.all_observe_all_alive());
}

FAULT_CELL(member_rejoin, process_dies)
{
    // Guards against slow rejoining: a process that was declared dead restarts with a later incarnation and
    // joins through a seed; all must see it alive within seconds. There are 390 restarts a day.
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
    // Guards against ignoring a restarted process whose host's clock went back: the incarnation is wall-clock
    // time, so it starts with a lower number than before. It must learn this from gossip and take a higher
    // number.
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
    // Guards against two processes under one id after the platform replaced a host that was only paused: the
    // old process must be superseded when it resumes, and the successor must not be affected.
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
    // Guards against new work for a stopping process: an older "alive" and a suspicion of the same
    // incarnation that arrive late must not override "leaving".
    membership_fixture world(6, 17, {.late = 0.3});
    world.run(30s);
    world.apply_outputs(2, world.members[2]->leave());
    world.run(5s);
    cr_assert(world.all_observe(2, member_state::leaving));
    world.run(30s, [&] { cr_assert(world.all_observe(2, member_state::leaving)); });
}

FAULT_CELL(process_stop, message_lost)
{
    // Guards against new work for a stopping process whose first announcements are lost: with half of all
    // datagrams lost, every later datagram must repeat that it is leaving.
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
    // Guards against using a bundle that is no longer in force: peers with the same bundle confirm it, as of
    // the time of the probe; once the responding peers have a newer one, nothing may confirm it.
    membership_fixture world(2, 5);
    const auto word = [](std::uint64_t version) { return bundle_notice{bundle_version(version), {}}; };
    world.members[0]->set_word(word(3));
    world.run(10s);
    cr_assert(!world.members[0]->bundle_confirmed(), "a peer without a bundle must not confirm one");
    world.members[1]->set_word(word(3));
    world.run(10s);
    const auto confirmed = world.members[0]->bundle_confirmed();
    cr_assert(confirmed && *confirmed > world.now - 3s && *confirmed <= world.now);
    world.members[1]->set_word(word(4));
    world.run(1s); // lets datagrams in flight arrive
    const auto last = world.members[0]->bundle_confirmed();
    world.run(10s);
    cr_assert(world.members[0]->bundle_confirmed() == last);
}
