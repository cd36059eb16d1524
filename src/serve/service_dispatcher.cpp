#include "dragonflymill/serve/service_dispatcher.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// A sidecar that has just started, or a bundle that is still being distributed, settles within this time.
constexpr duration keyed_retry_after = 5s;
constexpr duration default_remember_for = std::chrono::minutes(10);

auto unknown_refusal(unknown_reason why) -> refusal
{
    constexpr auto check_status_remedy =
        "ask for its status, or look into the service's own records, before trying again";
    switch (why) {
    case unknown_reason::other_incarnation:
        return {refusal_code::ticket_unknown, ran_state::unknown, duration::zero(), check_status_remedy};
    case unknown_reason::broken:
        return {refusal_code::upstream_gone, ran_state::unknown, duration::zero(), check_status_remedy};
    case unknown_reason::not_home:
    case unknown_reason::no_lease:
        return {refusal_code::ticket_unknown, ran_state::unknown, keyed_retry_after,
                "try again with the same key"};
    case unknown_reason::forgotten:
    case unknown_reason::maybe_earlier:
        return {refusal_code::ticket_unknown, ran_state::unknown, duration::zero(),
                "take a ticket, or a key of UUID version 7, so that a retry can be told from a first try"};
    }
    return {refusal_code::internal, ran_state::unknown, duration::zero(), check_status_remedy};
}

auto not_run_refusal() -> refusal
{
    return {refusal_code::cancelled, ran_state::no, duration::zero(),
            "it never ran; use a new ticket or key"};
}

auto error_refusal(const error& failure) -> refusal
{
    const bool other_body = failure.kind() == error_kind::conflict;
    const auto code = other_body ? refusal_code::conflict : refusal_code::internal;
    return {code, ran_state::no, duration::zero(), failure.text()};
}

} // namespace

auto refusal_before_sending(bool never_will_run) -> refusal
{
    if (!never_will_run) {
        return unknown_refusal(unknown_reason::no_lease);
    }
    return {refusal_code::deadline, ran_state::no, duration::zero(), "allow more time"};
}

auto service_dispatcher::once_call_of(const service_spec& spec) const -> once_call
{
    const auto body = digest_of({spec.method, spec.target, spec.content_type, spec.body});
    const call_owner owner{spec.route, spec.account, remember_for(spec.route)};
    if (!spec.ticket.empty()) {
        return {owner, ticket_name{spec.ticket}, body};
    }
    const auto key = home_hash(spec.route, spec.account, spec.idempotency_key);
    const key_name name{spec.idempotency_key, homes_.is_home(spec.route, key),
                        homes_.other_home_until(spec.route, key)};
    return {owner, name, body};
}

auto service_dispatcher::remember_for(const route_id& route) const -> duration
{
    const auto found = retention_.find(route);
    return found == retention_.end() ? default_remember_for : found->second;
}

void service_dispatcher::routes_changed(instant now, const std::vector<sidecar_input::route_view>& routes)
{
    retention_.clear();
    for (const auto& view : routes) {
        homes_.adopt(now, view.route, view.upstreams);
        retention_.emplace(view.route, view.remember_for);
    }
}

service_dispatcher::service_dispatcher(permit_controller& gate, once_ledger& ledger, const upstream_id& self)
    : gate_(gate)
    , ledger_(ledger)
    , homes_(key_home_options{.self = self})
{
}

void service_dispatcher::ticket_asked(instant now, const sidecar_input::ticket_requested& input,
                                      std::vector<sidecar_action>& actions)
{
    auto minted = ledger_.mint(now, {input.spec.route, input.spec.account, remember_for(input.spec.route)});
    if (auto* refused = std::get_if<refusal>(&minted)) {
        actions.push_back(sidecar_output::refuse_call{input.call, std::move(*refused)});
        return;
    }
    actions.push_back(sidecar_output::send_ticket{input.call, std::get<once_minted>(minted).text});
}

void service_dispatcher::called(instant now, const sidecar_input::service_called& input,
                                std::vector<sidecar_action>& actions)
{
    const bool named = !input.spec.ticket.empty() || !input.spec.idempotency_key.empty();
    if (named && !input.spec.idempotent) {
        run_once(now, input, actions);
        return;
    }
    if (const auto lease = request_permit(now, input, actions)) {
        run(now, input, std::nullopt, *lease, actions);
    }
}

void service_dispatcher::run_once(instant now, const sidecar_input::service_called& input,
                                  std::vector<sidecar_action>& actions)
{
    const auto call = once_call_of(input.spec);
    const auto before = ledger_.look(now, call);
    if (const auto* join = std::get_if<once_join>(&before)) {
        waiting_.insert_or_assign(input.call, waiting_call{join->serial, now + input.spec.remaining});
        return;
    }
    if (!std::holds_alternative<once_run>(before)) {
        reply(before, input.call, actions);
        return;
    }
    // The permit comes first: without one nothing is recorded, and "not run" stays true for this ticket or
    // key.
    const auto lease = request_permit(now, input, actions);
    if (!lease) {
        return;
    }
    const auto outcome = ledger_.submit(now, call);
    const auto* granted = std::get_if<once_run>(&outcome);
    if (granted == nullptr) {
        gate_.done(now, *lease, work_outcome::cancelled);
        reply(outcome, input.call, actions);
        return;
    }
    run(now, input, granted->serial, *lease, actions);
}

