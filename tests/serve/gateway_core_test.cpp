#include "serve/gateway_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::fixture;

Test(gateway_core, delivers_a_complete_answer)
{
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto opened = open(core, 1);
    cr_assert(
        find<gateway_output::send_prompt>(core.step(start, gateway_input::attempt_granted{opened.key})));
    const auto passed = core.step(start, gateway_input::attempt_tokens{opened.key, 0, {"a", "b"}});
    cr_assert(find<gateway_output::deliver>(passed)->tokens.size() == 2);
    const auto ended = core.step(start, gateway_input::attempt_finished{opened.key, 2, "stop"});
    cr_assert(find<gateway_output::finish>(ended)->tokens == 2);
    cr_assert(find<gateway_output::cancel_attempt>(ended) == nullptr);
    cr_assert(core.in_flight() == 0);
}

Test(gateway_core, refuses_everything_without_a_bundle)
{
    gateway_core core(start, options());
    const auto actions = core.step(start, asked(1));
    const auto* refused = find<gateway_output::refuse>(actions);
    cr_assert(refused->why.code == refusal_code::not_ready);
    cr_assert(refused->why.ran == ran_state::no);
    cr_assert(refused->why.retry_after > duration::zero());
}

Test(gateway_core, probes_outdated_loads_only_while_busy_and_at_a_bounded_rate)
{
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto probes_until = [&](instant from, instant until) {
        std::size_t out = 0;
        for (auto now = from; now < until; now += 10ms) {
            for (const auto& action : core.step(now, gateway_input::tick{})) {
                out += std::holds_alternative<gateway_output::probe_load>(action) ? 1 : 0;
            }
        }
        return out;
    };
    cr_assert(probes_until(start, start + 5s) == 0, "an idle gateway must not probe");
    feed(core, start + 5s, asked(1));
    const auto probes_in_4s = probes_until(start + 5s, start + 9s);
    cr_assert(probes_in_4s > 0 && probes_in_4s <= 40, "%zu", probes_in_4s);
}

Test(gateway_core, releases_the_slot_of_an_account_when_a_request_ends)
{
    gateway_core core(start, options());
    auto in_force = small_bundle();
    in_force.accounts[0].max_in_flight = 1;
    adopt(core, in_force);
    const auto first = open(core, 1);
    const auto second = core.step(start, asked(2));
    cr_assert(find<gateway_output::refuse>(second)->why.code == refusal_code::account_limit);
    cr_assert(find<gateway_output::refuse>(second)->why.retry_after > duration::zero());
    feed(core, start, gateway_input::attempt_finished{first.key, 0, "stop"});
    const auto third = open(core, 3);
    feed(core, start, gateway_input::caller_left{third.key.exchange});
    open(core, 4);
}

