#include "dragonflymill/once/once_ledger.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"
#include "dragonflymill/once/uuid_time.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Bytes of one remembered call without its answer: the entry, its places in both maps and in the queue.
constexpr std::size_t call_bytes = 384;
/// Bytes of an answer without its texts.
constexpr std::size_t answer_bytes = 128;
/// Shortest and longest retry time when the ledger is full.
constexpr duration shortest_retry = 100ms;
constexpr duration longest_retry = 5s;

auto size_of(const once_answer& answer) -> std::size_t
{
    return answer.content_type.size() + answer.body.size();
}

auto wrong_owner() -> error
{
    return {error_kind::unauthorized, "the ticket belongs to another account, route or upstream",
            "use it for the call that it was issued for"};
}

auto other_body() -> error
{
    return {error_kind::conflict, "this ticket or idempotency key was used with another body",
            "repeat the first body, or take a new key for a new call"};
}

} // namespace

once_ledger::once_ledger(once_ledger_options options)
    : options_(std::move(options))
    , codec_(options_.ticket_key)
    , own_since_(options_.started + options_.predecessor_lease)
{
}

auto once_ledger::full() const -> bool
{
    const std::size_t reservation = call_bytes + answer_bytes + options_.max_answer_bytes;
    return calls_.size() >= options_.max_calls || bytes_ + reservation > options_.max_bytes;
}

auto once_ledger::refuse_full(instant now) const -> refusal
{
    const duration next = due_.empty() ? longest_retry : due_.top().first - awake(now);
    return {refusal_code::overloaded, ran_state::no, std::clamp(next, shortest_retry, longest_retry),
            "the ledger of calls that may not be repeated is full; come back after retry_after"};
}

auto once_ledger::add(duration remember_for) -> call_serial
{
    const call_serial serial(next_serial_++);
    entry& held = calls_[serial];
    held.remember_for = remember_for;
    set_bytes(held, call_bytes + answer_bytes + options_.max_answer_bytes);
    return serial;
}

auto once_ledger::mint(instant now, const call_owner& owner) -> std::variant<once_minted, refusal>
{
    tick(now);
    if (full()) {
        return refuse_full(now);
    }
    const call_serial serial = add(owner.remember_for);
    const instant submit_by = now + options_.submit_term;
    set_due(serial, calls_[serial], awake(submit_by));
    const ticket minted{options_.upstream, owner.route, owner.account, options_.self, serial, submit_by};
    return once_minted{codec_.encode(minted), serial, options_.submit_term};
}

auto once_ledger::look(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    if (known.settled) {
        return *known.settled;
    }
    if (!known.serial && full()) {
        return refuse_full(now);
    }
    return once_run{known.serial.value_or(call_serial{})};
}

auto once_ledger::submit(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    // Guarded failure: the caller's retry reaches another gateway, or this sidecar's successor, and a booking
    // is made twice. Only a call that is provably new here gets past this line, and it is recorded before its
    // first byte leaves, so that every later try finds it.
    const bool malformed = known.settled && std::holds_alternative<error>(*known.settled);
    if ((guard_holds(guard::at_most_once) || malformed) && known.settled) {
        return *known.settled;
    }
    if (!known.serial && full()) {
        return refuse_full(now);
    }
    return once_run{record(call, known.serial)};
}

auto once_ledger::record(const once_call& call, std::optional<call_serial> serial) -> call_serial
{
    const call_serial recorded = serial ? *serial : add(call.owner.remember_for);
    entry& held = calls_[recorded];
    held.state = call_state::recorded;
    held.body = call.body;
    held.remember_for = call.owner.remember_for;
    held.due = instant::max();
    if (std::holds_alternative<key_name>(call.name)) {
        held.has_key = true;
        held.key = key_digest(call);
        keys_[held.key] = recorded;
    }
    return recorded;
}

auto once_ledger::find(instant now, const once_call& call) const -> known_call
{
    if (const auto* name = std::get_if<ticket_name>(&call.name)) {
        return find_ticket(call, *name);
    }
    return find_key(now, call, std::get<key_name>(call.name));
}

