#include "dragonflymill/serve/keyed_call_dispatcher.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/once/key_home.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

constexpr std::size_t timers_per_call = 2;
constexpr duration full_retry_after = 500ms;

/// The routing table lists a plain service's upstreams under the name of their route.
auto routing_of(const service_spec& spec, std::vector<upstream_id> excluded) -> route_request
{
    route_request request;
    request.id = spec.request;
    request.model = model_id(spec.route.text());
    request.excluded = std::move(excluded);
    return request;
}

auto kind_of(const gateway_input::service_arrived& asked) -> call_kind
{
    const bool harmless = asked.operation != service_operation::run || asked.spec.idempotent;
    return harmless ? call_kind::idempotent : call_kind::non_repeatable;
}

} // namespace

keyed_call_dispatcher::keyed_call_dispatcher(gateway_router& routes, retry_rules& rules,
                                             std::string ticket_key, std::size_t capacity)
    : routes_(routes)
    , rules_(rules)
    , tickets_(std::move(ticket_key))
    , timers_(capacity * timers_per_call)
    , capacity_(capacity)
{
}

void keyed_call_dispatcher::routes_changed(const std::vector<service_route_entry>& routes)
{
    services_.clear();
    for (const auto& route : routes) {
        services_.emplace(route.id, route);
    }
}

void keyed_call_dispatcher::arrived(instant now, const gateway_input::service_arrived& input,
                                    std::vector<gateway_action>& actions)
{
    const auto refuse = [&](refusal why) {
        actions.push_back(gateway_output::refuse{input.exchange, std::move(why)});
    };
    if (calls_.size() >= capacity_) {
        refuse({refusal_code::overloaded, ran_state::no, full_retry_after, "come back after the time given"});
        return;
    }
    if (services_.count(input.spec.route) == 0) {
        refuse(
            {refusal_code::no_route, ran_state::no, duration::zero(), "ask for a route that is configured"});
        return;
    }
    auto owner = owner_for(input.spec);
    if (!owner) {
        refuse({refusal_code::ticket_unknown, ran_state::no, duration::zero(), owner.error().text()});
        return;
    }
    const deadline_budget limit(now, input.spec.remaining);
    const auto timer = timers_.subscribe(limit.end(), timer_key{input.exchange, timer_kind::time_limit});
    DRAGONFLYMILL_ASSERT(timer, "every call within the capacity has its timers");
    const auto made = calls_.emplace(input.exchange, call{input,
                                                          limit,
                                                          std::move(owner.value()),
                                                          {},
                                                          upstream_id{},
                                                          attempt_number(0),
                                                          false,
                                                          timer.value()});
    DRAGONFLYMILL_ASSERT(made.second, "exchange numbers are unique");
    dispatch(now, made.first, actions);
}

auto keyed_call_dispatcher::owner_for(const service_spec& spec) const -> result<std::optional<upstream_id>>
{
    if (!spec.ticket.empty()) {
        const auto ticket = tickets_.decode(spec.ticket);
        if (!ticket) {
            return ticket.error();
        }
        return std::optional(ticket.value().upstream);
    }
    if (spec.idempotency_key.empty() || spec.idempotent) {
        return std::optional<upstream_id>();
    }
    const auto& configured = services_.at(spec.route).upstreams;
    return home_of(home_hash(spec.route, spec.account, spec.idempotency_key), configured);
}

auto keyed_call_dispatcher::choose(instant now, const call& item) -> route_decision
{
    // Any sidecar can issue a ticket, since nothing runs for it. Every other call with an owner goes to that
    // owner or is refused.
    if (!item.owner || item.asked.operation == service_operation::ticket) {
        return routes_.choose(now, routing_of(item.asked.spec, item.excluded));
    }
    const auto* record = routes_.table().find(*item.owner);
    const bool status_only = item.asked.operation == service_operation::status;
    if (record == nullptr || record->state() == upstream_state::dead ||
        (!status_only && !record->takes_new_work())) {
        const bool drained =
            record != nullptr && record->state() != upstream_state::dead && record->drained();
        return route_refusal{drained ? refusal_code::draining : refusal_code::upstream_gone,
                             full_retry_after};
    }
    return route_choice{*item.owner, route_reason::only_candidate};
}

void keyed_call_dispatcher::dispatch(instant now, calls::iterator entry, std::vector<gateway_action>& actions)
{
    auto& item = entry->second;
    const auto decision = choose(now, item);
    if (const auto* none = std::get_if<route_refusal>(&decision)) {
        const refusal why{none->code, item.sent ? ran_state::unknown : ran_state::no, none->retry_after,
                          "come back after the time given, with the same ticket or key"};
        actions.push_back(gateway_output::refuse{entry->first, why});
        remove(now, entry);
        return;
    }
    const auto& choice = std::get<route_choice>(decision);
    item.attempt = attempt_number(item.attempt.value() + 1);
    const bool recorded = routes_.sent(now, routing_of(item.asked.spec, {}), item.attempt, choice);
    static_cast<void>(recorded); // bounds the prediction only; sidecars bound their own calls
    item.upstream = choice.upstream;
    // From here on a byte of the call may reach the sidecar, and only the sidecar can report "not run".
    item.sent = true;
    auto spec = item.asked.spec;
    spec.remaining = item.limit.remaining(now);
    actions.push_back(gateway_output::call_service{choice.upstream, attempt_key{entry->first, item.attempt},
                                                   item.asked.operation, std::move(spec)});
}

