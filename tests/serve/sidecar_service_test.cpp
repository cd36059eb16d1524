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
    const auto issued = core.step(start, sidecar_input::ticket_requested{call_number(1), booking({}, {})});
    return find<sidecar_output::send_ticket>(issued)->ticket;
}

} // namespace

Test(sidecar_service, another_body_under_a_used_ticket_is_refused_as_conflict)
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
    // Guards against running a booking that was refused with ran `no`. It reaches the sidecar after its
    // deadline, and a late copy of the same attempt follows.
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
    // Guards against a second booking after the answer to the first one was lost. The caller queries the
    // status by GET without the booking's body; a conflict with ran `no` would make it book again.
    sidecar_core core(start, options());
    const auto ticket = take_ticket(core);
    const auto run = core.step(start, sidecar_input::service_called{call_number(2), booking(ticket, "two")});
    cr_assert(find<sidecar_output::run_service>(run) != nullptr);
    auto query = booking(ticket, {});
    query.method = "GET";
    query.target = "/status";
    const auto early = core.step(start, sidecar_input::status_requested{call_number(3), query});
    cr_assert(find<sidecar_output::report_running>(early) != nullptr);
    const once_answer answer{200, "text/plain", "van 7"};
    static_cast<void>(core.step(start, sidecar_input::service_answered{call_number(2), answer}));
    const auto status = core.step(start, sidecar_input::status_requested{call_number(4), query});
    cr_assert(find<sidecar_output::refuse_call>(status) == nullptr);
    cr_assert(find<sidecar_output::answer_service>(status)->answer.body == "van 7");
}

Test(sidecar_service, ran_no_is_reported_only_for_calls_that_never_run)
{
    cr_assert(refusal_before_sending(true).ran == ran_state::no);
    cr_assert(refusal_before_sending(false).ran == ran_state::unknown);
}