auto once_ledger::find_ticket(const once_call& call, const ticket_name& name) const -> known_call
{
    const result<ticket> decoded = codec_.decode(name.text);
    if (!decoded) {
        return {std::nullopt, decoded.error()};
    }
    const ticket& value = decoded.value();
    const bool ours = value.upstream == options_.upstream && value.route == call.owner.route &&
                      value.account == call.owner.account;
    if (!ours) {
        return {std::nullopt, wrong_owner()};
    }
    // No clock and no store is asked what the other incarnation did: it alone knows, and if it lives, paused,
    // it may still send.
    if (value.issuer != options_.self) {
        return {std::nullopt, once_unknown{unknown_reason::other_incarnation}};
    }
    const auto found = calls_.find(value.serial);
    if (found == calls_.end()) {
        return {std::nullopt, once_unknown{unknown_reason::forgotten}};
    }
    return {value.serial, settled_of(value.serial, found->second, call)};
}

auto once_ledger::find_key(instant now, const once_call& call, const key_name& name) const -> known_call
{
    const auto found = keys_.find(key_digest(call));
    if (found != keys_.end()) {
        return {found->second, settled_of(found->second, calls_.at(found->second), call)};
    }
    if (!name.is_home) {
        return {std::nullopt, once_unknown{unknown_reason::not_home}};
    }
    if (!may_run_keys(now)) {
        return {std::nullopt, once_unknown{unknown_reason::no_lease}};
    }
    if (!provably_first(now, call.owner, name)) {
        return {std::nullopt, once_unknown{unknown_reason::maybe_earlier}};
    }
    return {};
}

auto once_ledger::settled_of(call_serial serial, const entry& held, const once_call& call)
    -> std::optional<once_outcome>
{
    if (held.body && call.body && *held.body != *call.body) {
        return other_body();
    }
    switch (held.state) {
    case call_state::minted:
        return std::nullopt;
    case call_state::recorded:
    case call_state::sent:
        return once_join{serial};
    case call_state::answered:
        return once_replay{*held.answer};
    case call_state::broken:
        return once_unknown{unknown_reason::broken};
    case call_state::dead:
        return once_not_run{};
    }
    return std::nullopt;
}

auto once_ledger::provably_first(instant now, const call_owner& owner, const key_name& name) const -> bool
{
    // The last moment at which a predecessor of this sidecar, or another home, could have taken the key.
    const instant since = std::max(own_since_, name.other_home_until.value_or(own_since_));
    const auto made = uuid_v7_time(name.key);
    // Civil time is this process's at its start, carried on by its monotonic clock: a clock that is set later
    // changes nothing.
    const wall_instant wall_now = options_.started_wall + (now - options_.started);
    const bool from_the_future = made && *made > wall_now + options_.clock_skew;
    if (made && !from_the_future) {
        const wall_instant wall_since = options_.started_wall + (since - options_.started);
        // Made so long ago that its outcome may have been forgotten already: first or repeated, who can tell.
        const bool still_remembered = *made > wall_now + options_.clock_skew - owner.remember_for;
        return still_remembered && *made > wall_since + options_.clock_skew;
    }
    // Awake time, as in account_for_process_pause(): a retry may have waited in a socket for as long as the
    // pause.
    return awake(now) > since + owner.remember_for;
}

auto once_ledger::may_run_keys(instant now) const -> bool
{
    return own_lease_ && now < *own_lease_;
}

auto once_ledger::key_digest(const once_call& call) -> call_digest
{
    const std::string& key = std::get<key_name>(call.name).key;
    return digest_of({call.owner.account.text(), call.owner.route.text(), key});
}

auto once_ledger::sending(instant now, call_serial serial) -> bool
{
    const auto found = calls_.find(serial);
    if (found == calls_.end() || found->second.state != call_state::recorded) {
        return false;
    }
    entry& held = found->second;
    // Guarded failure: this process was paused after it took a call by key, its successor has waited out its
    // lease and may have run the caller's retry. The lease is looked at again, just before the first byte.
    if (guard_holds(guard::at_most_once) && held.has_key && !may_run_keys(now)) {
        return false;
    }
    held.state = call_state::sent;
    return true;
}

