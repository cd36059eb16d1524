#include "serve/gang_simulation.h"
#include "support/fault_cell.h"
#include "support/schedule_seeds.h"

using namespace dragonflymill;
using dragonflymill::test::gang_simulation;

namespace {

constexpr token_count two_engines = 150'000;
constexpr token_count three_engines = 210'000;

/// Long enough for every lease to end and every release to be repeated.
constexpr duration all_ended = 40s;

void nothing_is_held(gang_simulation& world)
{
    world.pass(all_ended);
    cr_assert(world.held() == 0, "%lld tokens are still held", static_cast<long long>(world.held()));
}

void is_whole(gang_simulation& world, std::uint64_t number)
{
    cr_assert(world.answered(number));
    const auto& got = world.answer_of(number);
    cr_assert(got.whole, "refused as %s", got.refused ? to_string(got.refused->code) : "");
}

/// A world in which request 1 has a span being computed, or its answer being decoded.
auto under_way(gang_simulation& world, bool exporting) -> std::size_t
{
    world.ask(0, 1, two_engines);
    cr_assert(world.pass_until([&] { return world.busy_engine(exporting).has_value(); }));
    if (!exporting) {
        cr_assert(world.pass_until([&] { return world.answer_of(1).tokens > 3; }));
    }
    return *world.busy_engine(exporting);
}

/// Does one of the things that go wrong to one of the upstreams, or none.
void hurt(gang_simulation& world, random_source& random)
{
    const auto victim = random.below(world.engines.size());
    switch (random.below(6)) {
    case 0:
        world.restart_engine(victim);
        break;
    case 1:
        world.restart_sidecar(victim);
        break;
    case 2:
        world.break_connections(victim);
        break;
    default:
        break;
    }
}

} // namespace

Test(gang_dispatcher, a_prompt_larger_than_any_engine_is_answered_whole_and_leaves_nothing)
{
    gang_simulation world(1, 4);
    world.ask(0, 1, three_engines);
    is_whole(world, 1);
    world.pass(500ms);
    cr_assert(world.held() == 0, "all of it is given back at once, not only when its leases end");
}

Test(gang_dispatcher, only_what_no_group_could_ever_hold_is_too_large)
{
    gang_simulation world(1, 4);
    world.ask(0, 1, 4 * gang_simulation::memory);
    const auto& refused = world.answer_of(1).refused;
    cr_assert(refused && refused->code == refusal_code::too_large && refused->ran == ran_state::no);
    cr_assert(world.held() == 0);
}

Test(gang_dispatcher, a_limit_that_ends_while_a_span_is_computed_says_that_it_may_have_run)
{
    gang_simulation world(1, 4);
    world.ask(0, 1, two_engines, 250ms);
    cr_assert(world.pass_until([&] { return world.busy_engine(true).has_value(); }, 200ms));
    cr_assert(world.answered(1));
    const auto& refused = world.answer_of(1).refused;
    cr_assert(refused && refused->code == refusal_code::deadline && refused->ran == ran_state::unknown);
    nothing_is_held(world);
}

