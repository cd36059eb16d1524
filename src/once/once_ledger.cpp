#include "dragonflymill/once/once_ledger.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"
#include "dragonflymill/once/uuid_time.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Size in bytes of a remembered call without its answer: the entry, its nodes in both maps and in the queue.
constexpr std::size_t call_bytes = 384;
/// Size in bytes of an answer without its texts.
constexpr std::size_t answer_bytes = 128;
/// Minimum and maximum `retry_after` when the ledger is full.
constexpr duration min_retry_after = 100ms;
constexpr duration max_retry_after = 5s;

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
    , exclusive_since_(options_.started + options_.predecessor_lease)
{
}

auto once_ledger::full() const -> bool
{
    const std::size_t reservation = call_bytes + answer_bytes + options_.max_answer_bytes;
    return calls_.size() >= options_.max_calls || bytes_ + reservation > options_.max_bytes;
}

auto once_ledger::refuse_full(instant now) const -> refusal
{
    const duration next =
        expiry_queue_.empty() ? max_retry_after : expiry_queue_.top().first - active_time(now);
    return {refusal_code::overloaded, ran_state::no, std::clamp(next, min_retry_after, max_retry_after),
            "the ledger of calls that may not be repeated is full; come back after retry_after"};
}

auto once_ledger::add(duration remember_for) -> call_serial
{
    const call_serial serial(next_serial_++);
    entry& stored = calls_[serial];
    stored.remember_for = remember_for;
    set_bytes(stored, call_bytes + answer_bytes + options_.max_answer_bytes);
    return serial;
}

auto once_ledger::mint(instant now, const call_owner& owner) -> std::variant<once_minted, refusal>
{
    tick(now);
    if (full()) {
        return refuse_full(now);
    }
    const call_serial serial = add(owner.remember_for);
    const instant submit_by = now + options_.submit_timeout;
    set_expiry(serial, calls_[serial], active_time(submit_by));
    const ticket minted{options_.upstream, owner.route, owner.account, options_.self, serial, submit_by};
    return once_minted{codec_.encode(minted), serial, options_.submit_timeout};
}

