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
    // The answer with the ticket is lost and the gateway asks for another. Two tickets exist; the caller
    // uses one, the other is never submitted and dies by itself. Nothing is held for it for long.
    once_ledger ledger(ledger_options(1));
    const std::string lost = mint(ledger, at(0s));
    cr_assert(send(ledger, at(1s), by_ticket(mint(ledger, at(1s)))));
    ledger.tick(at(31s));
    cr_assert(ledger.submit(at(32s), by_ticket(lost)) == once_outcome(once_not_run{}));
}

FAULT_CELL(ticket_issue, message_late)
{
    // The ticket reaches the caller after its time to submit is over. The late submission runs nothing and
    // is told so: the caller can take a new ticket without risk.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.submit(at(31s), call) == once_outcome(once_not_run{}));
    cr_assert(ledger.submit(at(700s), call) == unknown(unknown_reason::forgotten));
}

FAULT_CELL(ticket_issue, process_dies)
{
    // The sidecar that minted the ticket dies before it is used. Its successor can't know whether the ticket
    // was run, so it says unknown and never runs it.
    once_ledger old(ledger_options(1));
    const once_call call = by_ticket(mint(old, at(0s)));
    once_ledger successor(ledger_options(2, 5s));
    successor.renew_own_lease(at(1'000s));
    cr_assert(successor.submit(at(6s), call) == unknown(unknown_reason::other_incarnation));
    cr_assert(successor.void_call(at(700s), call) == unknown(unknown_reason::other_incarnation));
}

FAULT_CELL(ticket_send, process_dies)
{
    // A household books logs; the gateway dies after sending, and the retry comes through another gateway.
    // It joins the running call and gets its answer: one van drives up the track.
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
    // The sidecar restarts with an empty memory while the caller's retry is on its way. The key may have run
    // at the old start, so it is not run again; a key made after the restart is.
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
    // The sidecar is paused just before the first byte. Its successor has started, and the caller has been
    // through another gateway. The old one wakes: for a key it looks at its lease again and sends nothing.
    once_ledger old(ledger_options(1));
    old.renew_own_lease(at(103s));
    const call_serial serial = run_serial(old.submit(at(100s), by_key(timed_key(99s, 1))));
    cr_assert(serial != call_serial());
    cr_assert(!old.sending(at(700s), serial), "the old sidecar sends beside its successor");
    cr_assert(!old.withdraw(at(700s), serial), "it can't tell any more whether the key has run");
    cr_assert(old.status(at(701s), by_key(timed_key(99s, 1))) == unknown(unknown_reason::broken));
}

FAULT_CELL_MORE(ticket_send, paused_wakes_late, old_sidecar_with_a_new_key)
{
    // An old sidecar wakes beside its successor, and a gateway with an old connection gives it a call that
    // the successor may have run already. It has no lease any more and says unknown.
    once_ledger old(ledger_options(1));
    old.renew_own_lease(at(103s));
    cr_assert(old.submit(at(200s), by_key(timed_key(199s, 1))) == unknown(unknown_reason::no_lease));
}

FAULT_CELL(ticket_send, message_doubled)
{
    // The submission arrives twice, and the second copy while the first is being sent. One booking.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call ticket = by_ticket(mint(ledger, at(60s)));
    const once_call key = by_key(timed_key(60s, 1));
    cr_assert(send(ledger, at(61s), ticket));
    cr_assert(!send(ledger, at(61s), ticket), "the pigment is reserved twice");
    cr_assert(send(ledger, at(61s), key));
    cr_assert(!send(ledger, at(61s), key), "the pigment is reserved twice");
}

FAULT_CELL(ticket_send, message_lost)
{
    // The submission is lost before the sidecar. The caller asks to have it voided, is told that it was not
    // run, and that stays true although the caller's gateway sends it once more.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.void_call(at(5s), call) == once_outcome(once_not_run{}));
    cr_assert(!send(ledger, at(6s), call), "run after it was said that it never will be");
}

FAULT_CELL(ticket_send, message_late)
{
    // A slow copy of the submission arrives long after the call was answered and forgotten. By ticket and by
    // a key with a time in it that runs nothing.
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
    // The caller's wish to void overtakes the submission. The submission then finds a dead ticket.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call call = by_key(timed_key(60s, 1));
    cr_assert(ledger.void_call(at(61s), call) == once_outcome(once_not_run{}));
    cr_assert(!send(ledger, at(62s), call));
}

FAULT_CELL(ticket_send, partition)
{
    // A gateway is cut off from the key's home and the caller goes to another gateway. The home is chosen
    // among configured upstreams, not reachable ones: both gateways name the same, so no second home runs it.
    const std::vector<upstream_id> configured{upstream_id("b1"), upstream_id("b2"), upstream_id("b3")};
    std::vector<upstream_id> turned(configured.rbegin(), configured.rend());
    for (std::uint64_t i = 0; i < 100; ++i) {
        const std::uint64_t key = home_hash(slots, client_account_id("a"), std::to_string(i));
        cr_assert(home_of(key, configured) == home_of(key, turned));
    }
    // The upstream that is not the home refuses to run it, whoever asks.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    once_call call = by_key(timed_key(60s, 1));
    std::get<key_name>(call.name).is_home = false;
    cr_assert(ledger.submit(at(61s), call) == unknown(unknown_reason::not_home));
}

FAULT_CELL(ticket_send, config_stale)
{
    // The bundle adds an upstream between a caller's two tries and the key's home moves. The new home has
    // never heard of the key; it says unknown, since the old home may have run it.
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
    // A caller's clock runs an hour ahead, and its keys look as if made in the future. They are treated like
    // keys without a time, so that one made before a restart doesn't pass for new.
    once_ledger successor(ledger_options(2, 100s));
    successor.renew_own_lease(at(5'000s));
    cr_assert(successor.submit(at(130s), by_key(timed_key(3'700s, 1))) ==
              unknown(unknown_reason::maybe_earlier));
}

FAULT_CELL(ticket_send, connection_silent)
{
    // The connection to the service goes silent after the first byte. Nobody knows whether the booking was
    // made; it is told as unknown and never sent again, until a late answer settles it.
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
    // The answer is lost between sidecar and gateway, the caller tries again and gets the same answer.
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
    // The sidecar dies after the service answered and before the caller has it. The successor says unknown
    // for the ticket and for the key, and never books again.
    once_ledger old(ledger_options(1));
    old.renew_own_lease(at(100s));
    const once_call ticket = by_ticket(mint(old, at(60s)));
    const once_call key = by_key(timed_key(60s, 1));
    cr_assert(send(old, at(61s), ticket) && send(old, at(61s), key));
    once_ledger successor(ledger_options(2, 62s));
    successor.renew_own_lease(at(5'000s));
    for (const duration later : {70s, 100s, 600s, 900s}) {
        cr_assert(!send(successor, at(later), ticket), "a second van");
        cr_assert(!send(successor, at(later), key), "a second van");
    }
}

FAULT_CELL(ticket_answer, same_twice)
{
    // The sidecar restarts twice while a caller retries. Neither successor runs the call.
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
    // The service's answer is lost and the gateway that waited for it dies. The retry is told unknown; the
    // status look-up says the same until the truth is known.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.broken(at(5s), serial);
    cr_assert(ledger.submit(at(6s), call) == unknown(unknown_reason::broken));
    once_call look = call;
    look.body.reset();
    cr_assert(ledger.status(at(7s), look) == unknown(unknown_reason::broken));
}

FAULT_CELL(ticket_status, process_dies)
{
    // The caller asks a restarted sidecar what became of its booking. It never says not run.
    once_ledger old(ledger_options(1));
    const once_call call = by_ticket(mint(old, at(0s)));
    cr_assert(send(old, at(1s), call));
    once_ledger successor(ledger_options(2, 2s));
    cr_assert(successor.status(at(3s), call) == unknown(unknown_reason::other_incarnation));
    cr_assert(successor.status(at(3s), by_key(timed_key(1s, 1))) == unknown(unknown_reason::no_lease));
}

FAULT_CELL(ticket_status, message_reordered)
{
    // The status look-up overtakes the submission: pending is no promise, and the call runs afterwards.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(ledger.status(at(1s), call) == once_outcome(once_pending{}));
    cr_assert(send(ledger, at(2s), call));
}

FAULT_CELL(ticket_status, message_late)
{
    // The look-up comes after the outcome was forgotten: unknown, never not run.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    const call_serial serial = run_serial(ledger.submit(at(1s), call));
    cr_assert(ledger.sending(at(1s), serial));
    ledger.answered(at(2s), serial, booked);
    cr_assert(ledger.status(at(603s), call) == unknown(unknown_reason::forgotten));
}

FAULT_CELL_MORE(ticket_status, paused_wakes_late, retry_in_the_socket)
{
    // The sidecar is paused until the outcome of a booking is over. The caller's wish to void it, sent in
    // time, waits in its socket. It must find the booking still remembered, not be told that it never ran.
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
    cr_assert(ledger.void_call(at(1'300s), call) == once_outcome(once_replay{booked}));
}

FAULT_CELL(ticket_send, two_faults)
{
    // The sidecar is replaced while a caller's retry is on its way, and the successor is paused for as long
    // as outcomes are remembered. On waking it finds the retry in its socket: old as it looks, it is not new.
    once_ledger_options options = ledger_options(2);
    options.pause_threshold = 1s;
    once_ledger successor(options);
    successor.tick(at(5s));
    successor.renew_own_lease(at(5'000s));
    cr_assert(successor.submit(at(705s), by_key("order-17")) == unknown(unknown_reason::maybe_earlier));
}

FAULT_CELL(ticket_issue, message_doubled)
{
    // The wish for a ticket arrives twice and two are issued. They are two calls; the caller uses one.
    once_ledger ledger(ledger_options(1));
    const std::string one = mint(ledger, at(0s));
    const std::string other = mint(ledger, at(0s));
    cr_assert(one != other);
    cr_assert(send(ledger, at(1s), by_ticket(one)));
    cr_assert(ledger.status(at(1s), by_ticket(other)) == once_outcome(once_pending{}));
}

FAULT_CELL(ticket_issue, paused_wakes_late)
{
    // The sidecar is paused for a minute right after it issued a ticket. The caller submitted it in time, and
    // that waits in the sidecar's socket: it runs, once, when the sidecar wakes.
    once_ledger_options options = ledger_options(1);
    options.pause_threshold = 1s;
    once_ledger ledger(options);
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(send(ledger, at(60s), call));
    cr_assert(!send(ledger, at(60s), call));
}

FAULT_CELL(ticket_send, partition_one_way)
{
    // Submissions reach the sidecar and nothing comes back. The caller's tries through two gateways join the
    // one that runs.
    once_ledger ledger(ledger_options(1));
    const once_call call = by_ticket(mint(ledger, at(0s)));
    cr_assert(send(ledger, at(1s), call));
    cr_assert(std::holds_alternative<once_join>(ledger.submit(at(2s), call)));
    cr_assert(std::holds_alternative<once_join>(ledger.submit(at(3s), call)));
}

FAULT_CELL(ticket_answer, message_doubled)
{
    // The service's answer is handed over twice. Later tries get the first one, as earlier ones did.
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
    // The service answers after the call was given up and forgotten. The answer is dropped, and the call is
    // still not run again.
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
    // The look-up comes twice. It records nothing, so the call can still be submitted.
    once_ledger ledger(ledger_options(1));
    ledger.renew_own_lease(at(1'000s));
    const once_call call = by_key(timed_key(60s, 1));
    cr_assert(ledger.status(at(61s), call) == once_outcome(once_pending{}));
    cr_assert(ledger.status(at(61s), call) == once_outcome(once_pending{}));
    cr_assert(ledger.size() == 0);
    cr_assert(send(ledger, at(62s), call));
}
