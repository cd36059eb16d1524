#include "serve/sidecar_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::sidecar_fixture;

namespace {

auto booking(std::string ticket, std::string body, duration remaining = 10s) -> service_spec
{
    service_spec made;
    made.request = request_id("r");
    made.route = route_id("bookings");
    made.account = client_account_id("a");
    made.gateway = process_id("g1");
    made.ticket = std::move(ticket);
    made.method = "POST";
    made.target = "/book";
    made.body = std::move(body);
    made.remaining = remaining;
    return made;
}

auto take_ticket(sidecar_core& core) -> std::string
{
    const auto given = core.step(start, sidecar_input::ticket_requested{call_number(1), booking({}, {})});
    return find<sidecar_output::send_ticket>(given)->ticket;
}

} // namespace

Test(sidecar_service, another_body_under_a_used_ticket_is_a_conflict_that_never_ran)
{
    sidecar_core core(start, options());
    const auto ticket = take_ticket(core);
    const auto run = core.step(start, sidecar_input::service_called{call_number(2), booking(ticket, "two")});
    cr_assert(find<sidecar_output::run_service>(run) != nullptr);
    const auto other =
        core.step(start, sidecar_input::service_called{call_number(3), booking(ticket, "three")});
    cr_assert(find<sidecar_output::run_service>(other) == nullptr);
    cr_assert(find<sidecar_output::refuse_call>(other)->why.code == refusal_code::conflict);
    cr_assert(find<sidecar_output::refuse_call>(other)->why.ran == ran_state::no);
    cr_assert(std::string(to_string(refusal_code::conflict)) == "conflict");
}

FAULT_CELL_MORE(request_dispatch, message_late, ticket)
{
    // A caller's booking reaches the sidecar when its time is over. It is told "not run", and so a late copy
    // of the same try must not run either.
    sidecar_core core(start, options());
    const auto ticket = take_ticket(core);
    const auto late = core.step(
        start, sidecar_input::service_called{call_number(2), booking(ticket, "two", duration::zero())});
    cr_assert(find<sidecar_output::refuse_call>(late)->why.ran == ran_state::no);
    const auto copy = core.step(start, sidecar_input::service_called{call_number(3), booking(ticket, "two")});
    cr_assert(find<sidecar_output::run_service>(copy) == nullptr);
    cr_assert(find<sidecar_output::refuse_call>(copy)->why.ran == ran_state::no);
}

FAULT_CELL(ticket_status, message_lost)
{
    // A caller's booking runs and its answer is lost on the way. It asks for the status, by GET and without
    // the booking's body. Told "another body, not run" it would book a second time; it must get the answer.
    sidecar_core core(start, options());
    const auto ticket = take_ticket(core);
    const auto run = core.step(start, sidecar_input::service_called{call_number(2), booking(ticket, "two")});
    cr_assert(find<sidecar_output::run_service>(run) != nullptr);
    auto question = booking(ticket, {});
    question.method = "GET";
    question.target = "/status";
    const auto early = core.step(start, sidecar_input::status_requested{call_number(3), question});
    cr_assert(find<sidecar_output::report_running>(early) != nullptr);
    const once_answer answer{200, "text/plain", "van 7"};
    static_cast<void>(core.step(start, sidecar_input::service_answered{call_number(2), answer}));
    const auto told = core.step(start, sidecar_input::status_requested{call_number(4), question});
    cr_assert(find<sidecar_output::refuse_call>(told) == nullptr);
    cr_assert(find<sidecar_output::answer_service>(told)->answer.body == "van 7");
}

Test(sidecar_service, not_run_is_said_only_of_what_never_will_run)
{
    cr_assert(refusal_before_sending(true).ran == ran_state::no);
    cr_assert(refusal_before_sending(false).ran == ran_state::unknown);
}