auto once_ledger::withdraw(instant now, call_serial serial) -> bool
{
    const auto found = calls_.find(serial);
    if (found == calls_.end()) {
        return false;
    }
    entry& held = found->second;
    const bool unsent = held.state == call_state::recorded || held.state == call_state::minted;
    // Without the own lease a successor may have run the key once its promise to remember was over.
    if (unsent && held.has_key && !may_run_keys(now)) {
        settle(now, serial, held, call_state::broken);
        return false;
    }
    if (unsent) {
        // Dead, not free again: the caller is told `no` now, and a late copy of this try must not make it a
        // lie.
        settle(now, serial, held, call_state::dead);
    }
    return held.state == call_state::dead;
}

void once_ledger::answered(instant now, call_serial serial, once_answer answer)
{
    const auto found = calls_.find(serial);
    if (found == calls_.end()) {
        return;
    }
    entry& held = found->second;
    if (held.state == call_state::answered) {
        return; // the first answer is the one that other tries may have been given
    }
    const bool awaited = held.state == call_state::sent || held.state == call_state::broken;
    DRAGONFLYMILL_ASSERT(awaited, "only what was sent gets an answer");
    if (size_of(answer) > options_.max_answer_bytes) {
        answer = {answer.status, {}, {}, false};
    }
    held.answer = std::make_unique<once_answer>(std::move(answer));
    settle(now, serial, held, call_state::answered);
}

void once_ledger::broken(instant now, call_serial serial)
{
    const auto found = calls_.find(serial);
    if (found != calls_.end() && found->second.state == call_state::sent) {
        settle(now, serial, found->second, call_state::broken);
    }
}

auto once_ledger::void_call(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    if (known.settled) {
        return *known.settled;
    }
    if (!known.serial && full()) {
        return once_unknown{unknown_reason::maybe_earlier};
    }
    const call_serial serial = record(call, known.serial);
    settle(now, serial, calls_[serial], call_state::dead);
    return once_not_run{};
}

auto once_ledger::status(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    return known.settled.value_or(once_pending{});
}

void once_ledger::set_bytes(entry& held, std::size_t bytes)
{
    bytes_ += bytes;
    bytes_ -= held.bytes;
    held.bytes = bytes;
}

void once_ledger::set_due(call_serial serial, entry& held, instant due)
{
    held.due = due;
    due_.emplace(due, serial);
}

void once_ledger::settle(instant now, call_serial serial, entry& held, call_state state)
{
    held.state = state;
    switch (state) {
    case call_state::answered:
        set_bytes(held, call_bytes + answer_bytes + size_of(*held.answer));
        break;
    case call_state::dead:
        set_bytes(held, call_bytes);
        break;
    default:
        break;
    }
    set_due(serial, held, awake(now) + held.remember_for);
}

void once_ledger::account_for_process_pause(instant now)
{
    // Guarded failure: this process was paused until outcomes were over, and then finds a retry in its
    // sockets that was sent in time: the key would pass for new and run again, or be said to be not run.
    if (last_call_ && now - *last_call_ > options_.pause_threshold) {
        paused_ += now - *last_call_;
    }
    last_call_ = now;
}

void once_ledger::tick(instant now)
{
    account_for_process_pause(now);
    while (!due_.empty() && due_.top().first <= awake(now)) {
        const auto [due, serial] = due_.top();
        due_.pop();
        const auto found = calls_.find(serial);
        // A call that was settled again since has a later item in the queue.
        if (found == calls_.end() || found->second.due != due) {
            continue;
        }
        if (found->second.state == call_state::minted) {
            settle(now, serial, found->second, call_state::dead);
        }
        else {
            forget(serial);
        }
    }
}

void once_ledger::forget(call_serial serial)
{
    const auto found = calls_.find(serial);
    bytes_ -= found->second.bytes;
    if (found->second.has_key) {
        keys_.erase(found->second.key);
    }
    calls_.erase(found);
}

} // namespace dragonflymill