Test(gang_dispatcher, short_requests_are_answered_while_gangs_fill_the_engines)
{
    gang_simulation world(2, 4);
    world.ask(0, 1, three_engines);
    world.ask(1, 2, three_engines);
    for (std::uint64_t number = 10; number < 40; ++number) {
        world.ask(number % 2, number, 1'000);
        world.pass(100ms);
    }
    world.pass(1s);
    for (std::uint64_t number = 10; number < 40; ++number) {
        cr_assert(world.answer_of(number).whole, "short request %llu waits",
                  static_cast<unsigned long long>(number));
    }
    is_whole(world, 1);
    is_whole(world, 2);
    nothing_is_held(world);
}

FAULT_CELL_MORE(gang_reserve, upstream_cold, nothing_else_comes)
{
    // Every engine has just started and no other request comes. A gateway that left cold engines out of its
    // plans would never ask, so no sidecar would warm its engine up, and the prompt would wait for good.
    gang_simulation world(1, 4, 1, {}, 20'000);
    world.ask(0, 1, two_engines);
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL_MORE(gang_import, process_dies, exporting_engine)
{
    // The engine that computes the first span dies. The others' shares stand for a prompt that can't be
    // answered with them; the gateway gives them back and gets another gang, and the caller sees nothing.
    gang_simulation world(1, 4);
    world.restart_engine(under_way(world, true));
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL(gang_decode, process_dies)
{
    // The decoding engine dies in the middle of the answer: a new gang goes on behind the last token that the
    // caller has, and no token comes twice.
    gang_simulation world(1, 4);
    world.restart_engine(under_way(world, false));
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL_MORE(gang_decode, process_dies, source)
{
    // The engine whose span the answer reads dies while it is decoded elsewhere. The share there is refused
    // at its next renewal; until then the decoding engine may read what is no more.
    gang_simulation world(1, 4);
    const auto decoding = under_way(world, false);
    for (std::size_t i = 0; i < world.engines.size(); ++i) {
        if (i != decoding && !world.engines[i].spans.empty()) {
            world.restart_engine(i);
        }
    }
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL_MORE(gang_import, process_dies, gateway)
{
    // The gateway dies at each step of a gang in turn. Nobody is left who knows of its shares, and the calls
    // that would give them back are never sent.
    for (const bool exporting : {true, false}) {
        gang_simulation world(2, 4);
        static_cast<void>(under_way(world, exporting));
        world.kill_gateway(0);
        nothing_is_held(world);
        world.ask(1, 2, three_engines);
        is_whole(world, 2);
    }
}

FAULT_CELL_MORE(gang_reserve, process_dies, gateway)
{
    // The gateway dies with one share granted and the next one asked for.
    gang_simulation world(1, 4);
    world.ask(0, 1, three_engines);
    cr_assert(world.pass_until([&] { return world.held() > 0; }));
    world.kill_gateway(0);
    nothing_is_held(world);
}

FAULT_CELL_MORE(gang_reserve, message_late, caller_left)
{
    // A reservation is held up on its way and the caller leaves. The release overtakes it, and the sidecar
    // then grants a share that nobody waits for; other prompts would be refused until its hold ends.
    gang_simulation world(1, 4);
    test::message_bag_rules slow;
    slow.late = 1.0;
    slow.late_delay = 5s;
    world.change_network(slow);
    world.ask(0, 1, two_engines);
    world.change_network({});
    world.leave(0, 1);
    cr_assert(world.pass_until([&] { return world.held() > 0; }, 6s));
    world.pass(1s);
    cr_assert(world.held() == 0);
}

FAULT_CELL_MORE(gang_decode, process_dies, sidecar)
{
    // A sidecar is replaced while its engine holds a span that is being read. The successor knows nothing of
    // it; the gateway's renewal is refused there, and the span is found and released.
    gang_simulation world(1, 4);
    world.restart_sidecar(under_way(world, false));
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL_MORE(gang_release, message_lost, at_engine)
{
    // Every release from the sidecars to their engines is lost for a while after the answer: the memory stays
    // counted as taken, and is free once one gets through.
    gang_simulation world(1, 4);
    static_cast<void>(under_way(world, false));
    for (auto& engine : world.engines) {
        engine.loses_releases = true;
    }
    is_whole(world, 1);
    world.pass(20s);
    cr_assert(world.held() > 0);
    for (auto& engine : world.engines) {
        engine.loses_releases = false;
    }
    nothing_is_held(world);
}

FAULT_CELL(gang_import, domain_out)
{
    // The upstream that computes a span is taken out of service: what has begun there goes on, and the
    // request is answered all the same.
    gang_simulation world(1, 4);
    world.drain(under_way(world, true), true);
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL(gang_decode, domain_out)
{
    // The same while the answer is decoded.
    gang_simulation world(1, 4);
    world.drain(under_way(world, false), true);
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL(gang_import, upstream_cold)
{
    // Every engine but the one that computes a span turns cold: the share where the answer was to be decoded
    // has not begun and is taken back, and the gateway must not put the answer there all the same.
    gang_simulation world(1, 4);
    const auto computing = under_way(world, true);
    for (std::size_t i = 0; i < world.engines.size(); ++i) {
        if (i != computing) {
            world.turn_cold(i);
        }
    }
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL(gang_decode, upstream_cold)
{
    // The decoding engine and the others turn cold in the middle of the answer: what runs goes on.
    gang_simulation world(1, 4);
    static_cast<void>(under_way(world, false));
    for (std::size_t i = 0; i < world.engines.size(); ++i) {
        world.turn_cold(i);
    }
    world.pass(1s);
    cr_assert(world.answer_of(1).whole);
    nothing_is_held(world);
}

FAULT_CELL(gang_import, connection_silent)
{
    // The connection on which a span's text travelled is given up as silent: the gateway hears that it broke
    // and the sidecar that it was cancelled.
    gang_simulation world(1, 4);
    world.break_connections(under_way(world, true));
    is_whole(world, 1);
    nothing_is_held(world);
}

FAULT_CELL(gang_release, two_faults)
{
    // Calls about shares are lost, late and doubled, and engines, sidecars, connections and a gateway die in
    // between, for many schedules. Every request gets one final answer, no token twice, no engine holds more
    // than it has, and nothing is held in the end.
    const auto run = [](std::uint64_t seed) -> std::optional<std::string> {
        random_source random(seed);
        test::message_bag_rules rules;
        rules.drop = 0.05;
        rules.duplicate = 0.05;
        rules.late = 0.05;
        gang_simulation world(2, 5, seed, rules);
        for (std::uint64_t number = 1; number <= 12; ++number) {
            const auto tokens = 100'000 + static_cast<token_count>(random.below(200'000));
            world.ask(random.below(2), number, tokens, 30s);
            world.pass(duration(static_cast<std::int64_t>(random.below(2'000'000))));
            hurt(world, random);
        }
        world.kill_gateway(0);
        world.pass(35s);
        for (const auto& [number, got] : world.answers) {
            if (!got.whole && !got.refused && !world.asked_of_dead(number)) {
                return "a request has no answer";
            }
        }
        world.change_network({});
        world.pass(all_ended);
        return world.held() == 0 ? std::nullopt : std::optional<std::string>("memory is still held");
    };
    test::run_schedules(20, "test_serve", "gang_release*", run);
}
