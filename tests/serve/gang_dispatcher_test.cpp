#include "serve/gang_simulation.h"
#include "support/fault_cell.h"
#include "support/schedule_seeds.h"

using namespace dragonflymill;
using dragonflymill::test::gang_simulation;

namespace {

constexpr token_count tokens_for_two_engines = 150'000;
constexpr token_count tokens_for_three_engines = 210'000;

/// Long enough for every lease to expire and every release to be repeated.
constexpr duration lease_expiry = 40s;

void expect_nothing_held(gang_simulation& simulation)
{
    simulation.pass(lease_expiry);
    cr_assert(simulation.held() == 0, "%lld tokens are still held",
              static_cast<long long>(simulation.held()));
}

void expect_complete_answer(gang_simulation& simulation, std::uint64_t number)
{
    cr_assert(simulation.answered(number));
    const auto& answer = simulation.answer_of(number);
    cr_assert(answer.complete, "refused as %s", answer.refused ? to_string(answer.refused->code) : "");
}

/// Runs request 1 until one of its spans is being computed, or its answer is being decoded; returns that
/// engine.
auto run_until_busy(gang_simulation& simulation, bool exporting) -> std::size_t
{
    simulation.request(0, 1, tokens_for_two_engines);
    cr_assert(simulation.pass_until([&] { return simulation.busy_engine(exporting).has_value(); }));
    if (!exporting) {
        cr_assert(simulation.pass_until([&] { return simulation.answer_of(1).tokens > 3; }));
    }
    return *simulation.busy_engine(exporting);
}

/// Applies one random fault, or none, to one random upstream.
void inject_fault(gang_simulation& simulation, random_source& random)
{
    const auto victim = random.below(simulation.engines.size());
    switch (random.below(6)) {
    case 0:
        simulation.restart_engine(victim);
        break;
    case 1:
        simulation.restart_sidecar(victim);
        break;
    case 2:
        simulation.break_connections(victim);
        break;
    default:
        break;
    }
}

} // namespace

Test(gang_dispatcher, answers_a_prompt_larger_than_any_engine_and_releases_everything)
{
    gang_simulation simulation(1, 4);
    simulation.request(0, 1, tokens_for_three_engines);
    expect_complete_answer(simulation, 1);
    simulation.pass(500ms);
    cr_assert(simulation.held() == 0, "shares must be released at once, not when their leases expire");
}

Test(gang_dispatcher, refuses_as_too_large_only_what_no_gang_can_hold)
{
    gang_simulation simulation(1, 4);
    simulation.request(0, 1, 4 * gang_simulation::memory);
    const auto& refused = simulation.answer_of(1).refused;
    cr_assert(refused && refused->code == refusal_code::too_large && refused->ran == ran_state::no);
    cr_assert(simulation.held() == 0);
}

Test(gang_dispatcher, reports_unknown_when_the_limit_expires_during_a_span)
{
    gang_simulation simulation(1, 4);
    simulation.request(0, 1, tokens_for_two_engines, 250ms);
    cr_assert(simulation.pass_until([&] { return simulation.busy_engine(true).has_value(); }, 200ms));
    cr_assert(simulation.answered(1));
    const auto& refused = simulation.answer_of(1).refused;
    cr_assert(refused && refused->code == refusal_code::deadline && refused->ran == ran_state::unknown);
    expect_nothing_held(simulation);
}

