#include "dragonflymill/once/key_home.h"
#include "dragonflymill/once/uuid_time.h"
#include "once/once_fixture.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

const once_answer booked{201, "application/json", R"({"slot":7})"};

} // namespace

Test(once_ledger, runs_a_ticket_once_and_then_replays_its_answer)
{
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(std::holds_alternative<once_run>(ledger.look(at(1s), call)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    cr_assert(ledger.submit(at(2s), call) == once_outcome(once_join{serial}));
    ledger.answered(at(3s), serial, booked);
    cr_assert(ledger.submit(at(4s), call) == once_outcome(once_replay{booked}));
    cr_assert(ledger.status(at(4s), call) == once_outcome(once_replay{booked}));
}

Test(once_ledger, runs_a_key_only_with_a_lease_and_only_once)
{
    once_ledger ledger(ledger_options(1));
    const once_call call = by_key(timed_key(60s, 1));
    cr_assert(ledger.submit(at(61s), call) == unknown(unknown_reason::no_lease));
    ledger.renew_own_lease(at(100s));
    cr_assert(send(ledger, at(61s), call));
    cr_assert(!send(ledger, at(62s), call));
}

Test(once_ledger, rejects_another_body_under_the_same_ticket_or_key_as_a_conflict)
{
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(100s));
    const std::string ticket = mint(ledger, at(60s));
    const std::string key = timed_key(60s, 1);
    cr_assert(send(ledger, at(61s), by_ticket(ticket, "one")));
    cr_assert(send(ledger, at(61s), by_key(key, "one")));
    cr_assert(is_error(ledger.submit(at(62s), by_ticket(ticket, "two")), error_kind::conflict));
    cr_assert(is_error(ledger.submit(at(62s), by_key(key, "two")), error_kind::conflict));
}

Test(once_ledger, rejects_altered_malformed_and_foreign_tickets)
{
    once_ledger ledger(ledger_options(1));
    const std::string ticket = mint(ledger, at(0s));
    for (std::size_t i = 0; i < ticket.size(); i += 7) {
        std::string changed = ticket;
        changed[i] = changed[i] == '0' ? '1' : '0';
        cr_assert(is_error(ledger.submit(at(1s), by_ticket(changed)), error_kind::corrupt));
    }
    cr_assert(is_error(ledger.submit(at(1s), by_ticket("")), error_kind::corrupt));
    cr_assert(is_error(ledger.submit(at(1s), by_ticket(std::string(100'000, 'a'))), error_kind::corrupt));
    once_call foreign = by_ticket(ticket);
    foreign.owner.account = client_account_id("another");
    cr_assert(is_error(ledger.submit(at(1s), foreign), error_kind::unauthorized));
    cr_assert(send(ledger, at(1s), by_ticket(ticket)));
}

Test(once_ledger, never_runs_a_revoked_call)
{
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.status(at(1s), call) == once_outcome(once_pending{}));
    cr_assert(ledger.revoke_call(at(1s), call) == once_outcome(once_not_run{}));
    cr_assert(ledger.submit(at(2s), call) == once_outcome(once_not_run{}));
}

Test(once_ledger, does_not_revoke_a_call_that_was_sent)
{
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    cr_assert(ledger.revoke_call(at(2s), call) == once_outcome(once_join{serial}));
    cr_assert(!ledger.withdraw(at(2s), serial));
    ledger.broken(at(3s), serial);
    cr_assert(ledger.revoke_call(at(4s), call) == unknown(unknown_reason::broken));
}

Test(once_ledger, never_runs_a_call_withdrawn_before_sending)
{
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.withdraw(at(1s), serial));
    cr_assert(!ledger.sending(at(1s), serial));
    cr_assert(ledger.submit(at(2s), call) == once_outcome(once_not_run{}));
}

Test(once_ledger, refuses_new_calls_and_evicts_nothing_when_full)
{
    once_ledger_options options = ledger_options(1);
    options.max_calls = 2;
    once_ledger ledger(options);
    const once_call first = by_ticket(mint(ledger, at(0s)));
    cr_assert(send(ledger, at(0s), first));
    cr_assert(!mint(ledger, at(0s)).empty());
    const auto full = ledger.mint(at(1s), owner());
    cr_assert(std::get<refusal>(full).ran == ran_state::no);
    cr_assert(std::get<refusal>(full).retry_after > 0us);
    ledger.renew_own_lease(at(1'000s));
    cr_assert(std::holds_alternative<refusal>(ledger.submit(at(20s), by_key(timed_key(19s, 1)))));
    cr_assert(!send(ledger, at(20s), first));
}

Test(once_ledger, bounds_its_bytes_and_drops_the_body_of_large_answers)
{
    once_ledger_options options = ledger_options(1);
    options.max_bytes = 100'000;
    once_ledger ledger(options);
    std::string last;
    for (std::string ticket = mint(ledger, at(0s)); !ticket.empty(); ticket = mint(ledger, at(0s))) {
        const call_serial serial = run_serial(ledger.submit(at(0s), by_ticket(ticket)));
        cr_assert(ledger.sending(at(0s), serial));
        ledger.answered(at(0s), serial, {200, "text/plain", std::string(5'000, 'x'), true});
        cr_assert(ledger.bytes() <= options.max_bytes);
        last = ticket;
    }
    cr_assert(ledger.size() > 100);
    const once_outcome replay = ledger.submit(at(1s), by_ticket(last));
    cr_assert(!std::get<once_replay>(replay).answer.body_kept);
    ledger.tick(at(3600s));
    cr_assert(ledger.size() == 0);
    cr_assert(ledger.bytes() == 0);
}

Test(uuid_time, returns_the_time_of_version_7_uuids_only)
{
    cr_assert(uuid_v7_time(timed_key(90s, 3)) == wall_start + 90s);
    cr_assert(!uuid_v7_time("018bcfe5-6800-4000-8000-000000000000"), "version 4");
    cr_assert(!uuid_v7_time("018bcfe5-6800-7000-8000-00000000000g"));
    cr_assert(!uuid_v7_time("018bcfe5+6800-7000-8000-000000000000"));
    cr_assert(!uuid_v7_time("order 17"));
}

Test(key_home, reports_another_home_until_propagation_only_for_moved_keys)
{
    const route_id route("slots");
    key_home home({.self = upstream_id("b1")});
    home.adopt(at(0s), route, {upstream_id("b1"), upstream_id("b2"), upstream_id("b3")});
    home.adopt(at(100s), route, {upstream_id("b1"), upstream_id("b2")});
    int moved = 0;
    int stayed = 0;
    for (std::uint64_t i = 0; i < 300; ++i) {
        const std::uint64_t key = home_hash(route, client_account_id("a"), std::to_string(i));
        if (!home.is_home(route, key)) {
            continue;
        }
        const instant until = *home.other_home_until(route, key);
        const auto before = home_of(key, {upstream_id("b1"), upstream_id("b2"), upstream_id("b3")});
        cr_assert(until == (before == upstream_id("b1") ? at(11s) : at(111s)));
        ++(before == upstream_id("b1") ? stayed : moved);
    }
    cr_assert(moved > 20 && stayed > 60);
}

Test(key_home, bounds_its_views_and_treats_a_dropped_view_as_a_move_of_every_key)
{
    const route_id route("slots");
    key_home home({.self = upstream_id("b1"), .max_views = 2});
    for (int i = 0; i < 6; ++i) {
        home.adopt(at(100s * i), route, {upstream_id("b1"), upstream_id("x" + std::to_string(i))});
    }
    for (std::uint64_t key = 0; key < 100; ++key) {
        cr_assert(*home.other_home_until(route, key) >= at(311s));
    }
}
