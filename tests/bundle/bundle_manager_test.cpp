#include "bundle_simulation.h"
#include "dragonflymill/bundle/bundle_manager.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

auto standalone_settings() -> bundle_manager_settings
{
    bundle_manager_settings settings;
    settings.trusted = test_partners();
    settings.boot.stands_alone = true;
    return settings;
}

template <typename Output>
auto find_output(const bundle_manager_outputs& outputs) -> const Output*
{
    for (const auto& output : outputs) {
        if (const auto* found = std::get_if<Output>(&output)) {
            return found;
        }
    }
    return nullptr;
}

// Gives a keeper a whole bundle from the service.
auto deliver_bundle(bundle_manager& manager, instant now, const bundle& value) -> bundle_manager_outputs
{
    auto outputs = manager.manifest_arrived(now, {}, encode_signed_manifest(test_signed(value)));
    for (const auto& text : section_texts(value)) {
        for (auto& output : manager.section_arrived(now, text)) {
            outputs.push_back(std::move(output));
        }
    }
    return outputs;
}

auto has_alarm(const std::vector<bundle_alarm>& alarms, bundle_alarm::kind_type kind) -> bool
{
    for (const auto& alarm : alarms) {
        if (alarm.kind == kind) {
            return true;
        }
    }
    return false;
}

auto peer_index(const process_id& peer) -> std::size_t
{
    return static_cast<std::size_t>(peer.text().at(1) - '0');
}

} // namespace

Test(bundle_manager, fetches_only_changed_sections)
{
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(7))) != nullptr);
    const auto next = test_bundle(8, 99);
    const auto outputs = manager.manifest_arrived(instant{}, {}, encode_signed_manifest(test_signed(next)));
    const auto* fetch = find_output<fetch_sections>(outputs);
    cr_assert(fetch != nullptr && fetch->digests.size() == 2, "the head and the account's section");
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, next)) != nullptr);
    cr_assert(manager.in_force()->accounts.front().max_in_flight == 99);
}

Test(bundle_manager, rejects_bundles_below_min_version)
{
    auto settings = standalone_settings();
    settings.min_version = bundle_version(8);
    bundle_manager manager(settings, instant{});
    cr_assert(find_output<reject_bundle>(deliver_bundle(manager, instant{}, test_bundle(7))) != nullptr);
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(8))) != nullptr);
}

Test(bundle_manager, accepts_the_signed_bundle_after_a_half_signed_copy)
{
    bundle_manager manager(standalone_settings(), instant{});
    auto half = test_signed(test_bundle(7));
    half.signatures.pop_back();
    const auto outputs = manager.manifest_arrived(instant{}, {}, encode_signed_manifest(half));
    cr_assert(find_output<reject_bundle>(outputs)->why.kind() == error_kind::unauthorized);
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(7))) != nullptr);
}

Test(bundle_manager, same_inputs_produce_the_same_bundles)
{
    const auto words = [] {
        bundle_simulation world(5, {.drop = 0.2, .duplicate = 0.2, .late = 0.1});
        std::string log;
        world.publish(test_bundle(7));
        world.run(15s,
                  [&] { log += std::to_string(world.version(0)) + std::to_string(world.bag.dropped()); });
        return log;
    };
    cr_assert(words() == words());
}

FAULT_CELL(bundle_read, config_down)
{
    // Operators see a new process serve although the configuration service is down.
    // Order: the fleet has version 7, the service goes down, a process is replaced and asks its peers.
    // Cause: what is signed needs no trusted source; any peer will do.
    bundle_simulation world(1);
    world.publish(test_bundle(7));
    world.run(15s);
    cr_assert(world.all_have(7));
    world.service_up = false;
    world.start(2);
    world.run(4s);
    cr_assert(world.version(2) == 7);
}