Test(gang_dispatcher, answers_short_requests_while_gangs_fill_the_engines)
{
    gang_simulation simulation(2, 4);
    simulation.request(0, 1, tokens_for_three_engines);
    simulation.request(1, 2, tokens_for_three_engines);
    for (std::uint64_t number = 10; number < 40; ++number) {
        simulation.request(number % 2, number, 1'000);
        simulation.pass(100ms);
    }
    simulation.pass(1s);
    for (std::uint64_t number = 10; number < 40; ++number) {
        cr_assert(simulation.answer_of(number).complete, "short request %llu has no answer",
                  static_cast<unsigned long long>(number));
    }
    expect_complete_answer(simulation, 1);
    expect_complete_answer(simulation, 2);
    expect_nothing_held(simulation);
}

FAULT_CELL_MORE(gang_reserve, upstream_cold, nothing_else_comes)
{
    // Guards against a prompt that waits for good while every engine is cold and no other request arrives. A
    // gateway that left cold engines out of its plans would request no share, and no sidecar would warm up
    // its engine.
    gang_simulation simulation(1, 4, 1, {}, 20'000);
    simulation.request(0, 1, tokens_for_two_engines);
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL_MORE(gang_import, process_dies, exporting_engine)
{
    // The engine that computes the first span dies. The shares of the other engines are useless for the
    // prompt now; the gateway must release them and reserve another gang, without an effect on the caller.
    gang_simulation simulation(1, 4);
    simulation.restart_engine(run_until_busy(simulation, true));
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_decode, process_dies)
{
    // The decoding engine dies in the middle of the answer. A new gang must continue after the last token
    // that the caller received, and no token may be sent twice.
    gang_simulation simulation(1, 4);
    simulation.restart_engine(run_until_busy(simulation, false));
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL_MORE(gang_decode, process_dies, source)
{
    // The engine that holds an imported span dies while the answer is decoded elsewhere. Its share is refused
    // at the next renewal; until then the decoding engine may read a span that no longer exists.
    gang_simulation simulation(1, 4);
    const auto decoding = run_until_busy(simulation, false);
    for (std::size_t i = 0; i < simulation.engines.size(); ++i) {
        if (i != decoding && !simulation.engines[i].spans.empty()) {
            simulation.restart_engine(i);
        }
    }
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL_MORE(gang_import, process_dies, gateway)
{
    // The gateway dies at each step of a gang in turn. No process knows of its shares any more, and the calls
    // that would release them are never sent.
    for (const bool exporting : {true, false}) {
        gang_simulation simulation(2, 4);
        static_cast<void>(run_until_busy(simulation, exporting));
        simulation.kill_gateway(0);
        expect_nothing_held(simulation);
        simulation.request(1, 2, tokens_for_three_engines);
        expect_complete_answer(simulation, 2);
    }
}

FAULT_CELL_MORE(gang_reserve, process_dies, gateway)
{
    // The gateway dies with one share granted and the next one requested.
    gang_simulation simulation(1, 4);
    simulation.request(0, 1, tokens_for_three_engines);
    cr_assert(simulation.pass_until([&] { return simulation.held() > 0; }));
    simulation.kill_gateway(0);
    expect_nothing_held(simulation);
}

FAULT_CELL_MORE(gang_reserve, message_late, caller_left)
{
    // A reservation is delayed in the network and the caller disconnects. The release overtakes it, and the
    // sidecar then grants a share that nobody uses; other prompts would be refused until it expires.
    gang_simulation simulation(1, 4);
    test::message_bag_rules slow;
    slow.late = 1.0;
    slow.late_delay = 5s;
    simulation.change_network(slow);
    simulation.request(0, 1, tokens_for_two_engines);
    simulation.change_network({});
    simulation.disconnect(0, 1);
    cr_assert(simulation.pass_until([&] { return simulation.held() > 0; }, 6s));
    simulation.pass(1s);
    cr_assert(simulation.held() == 0);
}

FAULT_CELL_MORE(gang_decode, process_dies, sidecar)
{
    // A sidecar is replaced while a span of its engine is being read. The successor doesn't know the span: it
    // refuses the gateway's renewal, and the span must be found and released.
    gang_simulation simulation(1, 4);
    simulation.restart_sidecar(run_until_busy(simulation, false));
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL_MORE(gang_release, message_lost, at_engine)
{
    // Every release from the sidecars to their engines is lost for a while after the answer. The memory must
    // stay counted as used, and be free once a release arrives.
    gang_simulation simulation(1, 4);
    static_cast<void>(run_until_busy(simulation, false));
    for (auto& engine : simulation.engines) {
        engine.drops_releases = true;
    }
    expect_complete_answer(simulation, 1);
    simulation.pass(20s);
    cr_assert(simulation.held() > 0);
    for (auto& engine : simulation.engines) {
        engine.drops_releases = false;
    }
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_import, domain_out)
{
    // The upstream that computes a span is drained. Work that has begun there continues, and the request must
    // be answered.
    gang_simulation simulation(1, 4);
    simulation.drain(run_until_busy(simulation, true), true);
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_decode, domain_out)
{
    // The decoding upstream is drained. Work that has begun there continues, and the request must be
    // answered.
    gang_simulation simulation(1, 4);
    simulation.drain(run_until_busy(simulation, false), true);
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_import, upstream_cold)
{
    // Every engine but the one that computes a span turns cold. The share reserved for decoding has not begun
    // and is withdrawn; the gateway must not decode the answer there.
    gang_simulation simulation(1, 4);
    const auto computing = run_until_busy(simulation, true);
    for (std::size_t i = 0; i < simulation.engines.size(); ++i) {
        if (i != computing) {
            simulation.turn_cold(i);
        }
    }
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_decode, upstream_cold)
{
    // All engines turn cold in the middle of the answer. Running work must continue.
    gang_simulation simulation(1, 4);
    static_cast<void>(run_until_busy(simulation, false));
    for (std::size_t i = 0; i < simulation.engines.size(); ++i) {
        simulation.turn_cold(i);
    }
    simulation.pass(1s);
    cr_assert(simulation.answer_of(1).complete);
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_import, connection_silent)
{
    // The connection that carried a span's text is closed for silence. The gateway is notified of the loss
    // and the sidecar of the cancellation.
    gang_simulation simulation(1, 4);
    simulation.break_connections(run_until_busy(simulation, true));
    expect_complete_answer(simulation, 1);
    expect_nothing_held(simulation);
}

FAULT_CELL(gang_release, two_faults)
{
    // Calls about shares are lost, delayed and duplicated, and engines, sidecars, connections and a gateway
    // die in between, over many schedules. Every request must get one final answer, no token twice, no engine
    // may exceed its memory, and nothing may be held in the end.
    const auto run = [](std::uint64_t seed) -> std::optional<std::string> {
        random_source random(seed);
        test::message_bag_rules rules;
        rules.drop = 0.05;
        rules.duplicate = 0.05;
        rules.late = 0.05;
        gang_simulation simulation(2, 5, seed, rules);
        for (std::uint64_t number = 1; number <= 12; ++number) {
            const auto tokens = 100'000 + static_cast<token_count>(random.below(200'000));
            simulation.request(random.below(2), number, tokens, 30s);
            simulation.pass(duration(static_cast<std::int64_t>(random.below(2'000'000))));
            inject_fault(simulation, random);
        }
        simulation.kill_gateway(0);
        simulation.pass(35s);
        for (const auto& [number, answer] : simulation.answers) {
            if (!answer.complete && !answer.refused && !simulation.lost_with_gateway(number)) {
                return "a request has no final answer";
            }
        }
        simulation.change_network({});
        simulation.pass(lease_expiry);
        return simulation.held() == 0 ? std::nullopt : std::optional<std::string>("memory is still held");
    };
    test::run_schedules(20, "test_serve", "gang_release*", run);
}
