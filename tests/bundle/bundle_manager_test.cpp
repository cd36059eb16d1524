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

// Delivers a complete bundle from the configuration service.
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
    // A process restarts while the configuration service is down. It must get the bundle from any peer, since
    // the signatures make a trusted source unnecessary.
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
    // A failure domain restarts while the configuration service has long been stale: the fleet has version 9,
    // the service still returns 7. Processes keep no state, so without the guard they would adopt 7 and send
    // work to a drained failure domain.
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
    // A failure domain is partitioned and restarts, so its processes reach only each other and a stale
    // service. They must stay not ready: replies of "no bundle" from one failure domain look the same as at a
    // first start.
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
    // The peer that a starting process fetches from dies before it replies. The fetch must continue at the
    // other peer that reported the same bundle. About ten hosts fail per day, some in the middle of a fetch.
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
    // The whole fleet restarts at once after a power cut, so every peer reports no bundle. Only then, and
    // after `first_start_patience`, may the service's bundle be adopted; `min_version` remains the lower
    // limit.
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
    // A signed and published version 8 violates a consistency rule because the signing tool did not check it.
    // It must be rejected with the reason, and version 7 stays in force.
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
    // Two operators sign different bundles of version 8, and each reaches one half of the fleet; only
    // operators assign versions. All processes must keep the bundle with the lower digest, whichever arrives
    // first, and raise an alarm.
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
    const auto lower_digest = std::min(word_of(manifest_of(test_bundle(8, 1))).digest,
                                       word_of(manifest_of(test_bundle(8, 2))).digest);
    for (const auto& manager : world.managers) {
        cr_assert(manager->word()->digest == lower_digest);
    }
    cr_assert(has_alarm(world.alarms, bundle_alarm::kind_type::two_of_one_version));
}

FAULT_CELL(bundle_spread, message_lost)
{
    // A third of all notices, manifests and sections is lost. Fetches must time out and be retried at another
    // peer, so that a change still reaches every process within 11 seconds.
    bundle_simulation world(7, {.drop = 0.33});
    world.publish(test_bundle(7));
    world.run(20s);
    world.publish(test_bundle(8));
    world.run(11s);
    cr_assert(world.all_have(8));
}

FAULT_CELL(bundle_spread, config_down)
{
    // An operator pushes a bundle to one process while the service is down. The peers must learn of it, fetch
    // only the changed sections and adopt it; the signatures suffice to trust it.
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
    cr_assert(world.sections_sent - sent <= 2 * 3, "only changed sections are fetched");
}

FAULT_CELL(bundle_spread, paused_wakes_late)
{
    // A process is paused while the fleet goes from version 7 to 9, then resumes and offers the outdated 7.
    // Without the guard its peers would revert to 7.
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
    // Versions 8 and 9 are published at the same time, and messages are duplicated and delayed by up to five
    // seconds. Texts are identified by their digest, so mixed-up messages must never lower the version.
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
    // With version 8 in force, a lagging replica of the service returns 7 again. Adopting it would make an
    // account's old key valid again; a version below the one in force must never be adopted.
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(8))) != nullptr);
    const auto outputs = deliver_bundle(manager, instant{}, test_bundle(7));
    cr_assert(find_output<adopt_bundle>(outputs) == nullptr);
    cr_assert(find_output<bundle_alarm>(outputs)->kind == bundle_alarm::kind_type::service_stale);
    cr_assert(manager.word()->version == bundle_version(8));
}

FAULT_CELL(bundle_adopt, message_doubled)
{
    // The manifest and sections of the bundle in force arrive a second time, from a repeated push or a
    // duplicated reply. They must have no effect.
    bundle_manager manager(standalone_settings(), instant{});
    cr_assert(find_output<adopt_bundle>(deliver_bundle(manager, instant{}, test_bundle(8))) != nullptr);
    cr_assert(deliver_bundle(manager, instant{}, test_bundle(8)).empty());
}

FAULT_CELL_MORE(bundle_adopt, process_dies, lagging_peers)
{
    // A restarted process queries three peers while version 8 is being replicated. Two peers in different
    // failure domains reply first with 7, the third replies last with 8. The process must wait for all
    // queried peers and adopt 8.
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
    // A host's wall clock jumps past the end of the term, once at a serving and once at a starting process.
    // Both must be not ready while the clock is wrong and recover once it is corrected.
    const wall_instant correct_time(duration(1h));
    const wall_instant wrong_time(24h * 365 * 200);
    bundle_manager manager(standalone_settings(), instant{});
    auto outputs = manager.tick(instant{}, correct_time);
    outputs = deliver_bundle(manager, instant{}, test_bundle(7));
    outputs = manager.tick(instant{} + 1s, wrong_time);
    cr_assert(find_output<bundle_alarm>(outputs)->kind == bundle_alarm::kind_type::term_ended);
    cr_assert(!manager.ready());
    outputs = manager.tick(instant{} + 2s, correct_time);
    cr_assert(manager.ready());

    bundle_manager starting(standalone_settings(), instant{});
    outputs = starting.tick(instant{}, wrong_time);
    outputs = deliver_bundle(starting, instant{}, test_bundle(7));
    cr_assert(find_output<adopt_bundle>(outputs) == nullptr);
    outputs = starting.tick(instant{} + 1s, correct_time);
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
    // The manifest of version 9 overtakes the sections of version 8, so 9 is adopted first. Without the guard
    // the remaining sections of 8 would restore an account's old limit.
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
    // A process is paused for an hour with version 8 partially fetched, while the fleet goes on to 9. Without
    // the guard it would adopt 8 when the sections of 8 arrive after it resumed and adopted 9.
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
    // The service becomes stale and a process with version 9 restarts without state, next to a peer that lags
    // at 7. Without the guard it would adopt 7 and send work to a drained failure domain.
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
    // A stale replica of the service is read twice: it returns 7 after 8, then 9, then 8 again. Each adopted
    // bundle must be the lower limit for the next; without the guard the second stale read would be adopted.
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
    // A process restarts while the service is down and half of its peers' replies are lost. It must retry its
    // queries, also at other peers, until it has version 9.
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
    // A starting process immediately reads version 7 from a stale service, while most of its peers' notices
    // of version 9 arrive up to five seconds later. It must end with 9, and its version must never decrease.
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
    // Every reply to a starting process is duplicated while the service is stale. The duplicates must not
    // count as replies of further peers, so that the service's version 7 is never adopted instead of 9.
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
    // A process is paused during its start and resumes after the fleet went from version 8 to 9. Notices
    // received before the pause must not leave it at 8.
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
    // All processes but one restart, twice, while the service is stale. The remaining process must provide
    // version 9 both times, and no process may serve with version 7.
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
    // An operator pushes version 9 while the service keeps returning 7. Every process must adopt 9, keep it
    // over repeated reads of the service, and report that the service is stale.
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
    // Half of all messages are delayed by up to five seconds. A change must still be in force everywhere
    // within 11 seconds.
    bundle_simulation world(28, {.late = 0.5});
    world.publish(test_bundle(7));
    world.run(30s);
    world.publish(test_bundle(8));
    world.run(11s);
    cr_assert(world.all_have(8));
}

FAULT_CELL(bundle_spread, message_doubled)
{
    // Every message of a change is duplicated. A process must not fetch sections again that it already has;
    // at 320 changes per day the traffic of all processes would double.
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