auto service_dispatcher::request_permit(instant now, const sidecar_input::service_called& input,
                                        std::vector<sidecar_action>& actions) -> std::optional<lease_id>
{
    const auto answer = gate_.ask(now, permit_request{input.spec.gateway, length_class::interactive, 1, 0});
    if (const auto* refused = std::get_if<refusal>(&answer)) {
        actions.push_back(sidecar_output::refuse_call{input.call, *refused});
        return std::nullopt;
    }
    return std::get<permit>(answer).lease;
}

void service_dispatcher::run(instant now, const sidecar_input::service_called& input,
                             std::optional<call_serial> serial, lease_id lease,
                             std::vector<sidecar_action>& actions)
{
    const deadline_budget limit(now, input.spec.remaining);
    const bool may_send =
        !limit.expired(now) && gate_.begin(now, lease) && (!serial || ledger_.sending(now, *serial));
    if (!may_send) {
        const bool never_will_run = !serial || ledger_.withdraw(now, *serial);
        gate_.done(now, lease, work_outcome::cancelled);
        actions.push_back(sidecar_output::refuse_call{input.call, refusal_before_sending(never_will_run)});
        return;
    }
    const bool is_new = running_.emplace(input.call, running_call{lease, serial}).second;
    DRAGONFLYMILL_ASSERT(is_new, "call numbers are unique");
    // A ticket is run only by the sidecar incarnation that issued it, whoever has its address now; a key may
    // also be run by a successor, so its call must start within this sidecar's own lease.
    const bool by_key = serial && input.spec.ticket.empty();
    const auto not_after = by_key ? std::min(limit.end(), ledger_.own_lease()) : limit.end();
    actions.push_back(sidecar_output::run_service{input.call, input.spec, not_after, limit.remaining(now)});
}

void service_dispatcher::status_asked(instant now, const sidecar_input::status_requested& input,
                                      std::vector<sidecar_action>& actions)
{
    auto call = once_call_of(input.spec);
    // Guards against a false "not run": a status request has no body, or another one than the call, and would
    // look like a second call under the same ticket or key. Without a body the ledger finds the call by its
    // name alone.
    call.body.reset();
    reply(ledger_.status(now, call), input.call, actions);
}

void service_dispatcher::answered(instant now, const sidecar_input::service_answered& input,
                                  std::vector<sidecar_action>& actions)
{
    const auto entry = running_.find(input.call);
    if (entry == running_.end()) {
        return;
    }
    gate_.first_token(now, entry->second.lease);
    gate_.done(now, entry->second.lease, work_outcome::success);
    if (entry->second.caller_waits) {
        actions.push_back(sidecar_output::answer_service{input.call, input.answer, false});
    }
    if (entry->second.serial) {
        ledger_.answered(now, *entry->second.serial, input.answer);
        reply_to_waiting(*entry->second.serial, once_replay{input.answer}, actions);
    }
    running_.erase(entry);
}

void service_dispatcher::broken(instant now, const sidecar_input::service_failed& input,
                                std::vector<sidecar_action>& actions)
{
    const auto entry = running_.find(input.call);
    if (entry == running_.end()) {
        return;
    }
    gate_.done(now, entry->second.lease, work_outcome::failed);
    // A call that the ledger allowed to be sent is never reported as "not run", even if the shell knows that
    // no byte was sent: the ledger has already answered later attempts that it may have run.
    const bool once = entry->second.serial.has_value();
    const auto ran = input.sent || once ? ran_state::unknown : ran_state::no;
    auto why = unknown_refusal(unknown_reason::broken);
    why.ran = ran;
    if (entry->second.caller_waits) {
        actions.push_back(sidecar_output::refuse_call{input.call, why});
    }
    if (once) {
        ledger_.broken(now, *entry->second.serial);
        reply_to_waiting(*entry->second.serial, once_unknown{unknown_reason::broken}, actions);
    }
    running_.erase(entry);
}

void service_dispatcher::cancelled(call_number call)
{
    waiting_.erase(call);
    const auto entry = running_.find(call);
    if (entry != running_.end()) {
        entry->second.caller_waits = false;
    }
}

void service_dispatcher::tick(instant now, std::vector<sidecar_action>& actions)
{
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        actions.push_back(
            sidecar_output::refuse_call{it->first,
                                        {refusal_code::deadline, ran_state::unknown, duration::zero(),
                                         "it is still running; ask for its status"}});
        it = waiting_.erase(it);
    }
}

void service_dispatcher::reply(const once_outcome& outcome, call_number call,
                               std::vector<sidecar_action>& actions)
{
    if (const auto* replay = std::get_if<once_replay>(&outcome)) {
        actions.push_back(sidecar_output::answer_service{call, replay->answer, true});
    }
    else if (const auto* refused = std::get_if<refusal>(&outcome)) {
        actions.push_back(sidecar_output::refuse_call{call, *refused});
    }
    else if (const auto* unknown = std::get_if<once_unknown>(&outcome)) {
        actions.push_back(sidecar_output::refuse_call{call, unknown_refusal(unknown->why)});
    }
    else if (std::holds_alternative<once_not_run>(outcome)) {
        actions.push_back(sidecar_output::refuse_call{call, not_run_refusal()});
    }
    else if (const auto* failure = std::get_if<error>(&outcome)) {
        actions.push_back(sidecar_output::refuse_call{call, error_refusal(*failure)});
    }
    else {
        actions.push_back(sidecar_output::report_running{call});
    }
}

void service_dispatcher::reply_to_waiting(call_serial serial, const once_outcome& outcome,
                                          std::vector<sidecar_action>& actions)
{
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->second.serial != serial) {
            ++it;
            continue;
        }
        reply(outcome, it->first, actions);
        it = waiting_.erase(it);
    }
}

} // namespace dragonflymill
