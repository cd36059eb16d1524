#include "dragonflymill/serve/gang_dispatcher.h"

#include "dragonflymill/gang/gang_candidates.h"
#include "dragonflymill/serve/share_coordinator.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// Fraction of an engine that gangs may use; the rest is kept for shorter requests.
constexpr double gang_fraction = 0.8;
/// Attempts at spans are numbered from here, attempts at the answer from 1.
constexpr std::uint64_t first_export = std::uint64_t{1} << 32U;
constexpr duration full_retry_after = 1s;

} // namespace

gang_dispatcher::gang_dispatcher(process_id self, const upstream_table& table, std::uint64_t seed)
    : self_(std::move(self))
    , table_(table)
    , seed_(seed)
    , orphan_shares_(seed)
{
}

auto gang_dispatcher::needed(const route_request& request) const -> bool
{
    return needs_gang(table_, request.model, request.adapter, request.prompt_tokens + request.max_tokens,
                      gang_fraction);
}

void gang_dispatcher::start(instant now, const gateway_input::completion_arrived& asked,
                            const deadline_budget& limit, actions_out& actions)
{
    if (active_gangs() >= gang_planner_options{}.max_gangs) {
        outcomes_.emplace_back(gang_attempt_lost{
            asked.exchange,
            {refusal_code::overloaded, ran_state::no, full_retry_after, "send it again after the time given"},
            true});
        return;
    }
    const auto entry = gangs_.try_emplace(asked.exchange, gang{asked, limit}).first;
    auto& item = entry->second;
    item.asked.blocks.clear();
    item.state = phase::reserving;
    const attempt_number round(item.round.value() + 1);
    record_round({asked.request, round});
    // The last share, under which the answer is decoded, also covers the answer and the memory of the
    // imports.
    const gang_request wanted{asked.request, asked.prompt_tokens,
                              asked.max_tokens + asked.prompt_tokens / import_memory_divisor + 1};
    const auto candidates = candidates_of({asked.model, asked.adapter});
    apply_outputs(now, planner_of(item).start(now, wanted, round, limit, candidates), actions);
}

void gang_dispatcher::release_shares(instant now, exchange_number exchange, actions_out& actions)
{
    const auto entry = gangs_.find(exchange);
    if (entry == gangs_.end()) {
        return;
    }
    auto& item = entry->second;
    cancel_export(exchange, item, actions);
    item.state = phase::idle;
    apply_outputs(now, planner_of(item).finish(now, item.asked.request), actions);
}

void gang_dispatcher::finish(instant now, exchange_number exchange, actions_out& actions)
{
    release_shares(now, exchange, actions);
    gangs_.erase(exchange);
}

auto gang_dispatcher::is_export(const attempt_key& key) -> bool
{
    return key.attempt.value() >= first_export;
}

auto gang_dispatcher::may_have_run(exchange_number exchange) const -> bool
{
    const auto entry = gangs_.find(exchange);
    return entry != gangs_.end() && entry->second.text_sent;
}

void gang_dispatcher::granted(const attempt_key& key, actions_out& actions)
{
    const auto entry = gangs_.find(key.exchange);
    // Guards against a grant that arrives after the gang was given up: the text would start work that nobody
    // waits for.
    if (entry == gangs_.end() || entry->second.exporting != key.attempt) {
        actions.emplace_back(gateway_output::cancel_attempt{key});
        return;
    }
    entry->second.text_sent = true;
    actions.emplace_back(gateway_output::send_prompt{key});
}

void gang_dispatcher::refused(instant now, const gateway_input::attempt_refused& input, actions_out& actions)
{
    const auto entry = find_export(input.key);
    if (entry == gangs_.end()) {
        return;
    }
    entry->second.exporting = attempt_number{0};
    release_shares(now, input.key.exchange, actions);
    auto why = input.why;
    why.code = refusal_code::upstream_gone; // one member's failure; another gang may succeed
    outcomes_.emplace_back(gang_attempt_lost{input.key.exchange, std::move(why), false});
}

void gang_dispatcher::finished(instant now, const gateway_input::attempt_finished& input,
                               actions_out& actions)
{
    const auto entry = find_export(input.key);
    if (entry == gangs_.end()) {
        return;
    }
    auto& item = entry->second;
    const auto& span = item.spans[item.computed.size()];
    item.computed.push_back(
        {span_name({item.asked.request, item.round}, span.upstream), input.source, span.begin, span.end});
    item.exporting = attempt_number{0};
    start_next_span(now, entry, actions);
}

void gang_dispatcher::step(instant now, const share_granted& granted, actions_out& actions)
{
    const auto entry = find(granted.gang.request);
    auto& planner = entry == gangs_.end() ? orphan_shares_ : planner_of(entry->second);
    apply_outputs(now, planner.step(now, granted), actions);
}

void gang_dispatcher::step(instant now, const share_refused& refused, actions_out& actions)
{
    const auto entry = find(refused.gang.request);
    if (entry != gangs_.end()) {
        apply_outputs(now, planner_of(entry->second).step(now, refused), actions);
    }
}

void gang_dispatcher::step(instant now, const share_released& released)
{
    orphan_shares_.step(now, released);
    for (auto& [model, planner] : planners_) {
        planner.step(now, released);
    }
}

void gang_dispatcher::upstream_gone(instant now, const upstream_id& upstream, actions_out& actions)
{
    for (auto& [model, planner] : planners_) {
        apply_outputs(now, planner.upstream_gone(now, upstream), actions);
    }
}