FAULT_CELL(bundle_read, config_stale)
{
    // Without the guard a failure domain that was taken out would get work again after a rack restart.
    // Order: the fleet has version 9, the service still shows 7, a whole failure domain restarts and reads
    // it. Cause: the service is stale for long and a process remembers nothing.
    bundle_simulation world(2);
    world.publish(test_bundle(9));
    world.run(15s);
    world.publish(test_bundle(7));
    world.start(0);
    world.start(3);
    world.run(20s, [&] { cr_assert(world.version(0) == 0 || world.version(0) == 9); });
    cr_assert(world.all_have(9));
    cr_assert(has_alarm(world.alarms, bundle_alarm::kind_type::service_stale));
}

FAULT_CELL(bundle_read, partition)
{
    // Callers see "not ready" from a process that is cut off, and no answer by rules that are out of date.
    // Order: a failure domain is cut off and restarts; its processes reach only each other and the service.
    // Cause: "nobody has a bundle" from one failure domain alone can't be told from a first start.
    bundle_simulation world(3);
    world.publish(test_bundle(9));
    world.run(15s);
    world.publish(test_bundle(7));
    world.partition = {1, 0, 0, 1};
    world.start(0);
    world.start(3);
    world.run(60s, [&] { cr_assert(world.version(0) == 0 && world.version(3) == 0); });
    world.partition = {};
    world.run(5s);
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_read, process_dies)
{
    // Nobody sees anything: the peer that a starting process fetches from dies, and another one serves.
    // Order: the process hears of version 7 from two peers, asks the first, which dies before it answers.
    // Cause: ten hosts fail on an ordinary day, some in the middle of a fetch.
    bundle_manager_settings settings;
    settings.trusted = test_partners();
    bundle_manager manager(settings, instant{});
    const auto notice = word_of(manifest_of(test_bundle(7)));
    auto outputs = manager.peer_said(instant{}, process_id("p1"), failure_domain_id("a"), notice);
    cr_assert(find_output<fetch_manifest>(outputs)->peer == process_id("p1"));
    outputs = manager.peer_said(instant{}, process_id("p2"), failure_domain_id("b"), notice);
    outputs = manager.peer_lost(instant{}, process_id("p1"));
    cr_assert(find_output<fetch_manifest>(outputs)->peer == process_id("p2"));
    outputs = manager.manifest_arrived(instant{}, {bundle_origin_kind::peer, process_id("p2")},
                                       encode_signed_manifest(test_signed(test_bundle(7))));
    for (const auto& text : section_texts(test_bundle(7))) {
        outputs = manager.section_arrived(instant{} + 4s, text);
    }
    cr_assert(find_output<adopt_bundle>(outputs) != nullptr);
}

FAULT_CELL(bundle_read, two_faults)
{
    // Operators see the whole fleet restart at once and come up by itself with what the service has.
    // Order: all processes die together, none remembers anything, each asks the others and hears "none".
    // Cause: a power cut. Only then, and after a wait, is the service's word enough; `min_version` is the
    // floor.
    bundle_simulation world(4);
    world.publish(test_bundle(7));
    world.run(15s);
    for (std::size_t at = 0; at < bundle_simulation::size; ++at) {
        world.start(at);
    }
    world.run(9s, [&] { cr_assert(world.all_have(0)); });
    world.run(6s);
    cr_assert(world.all_have(7));
}

FAULT_CELL(bundle_verify, config_stale)
{
    // Operators see the reason at every process, while the old bundle goes on serving.
    // Order: version 8 is signed and published, but one of its sections breaks the cross checks.
    // Cause: it was signed by a tool that did not check it.
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(7))) != nullptr);
    auto bad = test_bundle(8);
    bad.service_routes.front().upstreams.emplace_back("nobody");
    const auto outputs = deliver_bundle(manager, instant{}, bad);
    cr_assert(find_output<adopt_bundle>(outputs) == nullptr);
    cr_assert(manager.rejections().back().why.message().find("nobody") != std::string::npos);
    cr_assert(manager.word()->version == bundle_version(7));
}

