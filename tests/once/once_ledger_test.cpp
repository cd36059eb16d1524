#include "dragonflymill/once/once_ledger.h"

#include "support/fault_cell.h"

using namespace dragonflymill;

namespace {

auto at(duration since) -> instant
{
    return instant(since);
}

auto options() -> once_ledger_options
{
    once_ledger_options result;
    result.upstream = upstream_id("booking-1");
    result.self = incarnation(1);
    result.ticket_key = "key";
    return result;
}

auto call_of(const std::string& ticket) -> once_call
{
    return {{route_id("slots"), client_account_id("a")}, ticket_name{ticket}, digest_of({"body"})};
}

} // namespace

Test(once_ledger, a_ticket_runs_once_and_is_then_replayed)
{
    once_ledger ledger(options());
    const auto minted = ledger.mint(at(0s), {route_id("slots"), client_account_id("a")});
    const once_call call = call_of(std::get<once_minted>(minted).text);
    const auto first = ledger.submit(at(1s), call);
    cr_assert(std::holds_alternative<once_run>(first));
    const call_serial serial = std::get<once_run>(first).serial;
    cr_assert(ledger.sending(at(1s), serial));
    cr_assert(!ledger.sending(at(1s), serial));
    cr_assert(ledger.submit(at(2s), call) == once_outcome(once_join{serial}));
    ledger.answered(at(3s), serial, {201, "text/plain", "done"});
    cr_assert(ledger.submit(at(4s), call) == once_outcome(once_replay{{201, "text/plain", "done"}}));
}