void keyed_call_dispatcher::answered(instant now, const gateway_input::service_answered& input,
                                     std::vector<gateway_action>& actions)
{
    const auto entry = find(input.key);
    if (entry == calls_.end()) {
        return;
    }
    rules_.succeeded();
    actions.push_back(gateway_output::answer_service{entry->first, input.answer, input.replayed});
    remove(now, entry);
}

void keyed_call_dispatcher::ticket_given(instant now, const gateway_input::ticket_given& input,
                                         std::vector<gateway_action>& actions)
{
    const auto entry = find(input.key);
    if (entry == calls_.end()) {
        return;
    }
    actions.push_back(gateway_output::give_ticket{entry->first, input.ticket});
    remove(now, entry);
}

void keyed_call_dispatcher::running(instant now, const gateway_input::service_running& input,
                                    std::vector<gateway_action>& actions)
{
    const auto entry = find(input.key);
    if (entry == calls_.end()) {
        return;
    }
    actions.push_back(gateway_output::report_running{entry->first});
    remove(now, entry);
}

void keyed_call_dispatcher::refused(instant now, const gateway_input::service_refused& input,
                                    std::vector<gateway_action>& actions)
{
    const auto entry = find(input.key);
    if (entry == calls_.end()) {
        return;
    }
    auto& item = entry->second;
    item.excluded.push_back(item.upstream);
    end_attempt(now, item);
    item.sent = item.sent && input.why.ran != ran_state::no;
    const auto others = choose(now, item);
    const failed_attempt failed{
        kind_of(item.asked),  input.why.ran,
        input.why.code,       input.why.retry_after,
        item.attempt.value(), !item.owner && std::holds_alternative<route_choice>(others)};
    const auto decision = rules_.failed(now, failed, item.limit);
    if (const auto* final_answer = std::get_if<refusal>(&decision)) {
        auto answer = *final_answer;
        answer.code = input.why.code;
        if (!input.why.remedy.empty()) {
            answer.remedy = input.why.remedy;
        }
        actions.push_back(gateway_output::refuse{entry->first, std::move(answer)});
        remove(now, entry);
        return;
    }
    const auto when = std::get<retry_at>(decision).when;
    if (when <= now) {
        dispatch(now, entry, actions);
        return;
    }
    const auto timer = timers_.subscribe(when, timer_key{entry->first, timer_kind::retry});
    DRAGONFLYMILL_ASSERT(timer, "every call has two timers");
    item.retry_timer = timer.value();
}

void keyed_call_dispatcher::caller_left(instant now, exchange_number exchange)
{
    const auto entry = calls_.find(exchange);
    if (entry != calls_.end()) {
        remove(now, entry);
    }
}

void keyed_call_dispatcher::tick(instant now, std::vector<gateway_action>& actions)
{
    for (const auto& timer : timers_.advance(now)) {
        const auto entry = calls_.find(timer.key.exchange);
        if (entry == calls_.end()) {
            continue;
        }
        if (timer.key.kind == timer_kind::retry) {
            entry->second.retry_timer.reset();
            dispatch(now, entry, actions);
            continue;
        }
        const auto ran = entry->second.sent ? ran_state::unknown : ran_state::no;
        actions.push_back(gateway_output::refuse{
            entry->first,
            {refusal_code::deadline, ran, duration::zero(),
             ran == ran_state::no ? "allow more time" : "ask for its status with the same ticket or key"}});
        remove(now, entry);
    }
}

auto keyed_call_dispatcher::find(const attempt_key& key) -> calls::iterator
{
    const auto entry = calls_.find(key.exchange);
    const bool current =
        entry != calls_.end() && entry->second.attempt == key.attempt && !entry->second.upstream.empty();
    return current ? entry : calls_.end();
}

void keyed_call_dispatcher::end_attempt(instant now, call& item)
{
    routes_.table().finished(now, item.upstream, item.asked.spec.request, item.attempt);
    item.upstream = upstream_id{};
}

void keyed_call_dispatcher::remove(instant now, calls::iterator entry)
{
    auto& item = entry->second;
    if (!item.upstream.empty()) {
        end_attempt(now, item);
    }
    timers_.cancel(item.limit_timer);
    if (item.retry_timer) {
        timers_.cancel(*item.retry_timer);
    }
    calls_.erase(entry);
}

} // namespace dragonflymill