void gang_dispatcher::tick(instant now, actions_out& actions)
{
    const auto is_due = [now](const gang_planner& planner) {
        const auto wake = planner.next_wake();
        return wake && *wake <= now;
    };
    if (is_due(orphan_shares_)) {
        apply_outputs(now, orphan_shares_.wake(now, {}), actions);
    }
    for (auto next = planners_.begin(); next != planners_.end();) {
        auto& planner = next->second;
        if (is_due(planner)) {
            apply_outputs(now, planner.wake(now, candidates_of(next->first)), actions);
        }
        const bool idle = planner.gangs() == 0 && planner.releases() == 0;
        next = idle ? planners_.erase(next) : std::next(next);
    }
}

auto gang_dispatcher::releases() const -> std::size_t
{
    auto sum = orphan_shares_.releases();
    for (const auto& [model, planner] : planners_) {
        sum += planner.releases();
    }
    return sum;
}

auto gang_dispatcher::planner_of(const gang& item) -> gang_planner&
{
    const model_key model{item.asked.model, item.asked.adapter};
    return planners_.try_emplace(model, seed_).first->second;
}

auto gang_dispatcher::find(const request_id& request) -> gangs::iterator
{
    return std::find_if(gangs_.begin(), gangs_.end(),
                        [&](const auto& each) { return each.second.asked.request == request; });
}

auto gang_dispatcher::find_export(const attempt_key& key) -> gangs::iterator
{
    const auto entry = gangs_.find(key.exchange);
    return entry != gangs_.end() && entry->second.exporting == key.attempt ? entry : gangs_.end();
}

auto gang_dispatcher::candidates_of(const model_key& model) const -> std::vector<gang_candidate>
{
    return gang_candidates(table_, model.first, model.second, gang_fraction);
}

auto gang_dispatcher::active_gangs() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        gangs_.begin(), gangs_.end(), [](const auto& each) { return each.second.state != phase::idle; }));
}

void gang_dispatcher::apply_outputs(instant now, std::vector<gang_output> outputs, actions_out& actions)
{
    for (auto& output : outputs) {
        if (auto* reserve = std::get_if<reserve_share>(&output)) {
            record_round(reserve->gang);
            actions.emplace_back(std::move(*reserve));
        }
        else if (auto* renew = std::get_if<renew_share>(&output)) {
            actions.emplace_back(std::move(*renew));
        }
        else if (auto* release = std::get_if<release_share>(&output)) {
            actions.emplace_back(std::move(*release));
        }
        else if (const auto* made = std::get_if<gang_ready>(&output)) {
            ready(now, *made, actions);
        }
        else if (const auto* lost = std::get_if<gang_failed>(&output)) {
            failed(*lost, actions);
        }
    }
}

void gang_dispatcher::record_round(const gang_key& key)
{
    const auto entry = find(key.request);
    if (entry != gangs_.end()) {
        entry->second.round = std::max(entry->second.round, key.round);
    }
}

void gang_dispatcher::ready(instant now, const gang_ready& made, actions_out& actions)
{
    const auto entry = find(made.gang.request);
    if (entry == gangs_.end()) {
        return;
    }
    entry->second.spans = made.spans;
    entry->second.computed.clear();
    start_next_span(now, entry, actions);
}

void gang_dispatcher::start_next_span(instant now, gangs::iterator entry, actions_out& actions)
{
    auto& item = entry->second;
    const auto& span = item.spans[item.computed.size()];
    if (item.computed.size() + 1 == item.spans.size()) {
        item.state = phase::decoding;
        outcomes_.emplace_back(
            gang_decode{entry->first, span.upstream, span.lease, span.end - span.begin, item.computed});
        return;
    }
    item.state = phase::computing;
    item.exporting = attempt_number(first_export + ++last_export_);
    attempt_spec spec;
    spec.request = item.asked.request;
    spec.attempt = item.exporting;
    spec.gateway = self_;
    spec.account = item.asked.account;
    spec.model = item.asked.model;
    spec.adapter = item.asked.adapter;
    spec.size = length_class::gang;
    spec.request_priority = item.asked.request_priority;
    spec.prompt_tokens = span.end - span.begin;
    spec.prefill = spec.prompt_tokens;
    spec.remaining = item.limit.remaining(now);
    spec.share = span.lease;
    spec.exported_span = span_name({item.asked.request, item.round}, span.upstream);
    spec.span_begin = span.begin;
    spec.span_end = span.end;
    actions.emplace_back(
        gateway_output::open_attempt{span.upstream, {entry->first, item.exporting}, std::move(spec)});
}

void gang_dispatcher::failed(const gang_failed& lost, actions_out& actions)
{
    const auto entry = find(lost.gang.request);
    if (entry == gangs_.end()) {
        return;
    }
    auto& item = entry->second;
    const bool never_ready = item.state == phase::reserving;
    cancel_export(entry->first, item, actions);
    item.state = phase::idle;
    outcomes_.emplace_back(gang_attempt_lost{entry->first, lost.why, never_ready});
}

void gang_dispatcher::cancel_export(exchange_number exchange, gang& item, actions_out& actions)
{
    if (item.exporting != attempt_number{0}) {
        actions.emplace_back(gateway_output::cancel_attempt{{exchange, item.exporting}});
        item.exporting = attempt_number{0};
    }
}

} // namespace dragonflymill