FAULT_CELL(bundle_verify, same_twice)
{
    // Operators see an alarm, and every process serves the same one of the two bundles.
    // Order: two operators sign different bundles of version 8; each reaches one half of the fleet.
    // Cause: nobody counts versions but the operators. The lower digest is kept, whoever comes first.
    bundle_simulation world(6);
    world.publish(test_bundle(7));
    world.run(15s);
    world.partition = {0, 0, 1, 1};
    world.publish(test_bundle(8, 1));
    world.partition = {0, 0, 1, 1};
    world.paused = {false, false, true, true};
    world.run(3s);
    world.publish(test_bundle(8, 2));
    world.paused = {true, true, false, false};
    world.run(3s);
    world.partition = {};
    world.paused = {};
    world.service_up = false;
    world.run(5s);
    const auto lower = std::min(word_of(manifest_of(test_bundle(8, 1))).digest,
                                word_of(manifest_of(test_bundle(8, 2))).digest);
    for (const auto& manager : world.managers) {
        cr_assert(manager->word()->digest == lower);
    }
    cr_assert(has_alarm(world.alarms, bundle_alarm::kind_type::two_of_one_version));
}

FAULT_CELL(bundle_spread, message_lost)
{
    // Operators see a change in force everywhere within seconds on a network that loses a third.
    // Order: words, manifests and sections are lost; each is asked for again, from another holder.
    // Cause: datagrams are lost; fetches have a timeout and go elsewhere.
    bundle_simulation world(7, {.drop = 0.33});
    world.publish(test_bundle(7));
    world.run(20s);
    world.publish(test_bundle(8));
    world.run(11s);
    cr_assert(world.all_have(8));
}

FAULT_CELL(bundle_spread, config_down)
{
    // Operators push a bundle to one process while the service is down; the others have it a moment later.
    // Order: the push reaches process 0, whose peers hear of it, fetch what changed and adopt it.
    // Cause: the service is down for long; nothing but a signature is needed to trust a bundle.
    bundle_simulation world(8);
    world.publish(test_bundle(7));
    world.run(15s);
    world.service_up = false;
    const auto next = test_bundle(8, 99);
    auto outputs = world.managers[0]->manifest_arrived(world.now, {bundle_origin_kind::operator_push, {}},
                                                       encode_signed_manifest(test_signed(next)));
    for (const auto& text : section_texts(next)) {
        outputs = world.managers[0]->section_arrived(world.now, text);
    }
    const auto sent = world.sections_sent;
    world.run(4s);
    cr_assert(world.all_have(8));
    cr_assert(world.sections_sent - sent <= 2 * 3, "only changed sections travel");
}

FAULT_CELL(bundle_spread, paused_wakes_late)
{
    // Without the guard a process that slept would take its peers back to the bundle it still has.
    // Order: one process is paused while the fleet goes from 7 to 9, then wakes and offers 7.
    // Cause: hosts pause processes; what they say when they wake was true before.
    bundle_simulation world(9);
    world.publish(test_bundle(7));
    world.run(15s);
    world.paused[1] = true;
    world.publish(test_bundle(9));
    world.run(10s);
    world.service_up = false;
    world.paused[1] = false;
    world.run(5s, [&] { cr_assert(world.version(0) == 9 && world.version(2) == 9); });
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_spread, message_reordered)
{
    // Nobody sees anything: words, manifests and sections of two versions overtake each other, twice each.
    // Order: version 8 and 9 are published at the same time, messages take up to five seconds.
    // Cause: the network reorders; a text is known by its digest and a version never falls.
    bundle_simulation world(10, {.duplicate = 0.5, .late = 0.3});
    world.publish(test_bundle(7));
    world.run(20s);
    world.publish(test_bundle(8));
    world.run(500ms);
    world.publish(test_bundle(9));
    std::uint64_t highest = 7;
    world.run(11s, [&] {
        cr_assert(world.version(3) >= highest);
        highest = world.version(3);
    });
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_adopt, config_stale)
{
    // Without the guard an account's old key would work again.
    // Order: version 8 is in force, then the service shows 7 again, as its replica lags.
    // Cause: the configuration service is stale; a version below the one in force is never adopted.
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(8))) != nullptr);
    const auto outputs = deliver_bundle(manager, instant{}, test_bundle(7));
    cr_assert(find_output<adopt_bundle>(outputs) == nullptr);
    cr_assert(find_output<bundle_alarm>(outputs)->kind == bundle_alarm::kind_type::service_stale);
    cr_assert(manager.word()->version == bundle_version(8));
}