FAULT_CELL(request_resume, process_dies)
{
    // A sidecar dies with its host after two tokens of an answer. Another engine must continue after the
    // second token, without repeating any, and late tokens of the first attempt must be dropped.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = open(core, 1);
    feed(core, start, gateway_input::attempt_granted{first.key});
    feed(core, start, gateway_input::attempt_tokens{first.key, 0, {"a", "b"}});
    const auto again = core.step(start + 1s, lost(first.key));
    const auto* second = find<gateway_output::open_attempt>(again);
    cr_assert(second != nullptr);
    cr_assert(second->upstream != first.upstream);
    cr_assert(second->spec.resume_offset == 2);
    const auto late = core.step(start + 1s, gateway_input::attempt_tokens{first.key, 2, {"old"}});
    cr_assert(find<gateway_output::deliver>(late) == nullptr);
    const auto rest = core.step(start + 1s, gateway_input::attempt_tokens{second->key, 2, {"c"}});
    cr_assert(find<gateway_output::deliver>(rest)->offset == 2);
    const auto ended = core.step(start + 1s, gateway_input::attempt_finished{second->key, 3, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
}

FAULT_CELL(request_dispatch, two_faults)
{
    // Two cold engines refuse a request one after the other. It must not wait for its time limit: it goes to
    // the third engine, and when that one refuses as well, the caller is refused with a time to retry after.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    auto opened = open(core, 1);
    const refusal cold{refusal_code::upstream_cold, ran_state::no, 700ms, ""};
    for (std::uint64_t i = 1; i < engine_count; ++i) {
        const auto before = opened.upstream;
        const auto actions = core.step(start, gateway_input::attempt_refused{opened.key, cold});
        cr_assert(find<gateway_output::open_attempt>(actions) != nullptr);
        opened = *find<gateway_output::open_attempt>(actions);
        cr_assert(opened.upstream != before);
    }
    auto now = start;
    const gateway_output::refuse* refused = nullptr;
    std::vector<gateway_action> actions = core.step(now, gateway_input::attempt_refused{opened.key, cold});
    for (int i = 0; i < 1'000 && refused == nullptr; ++i) {
        if (const auto* more = find<gateway_output::open_attempt>(actions)) {
            actions = core.step(now, gateway_input::attempt_refused{more->key, cold});
        }
        else {
            now += 10ms;
            actions = core.step(now, gateway_input::tick{});
        }
        refused = find<gateway_output::refuse>(actions);
    }
    cr_assert(refused != nullptr);
    cr_assert(refused->why.ran == ran_state::no);
    cr_assert(refused->why.retry_after >= 700ms);
    cr_assert(now - start < 5s, "must be refused before its time limit");
}

FAULT_CELL(request_permit, message_late)
{
    // A caller disconnects while its request waits for a permit, and the grant arrives late. The prompt would
    // start work that nobody waits for, so the attempt must be cancelled.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto opened = open(core, 1);
    const auto left = core.step(start, gateway_input::caller_left{exchange_number(1)});
    cr_assert(find<gateway_output::cancel_attempt>(left) != nullptr);
    const auto late = core.step(start + 1s, gateway_input::attempt_granted{opened.key});
    cr_assert(find<gateway_output::send_prompt>(late) == nullptr);
    cr_assert(find<gateway_output::cancel_attempt>(late) != nullptr);
}

FAULT_CELL(request_dispatch, message_late)
{
    // The time limit expires while the engine sends nothing. The caller must get its final answer at the
    // limit, the engine's work must be cancelled, and later tokens must be dropped.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto opened = open(core, 1);
    feed(core, start, gateway_input::attempt_granted{opened.key});
    const auto over = core.step(start + 10s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::refuse>(over)->why.ran == ran_state::unknown);
    cr_assert(find<gateway_output::cancel_attempt>(over) != nullptr);
    cr_assert(core.step(start + 11s, gateway_input::attempt_tokens{opened.key, 0, {"a"}}).empty());
}

FAULT_CELL(drain_leave, domain_out)
{
    // Operators drain a failure domain. No further request may go there, even if the domain has the engine
    // with the least load. Drains that are received later replace those of the bundle.
    gateway_core core(start, options());
    auto out = small_bundle();
    out.domains[0].in_service = false;
    out.domains[1].in_service = false;
    adopt(core, out);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        cr_assert(open(core, i).upstream == upstream_id("e3"));
    }
    feed(core, start,
         gateway_input::drains_changed{
             {failure_domain_id("d1"), failure_domain_id("d2"), failure_domain_id("d3")}, {}});
    const auto none = core.step(start, asked(21));
    cr_assert(find<gateway_output::open_attempt>(none) == nullptr);
    cr_assert(find<gateway_output::refuse>(none)->why.ran == ran_state::no);
}

FAULT_CELL(ticket_send, partition)
{
    // The owner of a booking's key is unreachable. Another replica can't know whether the owner ran an
    // earlier attempt, and would make the booking twice. The caller must be refused at once as "not run".
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = core.step(start, booking(1, "key"));
    const auto home = find<gateway_output::call_service>(first)->upstream;
    feed(core, start, gateway_input::upstream_changed{home, upstream_state::dead});
    const auto cut = core.step(start, booking(2, "key"));
    cr_assert(find<gateway_output::call_service>(cut) == nullptr);
    cr_assert(find<gateway_output::refuse>(cut)->why.ran == ran_state::no);
    feed(core, start, gateway_input::upstream_changed{home, upstream_state::alive});
    const auto healed = core.step(start, booking(3, "key"));
    cr_assert(find<gateway_output::call_service>(healed)->upstream == home);
}

FAULT_CELL(ticket_answer, message_lost)
{
    // The service runs a booking and the answer is lost on its way to the gateway. The gateway must neither
    // repeat the call nor report that it was not run.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = core.step(start, booking(1, "key"));
    const auto key = find<gateway_output::call_service>(first)->key;
    const refusal unknown{refusal_code::upstream_gone, ran_state::unknown, duration::zero(), ""};
    const auto broken = core.step(start, gateway_input::service_refused{key, unknown});
    cr_assert(find<gateway_output::call_service>(broken) == nullptr);
    cr_assert(find<gateway_output::refuse>(broken)->why.ran == ran_state::unknown);
}

FAULT_CELL(ticket_issue, process_dies)
{
    // The sidecar dies from which a ticket was requested. Nothing runs for a ticket, so another sidecar must
    // issue it.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    auto ticket_request = booking(1, "");
    ticket_request.operation = service_operation::ticket;
    const auto first = core.step(start, ticket_request);
    const auto* asked_first = find<gateway_output::call_service>(first);
    cr_assert(asked_first != nullptr);
    const refusal gone{refusal_code::upstream_gone, ran_state::unknown, duration::zero(), ""};
    const auto second = core.step(start, gateway_input::service_refused{asked_first->key, gone});
    const auto* asked_second = find<gateway_output::call_service>(second);
    cr_assert(asked_second != nullptr);
    cr_assert(asked_second->upstream != asked_first->upstream);
}

FAULT_CELL(process_stop, two_faults)
{
    // A gateway is stopped while an answer is streamed, and its engine is lost. The stop must wait for the
    // whole answer, which another engine finishes.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = open(core, 1);
    feed(core, start, gateway_input::attempt_granted{first.key});
    cr_assert(find<gateway_output::all_done>(core.step(start, gateway_input::stop_requested{})) == nullptr);
    const auto again = core.step(start, lost(first.key));
    const auto* second = find<gateway_output::open_attempt>(again);
    cr_assert(second != nullptr);
    const auto ended = core.step(start, gateway_input::attempt_finished{second->key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(find<gateway_output::all_done>(ended) != nullptr);
}
