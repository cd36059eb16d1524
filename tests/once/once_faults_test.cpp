#include "dragonflymill/once/key_home.h"
#include "once/once_fixture.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

const once_answer booked{201, "application/json", R"({"slot":7})"};
const route_id slots("slots");

} // namespace

FAULT_CELL(ticket_issue, message_lost)
{
    // The response with the ticket is lost and the gateway requests another one. The unused ticket expires at
    // the end of its submit timeout, so its reservation is held only briefly.
    once_ledger ledger(ledger_options(1));
    const std::string lost = mint(ledger, at(0s));
    cr_assert(send(ledger, at(1s), by_ticket(mint(ledger, at(1s)))));
    ledger.tick(at(31s));
    cr_assert(ledger.submit(at(32s), by_ticket(lost)) == once_outcome(once_not_run{}));
}

FAULT_CELL(ticket_issue, message_late)
{
    // The ticket reaches the caller after its submit timeout. The late submission is reported as not run, so
    // the caller can safely request a new ticket.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.submit(at(31s), call) == once_outcome(once_not_run{}));
    cr_assert(ledger.submit(at(700s), call) == unknown(unknown_reason::forgotten));
}

FAULT_CELL(ticket_issue, process_dies)
{
    // The sidecar that minted the ticket crashes before it is used. Its successor cannot know whether the
    // call ran, so it reports unknown and never runs it.
    once_ledger old(ledger_options(1));
    const once_call call = by_ticket(mint(old, at(0s)));
    once_ledger successor(ledger_options(2, 5s));
    successor.renew_own_lease(at(1'000s));
    cr_assert(successor.submit(at(6s), call) == unknown(unknown_reason::other_incarnation));
    cr_assert(successor.revoke_call(at(700s), call) == unknown(unknown_reason::other_incarnation));
}

FAULT_CELL(ticket_send, process_dies)
{
    // The gateway crashes after sending a call, and the retry arrives through another gateway. It must join
    // the running call and receive its answer instead of running it again.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    cr_assert(ledger.submit(at(2s), call) == once_outcome(once_join{serial}));
    ledger.answered(at(3s), serial, booked);
    cr_assert(ledger.submit(at(4s), call) == once_outcome(once_replay{booked}));
}

FAULT_CELL_MORE(ticket_send, process_dies, sidecar_with_a_callers_key)
{
    // The sidecar restarts and loses its ledger while the caller's retry is in flight. The predecessor may
    // have run the key, so it is not run again; a key made after the restart is run.
    once_ledger successor(ledger_options(2, 100s));
    successor.renew_own_lease(at(2'000s));
    cr_assert(successor.submit(at(130s), by_key(timed_key(99s, 1))) ==
              unknown(unknown_reason::maybe_earlier));
    cr_assert(successor.submit(at(130s), by_key("order-17")) == unknown(unknown_reason::maybe_earlier));
    cr_assert(send(successor, at(130s), by_key(timed_key(129s, 2))));
    cr_assert(send(successor, at(100s + 10s + 601s), by_key("order-18")));
}

FAULT_CELL(ticket_send, paused_wakes_late)
{
    // The sidecar is paused just before the first byte; meanwhile its successor starts and the caller retries
    // through another gateway. When the old sidecar resumes, it must check its lease again and not send the
    // key.
    once_ledger old(ledger_options(1));
    old.renew_own_lease(at(103s));
    const call_serial serial = run_serial(old.submit(at(100s), by_key(timed_key(99s, 1))));
    cr_assert(serial != call_serial());
    cr_assert(!old.sending(at(700s), serial), "the old sidecar sends a call that its successor may have run");
    cr_assert(!old.withdraw(at(700s), serial), "without a lease it is unknown whether the key has run");
    cr_assert(old.status(at(701s), by_key(timed_key(99s, 1))) == unknown(unknown_reason::broken));
}

FAULT_CELL_MORE(ticket_send, paused_wakes_late, old_sidecar_with_a_new_key)
{
    // An old sidecar resumes beside its successor and receives over an old connection a call that the
    // successor may have run. Its lease has expired, so it reports unknown.
    once_ledger old(ledger_options(1));
    old.renew_own_lease(at(103s));
    cr_assert(old.submit(at(200s), by_key(timed_key(199s, 1))) == unknown(unknown_reason::no_lease));
}

FAULT_CELL(ticket_send, message_doubled)
{
    // The submission is duplicated and the second copy arrives while the first is being sent. The call is
    // sent once.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call ticket = by_ticket(mint(ledger, at(60s)));
    const once_call key = by_key(timed_key(60s, 1));
    cr_assert(send(ledger, at(61s), ticket));
    cr_assert(!send(ledger, at(61s), ticket), "the call is sent twice");
    cr_assert(send(ledger, at(61s), key));
    cr_assert(!send(ledger, at(61s), key), "the call is sent twice");
}

FAULT_CELL(ticket_send, message_lost)
{
    // The submission is lost on the way to the sidecar. The caller revokes the call and receives not run;
    // that must stay true although the gateway submits the call again.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.revoke_call(at(5s), call) == once_outcome(once_not_run{}));
    cr_assert(!send(ledger, at(6s), call), "run after it was reported as not run");
}

FAULT_CELL(ticket_send, message_late)
{
    // A delayed copy of the submission arrives after the call was answered and its entry expired. Neither a
    // ticket nor a key with a timestamp is run again.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(10'000s));
    const once_call ticket = by_ticket(mint(ledger, at(60s)));
    const once_call key = by_key(timed_key(60s, 1));
    for (const once_call& call : {ticket, key}) {
        const call_serial serial = run_serial(ledger.submit(at(61s), call));
        cr_assert(ledger.sending(at(61s), serial));
        ledger.answered(at(62s), serial, booked);
    }
    ledger.tick(at(2'000s));
    cr_assert(ledger.size() == 0);
    cr_assert(ledger.submit(at(2'001s), ticket) == unknown(unknown_reason::forgotten));
    cr_assert(ledger.submit(at(2'001s), key) == unknown(unknown_reason::maybe_earlier));
}

FAULT_CELL(ticket_send, message_reordered)
{
    // The revocation overtakes the submission, which then finds a revoked key.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call call = by_key(timed_key(60s, 1));
    cr_assert(ledger.revoke_call(at(61s), call) == once_outcome(once_not_run{}));
    cr_assert(!send(ledger, at(62s), call));
}

FAULT_CELL(ticket_send, partition)
{
    // A gateway is partitioned from the key's home and the caller retries at another gateway. The home is
    // selected among configured rather than reachable upstreams, so both gateways select the same one.
    const std::vector<upstream_id> configured{upstream_id("b1"), upstream_id("b2"), upstream_id("b3")};
    std::vector<upstream_id> reversed(configured.rbegin(), configured.rend());
    for (std::uint64_t i = 0; i < 100; ++i) {
        const std::uint64_t key = home_hash(slots, client_account_id("a"), std::to_string(i));
        cr_assert(home_of(key, configured) == home_of(key, reversed));
    }
    // An upstream that is not the home never runs the key.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    once_call call = by_key(timed_key(60s, 1));
    std::get<key_name>(call.name).is_home = false;
    cr_assert(ledger.submit(at(61s), call) == unknown(unknown_reason::not_home));
}

FAULT_CELL(ticket_send, config_stale)
{
    // The bundle adds an upstream between two attempts of a caller, and the key's home moves. The new home
    // has no record of the key and reports unknown, because the old home may have run it.
    key_home homes({.self = upstream_id("b4")});
    homes.adopt(at(0s), slots, {upstream_id("b1"), upstream_id("b2")});
    homes.adopt(at(300s), slots, {upstream_id("b1"), upstream_id("b2"), upstream_id("b4")});
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const std::string moved = timed_key(299s, 1);
    const std::string slow_gateway = timed_key(305s, 2);
    const std::string fresh = timed_key(320s, 3);
    const auto call_at_home = [&](const std::string& key) {
        once_call call = by_key(key);
        const std::uint64_t number = home_hash(slots, call.owner.account, key);
        std::get<key_name>(call.name).other_home_until = homes.other_home_until(slots, number);
        return call;
    };
    cr_assert(ledger.submit(at(330s), call_at_home(moved)) == unknown(unknown_reason::maybe_earlier));
    cr_assert(ledger.submit(at(330s), call_at_home(slow_gateway)) == unknown(unknown_reason::maybe_earlier),
              "a gateway without the new bundle may have used the old home");
    cr_assert(send(ledger, at(330s), call_at_home(fresh)));
}

FAULT_CELL(ticket_send, clock_jump)
{
    // A caller's clock is an hour ahead, so its keys have timestamps in the future. They are treated like
    // keys without a timestamp; otherwise a key made before a restart would be treated as new.
    once_ledger successor(ledger_options(2, 100s));
    successor.renew_own_lease(at(5'000s));
    cr_assert(successor.submit(at(130s), by_key(timed_key(3'700s, 1))) ==
              unknown(unknown_reason::maybe_earlier));
}

FAULT_CELL(ticket_send, connection_silent)
{
    // The service stops responding after the first byte. It is unknown whether the call ran, so it is never
    // sent again; a late answer determines its outcome.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.broken(at(11s), serial);
    cr_assert(ledger.submit(at(12s), call) == unknown(unknown_reason::broken));
    cr_assert(!ledger.sending(at(12s), serial));
    ledger.answered(at(20s), serial, booked);
    cr_assert(ledger.submit(at(21s), call) == once_outcome(once_replay{booked}));
}

FAULT_CELL(ticket_answer, message_lost)
{
    // The answer is lost between the sidecar and the gateway. The caller's retry receives the same answer.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call call = by_key(timed_key(60s, 1));
    const call_serial serial = run_serial(ledger.submit(at(61s), call));
    cr_assert(ledger.sending(at(61s), serial));
    ledger.answered(at(62s), serial, booked);
    cr_assert(ledger.submit(at(63s), call) == once_outcome(once_replay{booked}));
    cr_assert(ledger.submit(at(600s), call) == once_outcome(once_replay{booked}));
}

FAULT_CELL(ticket_answer, process_dies)
{
    // The sidecar crashes after the service answered and before the caller receives the answer. The successor
    // must run neither the ticket nor the key again.
    once_ledger old(ledger_options(1));
    old.renew_own_lease(at(100s));
    const once_call ticket = by_ticket(mint(old, at(60s)));
    const once_call key = by_key(timed_key(60s, 1));
    cr_assert(send(old, at(61s), ticket) && send(old, at(61s), key));
    once_ledger successor(ledger_options(2, 62s));
    successor.renew_own_lease(at(5'000s));
    for (const duration later : {70s, 100s, 600s, 900s}) {
        cr_assert(!send(successor, at(later), ticket), "the call runs twice");
        cr_assert(!send(successor, at(later), key), "the call runs twice");
    }
}

FAULT_CELL(ticket_answer, same_twice)
{
    // The sidecar restarts twice while a caller retries. Neither successor runs the call again.
    once_ledger first(ledger_options(1));
    first.renew_own_lease(at(100s));
    const once_call key = by_key(timed_key(60s, 1));
    cr_assert(send(first, at(61s), key));
    once_ledger second(ledger_options(2, 65s));
    once_ledger third(ledger_options(3, 70s));
    second.renew_own_lease(at(1'000s));
    third.renew_own_lease(at(1'000s));
    cr_assert(!send(second, at(80s), key) && !send(third, at(90s), key));
}

FAULT_CELL(ticket_answer, two_faults)
{
    // The service's answer is lost and the waiting gateway crashes. Both the retry and a status query report
    // unknown.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.broken(at(5s), serial);
    cr_assert(ledger.submit(at(6s), call) == unknown(unknown_reason::broken));
    once_call query = call;
    query.body.reset();
    cr_assert(ledger.status(at(7s), query) == unknown(unknown_reason::broken));
}

FAULT_CELL(ticket_status, process_dies)
{
    // The caller queries the status of its call at a restarted sidecar, which must not report not run.
    once_ledger old(ledger_options(1));
    const once_call call = by_ticket(mint(old, at(0s)));
    cr_assert(send(old, at(1s), call));
    once_ledger successor(ledger_options(2, 2s));
    cr_assert(successor.status(at(3s), call) == unknown(unknown_reason::other_incarnation));
    cr_assert(successor.status(at(3s), by_key(timed_key(1s, 1))) == unknown(unknown_reason::no_lease));
}

FAULT_CELL(ticket_status, message_reordered)
{
    // The status query overtakes the submission. Pending does not exclude that the call runs afterwards.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.status(at(1s), call) == once_outcome(once_pending{}));
    cr_assert(send(ledger, at(2s), call));
}

FAULT_CELL(ticket_status, message_late)
{
    // The query arrives after the outcome has expired: unknown, never not run.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.answered(at(2s), serial, booked);
    cr_assert(ledger.status(at(603s), call) == unknown(unknown_reason::forgotten));
}

FAULT_CELL_MORE(ticket_status, paused_wakes_late, retry_in_the_socket)
{
    // The sidecar is paused for longer than the outcome of a call is remembered. The caller's revocation,
    // sent in time, is queued in its socket. It must find the remembered call and not be answered with not
    // run.
    once_ledger_options options = ledger_options(1);
    options.pause_threshold = 1s;
    options.predecessor_lease = 0s;
    once_ledger ledger(options);
    ledger.renew_own_lease(at(100'000s));
    const once_call call = by_key("order-17");
    for (duration t = 0s; t < 601s; t += 500ms) {
        ledger.tick(at(t));
    }
    const call_serial serial = run_serial(ledger.submit(at(601s), call));
    cr_assert(ledger.sending(at(601s), serial));
    ledger.answered(at(601s), serial, booked);
    cr_assert(ledger.revoke_call(at(1'300s), call) == once_outcome(once_replay{booked}));
}

FAULT_CELL(ticket_send, two_faults)
{
    // The sidecar is replaced while a caller's retry is in flight, and the successor is paused for as long as
    // outcomes are remembered. The retry, queued in its socket during the pause, must not be treated as new.
    once_ledger_options options = ledger_options(2);
    options.pause_threshold = 1s;
    once_ledger successor(options);
    successor.tick(at(5s));
    successor.renew_own_lease(at(5'000s));
    cr_assert(successor.submit(at(705s), by_key("order-17")) == unknown(unknown_reason::maybe_earlier));
}

FAULT_CELL(ticket_issue, message_doubled)
{
    // The request for a ticket is duplicated and two tickets are minted. They identify two calls; the caller
    // uses only one.
    once_ledger ledger(ledger_options(1));
    const std::string one = mint(ledger, at(0s));
    const std::string other = mint(ledger, at(0s));
    cr_assert(one != other);
    cr_assert(send(ledger, at(1s), by_ticket(one)));
    cr_assert(ledger.status(at(1s), by_ticket(other)) == once_outcome(once_pending{}));
}

FAULT_CELL(ticket_issue, paused_wakes_late)
{
    // The sidecar is paused for a minute right after it minted a ticket. The caller submitted it in time, and
    // the submission is queued in the sidecar's socket: it runs once when the sidecar resumes.
    once_ledger_options options = ledger_options(1);
    options.pause_threshold = 1s;
    once_ledger ledger(options);
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(send(ledger, at(60s), call));
    cr_assert(!send(ledger, at(60s), call));
}

FAULT_CELL(ticket_send, partition_one_way)
{
    // Submissions reach the sidecar but responses are lost. The caller's retries through two gateways join
    // the running call.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(send(ledger, at(1s), call));
    cr_assert(std::holds_alternative<once_join>(ledger.submit(at(2s), call)));
    cr_assert(std::holds_alternative<once_join>(ledger.submit(at(3s), call)));
}

FAULT_CELL(ticket_answer, message_doubled)
{
    // The service's answer is recorded twice. Later attempts receive the first one, as earlier attempts did.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.answered(at(2s), serial, booked);
    ledger.answered(at(3s), serial, {500, "", "", true});
    cr_assert(ledger.submit(at(4s), call) == once_outcome(once_replay{booked}));
}

FAULT_CELL(ticket_answer, message_late)
{
    // The service answers after the call was abandoned and its entry expired. The answer is dropped, and the
    // call is not run again.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.broken(at(5s), serial);
    ledger.tick(at(700s));
    ledger.answered(at(701s), serial, booked);
    cr_assert(ledger.submit(at(702s), call) == unknown(unknown_reason::forgotten));
}

FAULT_CELL(ticket_status, message_doubled)
{
    // The status query is duplicated. It records nothing, so the call can still be submitted.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call call = by_key(timed_key(60s, 1));
    cr_assert(ledger.status(at(61s), call) == once_outcome(once_pending{}));
    cr_assert(ledger.status(at(61s), call) == once_outcome(once_pending{}));
    cr_assert(ledger.size() == 0);
    cr_assert(send(ledger, at(62s), call));
}