auto once_ledger::look(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    if (known.outcome) {
        return *known.outcome;
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
    // Guards against running a call twice when the caller's retry arrives through another gateway or at this
    // sidecar's successor. Only a call that is provably new here passes this check, and it is recorded before
    // its first byte is sent, so every later attempt finds it.
    const bool malformed = known.outcome && std::holds_alternative<error>(*known.outcome);
    if ((guard_holds(guard::at_most_once) || malformed) && known.outcome) {
        return *known.outcome;
    }
    if (!known.serial && full()) {
        return refuse_full(now);
    }
    return once_run{record(call, known.serial)};
}

auto once_ledger::record(const once_call& call, std::optional<call_serial> serial) -> call_serial
{
    const call_serial recorded = serial ? *serial : add(call.owner.remember_for);
    entry& stored = calls_[recorded];
    stored.state = call_state::recorded;
    stored.body = call.body;
    stored.remember_for = call.owner.remember_for;
    stored.expires_at = instant::max();
    if (std::holds_alternative<key_name>(call.name)) {
        stored.has_key = true;
        stored.key = key_digest(call);
        keys_[stored.key] = recorded;
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
    // Neither a clock nor a store can show what the other incarnation did: only it knows, and if it is merely
    // paused, it may still send the call.
    if (value.issuer != options_.self) {
        return {std::nullopt, once_unknown{unknown_reason::other_incarnation}};
    }
    const auto found = calls_.find(value.serial);
    if (found == calls_.end()) {
        return {std::nullopt, once_unknown{unknown_reason::forgotten}};
    }
    return {value.serial, outcome_of(value.serial, found->second, call)};
}

auto once_ledger::find_key(instant now, const once_call& call, const key_name& name) const -> known_call
{
    const auto found = keys_.find(key_digest(call));
    if (found != keys_.end()) {
        return {found->second, outcome_of(found->second, calls_.at(found->second), call)};
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

auto once_ledger::outcome_of(call_serial serial, const entry& stored, const once_call& call)
    -> std::optional<once_outcome>
{
    if (stored.body && call.body && *stored.body != *call.body) {
        return other_body();
    }
    switch (stored.state) {
    case call_state::minted:
        return std::nullopt;
    case call_state::recorded:
    case call_state::sent:
        return once_join{serial};
    case call_state::answered:
        return once_replay{*stored.answer};
    case call_state::broken:
        return once_unknown{unknown_reason::broken};
    case call_state::revoked:
        return once_not_run{};
    }
    return std::nullopt;
}

auto once_ledger::provably_first(instant now, const call_owner& owner, const key_name& name) const -> bool
{
    // The last time at which a predecessor of this sidecar, or another home, may have accepted the key.
    const instant since = std::max(exclusive_since_, name.other_home_until.value_or(exclusive_since_));
    const auto made = uuid_v7_time(name.key);
    // The wall clock is read once at the start and advanced by the monotonic clock, so later adjustments of
    // the wall clock have no effect.
    const wall_instant wall_now = options_.started_wall + (now - options_.started);
    const bool from_the_future = made && *made > wall_now + options_.clock_skew;
    if (made && !from_the_future) {
        const wall_instant wall_since = options_.started_wall + (since - options_.started);
        // The outcome of an older key may have expired already, so a first attempt cannot be told from a
        // retry.
        const bool still_remembered = *made > wall_now + options_.clock_skew - owner.remember_for;
        return still_remembered && *made > wall_since + options_.clock_skew;
    }
    // Active time, as in account_for_process_pause(): a retry may have been queued in a socket for the whole
    // pause.
    return active_time(now) > since + owner.remember_for;
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
    entry& stored = found->second;
    // Guards against running a call twice when this process was paused after it accepted a call by key: its
    // lease has expired and a successor may have run the caller's retry. The lease is checked again just
    // before the first byte is sent.
    if (guard_holds(guard::at_most_once) && stored.has_key && !may_run_keys(now)) {
        return false;
    }
    stored.state = call_state::sent;
    return true;
}

auto once_ledger::withdraw(instant now, call_serial serial) -> bool
{
    const auto found = calls_.find(serial);
    if (found == calls_.end()) {
        return false;
    }
    entry& stored = found->second;
    const bool unsent = stored.state == call_state::recorded || stored.state == call_state::minted;
    // Without its lease, a successor may have run the key after `remember_for` had passed.
    if (unsent && stored.has_key && !may_run_keys(now)) {
        settle(now, serial, stored, call_state::broken);
        return false;
    }
    if (unsent) {
        // The call is revoked rather than removed: the caller receives ran `no`, and a late copy of this
        // attempt must not run after that.
        settle(now, serial, stored, call_state::revoked);
    }
    return stored.state == call_state::revoked;
}

void once_ledger::answered(instant now, call_serial serial, once_answer answer)
{
    const auto found = calls_.find(serial);
    if (found == calls_.end()) {
        return;
    }
    entry& stored = found->second;
    if (stored.state == call_state::answered) {
        return; // other attempts may have received the first answer already
    }
    const bool expected = stored.state == call_state::sent || stored.state == call_state::broken;
    DRAGONFLYMILL_ASSERT(expected, "an answer requires a call that was sent");
    if (size_of(answer) > options_.max_answer_bytes) {
        answer = {answer.status, {}, {}, false};
    }
    stored.answer = std::make_unique<once_answer>(std::move(answer));
    settle(now, serial, stored, call_state::answered);
}

void once_ledger::broken(instant now, call_serial serial)
{
    const auto found = calls_.find(serial);
    if (found != calls_.end() && found->second.state == call_state::sent) {
        settle(now, serial, found->second, call_state::broken);
    }
}

auto once_ledger::revoke_call(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    if (known.outcome) {
        return *known.outcome;
    }
    if (!known.serial && full()) {
        return once_unknown{unknown_reason::maybe_earlier};
    }
    const call_serial serial = record(call, known.serial);
    settle(now, serial, calls_[serial], call_state::revoked);
    return once_not_run{};
}

auto once_ledger::status(instant now, const once_call& call) -> once_outcome
{
    tick(now);
    const known_call known = find(now, call);
    return known.outcome.value_or(once_pending{});
}

void once_ledger::set_bytes(entry& stored, std::size_t bytes)
{
    bytes_ += bytes;
    bytes_ -= stored.bytes;
    stored.bytes = bytes;
}

void once_ledger::set_expiry(call_serial serial, entry& stored, instant expires_at)
{
    stored.expires_at = expires_at;
    expiry_queue_.emplace(expires_at, serial);
}

void once_ledger::settle(instant now, call_serial serial, entry& stored, call_state state)
{
    stored.state = state;
    switch (state) {
    case call_state::answered:
        set_bytes(stored, call_bytes + answer_bytes + size_of(*stored.answer));
        break;
    case call_state::revoked:
        set_bytes(stored, call_bytes);
        break;
    default:
        break;
    }
    set_expiry(serial, stored, active_time(now) + stored.remember_for);
}

void once_ledger::account_for_process_pause(instant now)
{
    // Guards against a pause of this process that outlasts remembered outcomes: a retry that was sent in time
    // is still queued in its sockets, and its key would be treated as new and run again, or be reported as
    // not run.
    if (last_call_ && now - *last_call_ > options_.pause_threshold) {
        paused_time_ += now - *last_call_;
    }
    last_call_ = now;
}

void once_ledger::tick(instant now)
{
    account_for_process_pause(now);
    while (!expiry_queue_.empty() && expiry_queue_.top().first <= active_time(now)) {
        const auto [expires_at, serial] = expiry_queue_.top();
        expiry_queue_.pop();
        const auto found = calls_.find(serial);
        // A call that was settled again has a later item in the queue.
        if (found == calls_.end() || found->second.expires_at != expires_at) {
            continue;
        }
        if (found->second.state == call_state::minted) {
            settle(now, serial, found->second, call_state::revoked);
        }
        else {
            erase_call(serial);
        }
    }
}

void once_ledger::erase_call(call_serial serial)
{
    const auto found = calls_.find(serial);
    bytes_ -= found->second.bytes;
    if (found->second.has_key) {
        keys_.erase(found->second.key);
    }
    calls_.erase(found);
}

} // namespace dragonflymill