FAULT_CELL(bundle_adopt, message_doubled)
{
    // Nobody sees anything: a bundle that arrives again, whole, changes nothing.
    // Order: manifest and sections of the bundle in force come a second time.
    // Cause: the operator pushes twice, or the network doubles an answer.
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(8))) != nullptr);
    cr_assert(deliver_bundle(manager, instant{}, test_bundle(8)).empty());
}

FAULT_CELL_MORE(bundle_adopt, process_dies, lagging_peers)
{
    // Operators see a replaced process with the bundle that was in force, though peers that lag answer first.
    // Order: it asks three peers; two of different failure domains still have 7, the third has 8 and answers
    // last. Cause: 8 is spreading just now; all that were asked are waited for, as long as patience lasts.
    bundle_manager_settings settings;
    settings.trusted = test_partners();
    bundle_manager manager(settings, instant{});
    const auto old_notice = word_of(manifest_of(test_bundle(7)));
    const auto new_notice = word_of(manifest_of(test_bundle(8)));
    for (const auto* peer : {"p1", "p2", "p3"}) {
        manager.peer_asked(process_id(peer));
    }
    auto outputs = manager.peer_said(instant{}, process_id("p1"), failure_domain_id("a"), old_notice);
    outputs = manager.peer_said(instant{}, process_id("p2"), failure_domain_id("b"), old_notice);
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(7))) == nullptr);
    outputs = manager.peer_said(instant{} + 1s, process_id("p3"), failure_domain_id("c"), new_notice);
    cr_assert(find_output<fetch_manifest>(outputs)->word == new_notice);
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{} + 1s, test_bundle(8))) != nullptr);
}

FAULT_CELL(bundle_adopt, clock_jump)
{
    // Callers are refused while the host's clock is wrong, and served again once it is right.
    // Order: civil time jumps past the term's end at a serving process and at one that just starts.
    // Cause: the clock of a host is set wrong; only the end of the term depends on it.
    const wall_instant right(duration(1h));
    const wall_instant wrong(24h * 365 * 200);
    bundle_manager manager(standalone_settings(), instant{});
    auto outputs = manager.tick(instant{}, right);
    outputs = deliver_bundle(manager, instant{}, test_bundle(7));
    outputs = manager.tick(instant{} + 1s, wrong);
    cr_assert(find_output<bundle_alarm>(outputs)->kind == bundle_alarm::kind_type::term_ended);
    cr_assert(!manager.ready());
    outputs = manager.tick(instant{} + 2s, right);
    cr_assert(manager.ready());

    bundle_manager late(standalone_settings(), instant{});
    outputs = late.tick(instant{}, wrong);
    outputs = deliver_bundle(late, instant{}, test_bundle(7));
    cr_assert(find_output<adopt_bundle>(outputs) == nullptr);
    outputs = late.tick(instant{} + 1s, right);
    cr_assert(find_output<adopt_bundle>(outputs) != nullptr);
}

Test(bundle_manager, does_not_refetch_a_forged_bundle_from_the_same_peer)
{
    bundle_simulation world(11);
    world.publish(test_bundle(7));
    world.run(15s);
    auto forged = test_signed(test_bundle(99));
    forged.signatures.front().signature = forged.signatures.back().signature;
    auto& manager = *world.managers[0];
    const auto notice = word_of(forged.manifest);
    auto outputs = manager.peer_said(world.now, process_id("p1"), failure_domain_id("d1"), notice);
    cr_assert(peer_index(find_output<fetch_manifest>(outputs)->peer) == 1);
    outputs = manager.manifest_arrived(world.now, {bundle_origin_kind::peer, process_id("p1")},
                                       encode_signed_manifest(forged));
    cr_assert(find_output<reject_bundle>(outputs) != nullptr);
    cr_assert(manager.peer_said(world.now, process_id("p1"), failure_domain_id("d1"), notice).empty());
}

FAULT_CELL(bundle_adopt, message_reordered)
{
    // Without the guard an account's old limit would come back. Order: the manifest of 9 overtakes that of 8,
    // whose sections are still under way; 9 is adopted, then the rest of 8 arrives. Cause: the network
    // reorders.
    bundle_manager manager(standalone_settings(), instant{});
    const auto older = test_bundle(8, 1);
    static_cast<void>(manager.manifest_arrived(instant{}, {}, encode_signed_manifest(test_signed(older))));
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{} + 1ms, test_bundle(9, 2))) !=
              nullptr);
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{} + 2ms, older)) == nullptr);
    cr_assert(manager.word()->version == bundle_version(9));
    cr_assert(manager.in_force()->accounts.front().max_in_flight == 2);
}

FAULT_CELL(bundle_adopt, paused_wakes_late)
{
    // Without the guard a process that slept would adopt what it had half fetched, long after the fleet went
    // on. Order: it has the manifest of 8 and sleeps for an hour; it wakes, hears of 9, and then the sections
    // of 8 come.
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(7))) != nullptr);
    const auto unfinished = test_bundle(8, 1);
    static_cast<void>(
        manager.manifest_arrived(instant{}, {}, encode_signed_manifest(test_signed(unfinished))));
    const auto resumed_at = instant{} + 1h;
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, resumed_at, test_bundle(9, 2))) != nullptr);
    for (const auto& text : section_texts(unfinished)) {
        cr_assert(find_output<adopt_bundle>(manager.section_arrived(resumed_at, text)) == nullptr);
    }
    cr_assert(manager.word()->version == bundle_version(9));
}

FAULT_CELL(bundle_adopt, two_faults)
{
    // Without the guard a failure domain that is out would get work. Order: the service goes stale, and a
    // process that has 9 dies; it starts anew beside peers of which one lags at 7. Cause: the new one
    // remembers nothing.
    bundle_simulation world(21);
    world.publish(test_bundle(7));
    world.run(15s);
    world.paused[1] = true;
    world.publish(test_bundle(9));
    world.run(10s);
    world.publish(test_bundle(7));
    world.paused[1] = false;
    world.start(2);
    world.run(20s, [&] { cr_assert(world.version(2) == 0 || world.version(2) == 9); });
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_adopt, same_twice)
{
    // Without the guard the second slip goes through. Order: the service shows 7 after 8, comes right with 9,
    // and shows 8 again. Cause: a stale replica is read more than once; each bundle in force is a floor for
    // the next.
    bundle_manager manager(standalone_settings(), instant{});
    std::uint64_t in_force = 0;
    for (const std::uint64_t version : {8U, 7U, 9U, 8U, 9U, 10U}) {
        const bool adopted =
            find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(version))) != nullptr;
        cr_assert(adopted == (version > in_force));
        in_force = std::max(in_force, version);
        cr_assert(manager.word()->version == bundle_version(in_force));
    }
}

FAULT_CELL(bundle_read, message_lost)
{
    // A replaced process serves all the same on a network that loses half of what its peers answer: it asks
    // again, and another. Order: the fleet has 9, the service is down, a process starts anew.
    bundle_simulation world(22);
    world.publish(test_bundle(9));
    world.run(15s);
    world.service_up = false;
    world.bag.change({.drop = 0.5});
    world.start(1);
    world.run(30s, [&] { cr_assert(world.version(1) == 0 || world.version(1) == 9); });
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_read, message_late)
{
    // A starting process reads 7 from a stale service at once, and most of its peers' words, of 9, come up to
    // five seconds later. It must end with 9 and never go back on the way.
    // Order: the fleet has 9, the service shows 7, answers are late, a process starts anew.
    bundle_simulation world(23);
    world.publish(test_bundle(9));
    world.run(15s);
    world.publish(test_bundle(7));
    world.bag.change({.late = 0.7});
    world.start(3);
    std::uint64_t highest = 0;
    world.run(30s, [&] {
        cr_assert(world.version(3) >= highest);
        highest = world.version(3);
    });
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_read, message_doubled)
{
    // Every answer to a starting process comes twice while the service is stale. It must wait for its peers
    // all the same, and never serve by the service's 7. Order: the fleet has 9, the service shows 7, answers
    // come twice, a process starts anew.
    bundle_simulation world(24);
    world.publish(test_bundle(9));
    world.run(15s);
    world.publish(test_bundle(7));
    world.bag.change({.duplicate = 1.0});
    world.start(0);
    world.run(20s, [&] { cr_assert(world.version(0) == 0 || world.version(0) == 9); });
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_read, paused_wakes_late)
{
    // A process is paused in the middle of its start and wakes when the fleet has gone from 8 to 9. What it
    // was told before it slept must not be put in force for good. Order: start, pause, new bundle, wake.
    bundle_simulation world(25);
    world.publish(test_bundle(8));
    world.run(15s);
    world.start(2);
    world.run(100ms);
    world.paused[2] = true;
    world.publish(test_bundle(9));
    world.run(60s);
    world.service_up = false;
    world.paused[2] = false;
    world.run(11s);
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_read, same_twice)
{
    // The whole fleet but one process restarts, and a minute later again, with a stale service. The one that
    // stayed carries the bundle through both; nobody ever serves by the older one.
    bundle_simulation world(26);
    world.publish(test_bundle(9));
    world.run(15s);
    world.publish(test_bundle(7));
    for (int round = 0; round < 2; ++round) {
        for (const std::size_t at : {0U, 1U, 2U}) {
            world.start(at);
        }
        world.run(60s, [&] {
            for (std::size_t at = 0; at < bundle_simulation::size; ++at) {
                cr_assert(world.version(at) == 0 || world.version(at) == 9);
            }
        });
    }
    cr_assert(world.all_have(9));
}

FAULT_CELL(bundle_spread, config_stale)
{
    // Operators push 9 while the service shows 7 and goes on showing it. Every process goes by 9, and says
    // that the service is stale. Order: push to one process, spread by its peers, the service read again and
    // again.
    bundle_simulation world(27);
    world.publish(test_bundle(7));
    world.run(15s);
    static_cast<void>(
        world.managers[3]->manifest_arrived(world.now, {bundle_origin_kind::operator_push, {}},
                                            encode_signed_manifest(test_signed(test_bundle(9)))));
    for (const auto& text : section_texts(test_bundle(9))) {
        static_cast<void>(world.managers[3]->section_arrived(world.now, text));
    }
    world.run(11s);
    cr_assert(world.all_have(9));
    world.run(10s, [&] { cr_assert(world.all_have(9)); });
    cr_assert(has_alarm(world.alarms, bundle_alarm::kind_type::service_stale));
}

FAULT_CELL(bundle_spread, message_late)
{
    // A change is in force everywhere within eleven seconds although every second message takes up to five.
    bundle_simulation world(28, {.late = 0.5});
    world.publish(test_bundle(7));
    world.run(30s);
    world.publish(test_bundle(8));
    world.run(11s);
    cr_assert(world.all_have(8));
}

FAULT_CELL(bundle_spread, message_doubled)
{
    // Every message of a change comes twice. It is fetched and adopted once: what a process has, it doesn't
    // ask for again, or 320 changes a day would be read twice by all.
    bundle_simulation once(29);
    bundle_simulation twice(29, {.duplicate = 1.0});
    for (auto* world : {&once, &twice}) {
        world->publish(test_bundle(7));
        world->run(15s);
        world->publish(test_bundle(8));
        world->run(11s);
        cr_assert(world->all_have(8));
    }
    cr_assert(twice.sections_sent <= 3 * once.sections_sent, "%zu, %zu", std::size_t(twice.sections_sent),
              std::size_t(once.sections_sent));
}
