#include "dragonflymill/serve/completion_dispatcher.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/quarantine/prefix_parts.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// Timers of one request: its time limit, and one for a retry or a gap.
constexpr std::size_t timers_per_request = 2;
constexpr duration full_retry_after = 500ms;
constexpr duration no_route_retry_after = 200ms;
/// Minimum time from a refusal to the next attempt at work that this gateway deferred.
constexpr duration deferred_retry_interval = 2s;

auto refusal_of(const route_refusal& none) -> refusal
{
    constexpr auto retry_later_remedy = "come back after the time given";
    switch (none.code) {
    case refusal_code::no_route:
        return {none.code, ran_state::no, none.retry_after, "ask for a model that is served; see /v1/models"};
    case refusal_code::too_large:
        return {none.code, ran_state::no, none.retry_after, "send a shorter prompt"};
    default:
        return {none.code, ran_state::no, none.retry_after, retry_later_remedy};
    }
}

} // namespace

completion_dispatcher::completion_dispatcher(process_id self, gateway_router& routes, retry_rules& rules,
                                             gang_dispatcher& gangs, std::size_t capacity)
    : self_(std::move(self))
    , routes_(routes)
    , rules_(rules)
    , gangs_(gangs)
    , timers_(capacity * timers_per_request)
    , capacity_(capacity)
{
}

void completion_dispatcher::arrived(instant now, const gateway_input::completion_arrived& input,
                                    std::vector<gateway_action>& actions)
{
    const auto entry = add_request(now, input, actions);
    if (entry != requests_.end()) {
        dispatch(now, entry, actions);
    }
}

void completion_dispatcher::arrived_deferred(instant now, const gateway_input::completion_arrived& input,
                                             std::vector<gateway_action>& actions)
{
    const auto entry = add_request(now, input, actions);
    if (entry != requests_.end()) {
        entry->second.paused = true;
        actions.push_back(gateway_output::log_paused{input.exchange});
    }
}

void completion_dispatcher::pause(instant now, exchange_number exchange, std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(exchange);
    if (entry == requests_.end() || entry->second.paused) {
        return;
    }
    auto& item = entry->second;
    item.paused = true;
    if (item.attempt_timer) {
        timers_.cancel(*item.attempt_timer);
        item.attempt_timer.reset();
    }
    if (!item.upstream.empty()) {
        actions.push_back(gateway_output::cancel_attempt{{exchange, item.attempt}});
        // Guards against tokens of the cancelled attempt that mix with those of the next one, so that the
        // caller receives words twice. The joiner drops tokens of older attempts.
        item.joiner.switch_attempt();
        item.may_have_run = item.may_have_run || item.prompt_sent_at.has_value();
        --item.attempts;
        end_attempt(now, item);
    }
    gangs_.release_shares(now, exchange, actions);
    actions.push_back(gateway_output::log_paused{exchange});
}

void completion_dispatcher::resume(instant now, exchange_number exchange,
                                   std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(exchange);
    if (entry == requests_.end() || !entry->second.paused || entry->second.limit.expired(now)) {
        return; // once the limit has expired, its timer ends the request
    }
    entry->second.paused = false;
    entry->second.was_paused = true;
    actions.push_back(gateway_output::log_resumed{exchange});
    dispatch(now, entry, actions);
}

auto completion_dispatcher::add_request(instant now, const gateway_input::completion_arrived& input,
                                        std::vector<gateway_action>& actions) -> requests::iterator
{
    if (requests_.size() >= capacity_) {
        actions.push_back(gateway_output::refuse{
            input.exchange,
            {refusal_code::overloaded, ran_state::no, full_retry_after, "come back after the time given"}});
        return requests_.end();
    }
    const deadline_budget limit(now, input.remaining());
    const route_request routing{
        input.request, input.model, input.adapter, input.prompt_tokens, input.max_tokens, input.blocks, {}};
    const auto limit_timer =
        timers_.subscribe(limit.end(), timer_key{input.exchange, timer_kind::time_limit});
    DRAGONFLYMILL_ASSERT(limit_timer, "every request within the capacity has its timers");
    const auto made = requests_.emplace(
        input.exchange, request{input, limit, stream_joiner(input.request, attempt_number(1)), routing,
                                prefix_parts(input.blocks), upstream_id{}, attempt_number(1), 0, false,
                                instant{}, std::nullopt, false, false, false, limit_timer.value()});
    DRAGONFLYMILL_ASSERT(made.second, "exchange numbers are unique");
    return made.first;
}

void completion_dispatcher::dispatch(instant now, requests::iterator entry,
                                     std::vector<gateway_action>& actions)
{
    auto& item = entry->second;
    if (refuse_quarantined(now, entry, actions)) {
        return;
    }
    if (gangs_.needed(item.routing)) {
        ++item.attempts;
        gangs_.start(now, item.asked, item.limit, actions);
        return;
    }
    auto decision = routes_.choose(now, item.routing);
    if (std::holds_alternative<route_refusal>(decision) && !item.routing.excluded.empty()) {
        // Upstreams that failed the request once are better than none: the fault may be over.
        item.routing.excluded.clear();
        decision = routes_.choose(now, item.routing);
    }
    if (const auto* none = std::get_if<route_refusal>(&decision)) {
        if (retry_deferred(now, entry, none->code, none->retry_after)) {
            return;
        }
        refuse_finally(now, entry, refusal_of(*none), actions);
        return;
    }
    ++item.attempts;
    open(now, entry, item.routing, std::get<route_choice>(decision), nullptr, actions);
}

auto completion_dispatcher::refuse_quarantined(instant now, requests::iterator entry,
                                               std::vector<gateway_action>& actions) -> bool
{
    quarantine_.update(now);
    const quarantine_verdict verdict = quarantine_.check(entry->second.parts, now);
    if (verdict.is_trial) {
        quarantine_.trial_sent(entry->second.parts, now);
    }
    if (!verdict.allowed) {
        refuse_finally(now, entry,
                       {refusal_code::quarantined, ran_state::no, verdict.retry_after,
                        "send a request without what upstreams crash under"},
                       actions);
    }
    return !verdict.allowed;
}

void completion_dispatcher::record_lost_attempt(instant now, const request& item, const refusal& why)
{
    if (why.code == refusal_code::upstream_gone && why.ran == ran_state::unknown && item.prompt_sent_at) {
        quarantine_.evidence().record_lost_call(
            {stable_hash(item.upstream.text()), item.parts,
             item.first_token_seen ? now - item.first_token_at : duration::zero(), now - *item.prompt_sent_at,
             call_loss::closed},
            now);
    }
}

void completion_dispatcher::open(instant now, requests::iterator entry, const route_request& routing,
                                 const route_choice& choice, const gang_decode* gang,
                                 std::vector<gateway_action>& actions)
{
    auto& item = entry->second;
    item.attempt = item.joiner.attempt();
    if (!routes_.sent(now, routing, item.attempt, choice)) {
        refuse_finally(now, entry,
                       {refusal_code::overloaded, ran_state::no, no_route_retry_after, "come back later"},
                       actions);
        return;
    }
    item.upstream = choice.upstream;
    item.first_token_seen = false;
    item.prompt_sent_at.reset();
    attempt_spec spec{
        item.asked.request,       item.attempt,          self_,          item.asked.account,
        item.asked.model,         item.asked.adapter,    choice.size,    item.asked.request_priority,
        item.asked.prompt_tokens, item.asked.max_tokens, choice.prefill, item.joiner.delivered(),
        item.limit.remaining(now)};
    if (gang != nullptr) {
        spec.share = gang->share;
        spec.imports = gang->imports;
    }
    actions.push_back(gateway_output::open_attempt{choice.upstream, attempt_key{entry->first, item.attempt},
                                                   std::move(spec), choice.reason});
}

void completion_dispatcher::decode(instant now, const gang_decode& made, std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(made.exchange);
    if (entry == requests_.end() || entry->second.paused) {
        return;
    }
    // Only the engine's own part of the prompt uses its time and memory.
    auto part = entry->second.routing;
    part.prompt_tokens = made.prefill;
    part.blocks.clear();
    const route_choice choice{made.upstream, route_reason::only_candidate, length_class::gang, made.prefill};
    open(now, entry, part, choice, &made, actions);
}

void completion_dispatcher::lost(instant now, const gang_attempt_lost& loss,
                                 std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(loss.exchange);
    if (entry == requests_.end() || entry->second.paused) {
        return;
    }
    const auto& item = entry->second;
    if (!item.upstream.empty()) {
        const attempt_key running{entry->first, item.attempt};
        actions.push_back(gateway_output::cancel_attempt{running});
        refused(now, {running, loss.why}, actions);
    }
    else if (loss.is_final) {
        refuse_finally(now, entry, loss.why, actions);
    }
    else {
        retry_or_refuse(now, entry, loss.why, actions);
    }
}

void completion_dispatcher::granted(instant now, const attempt_key& key, std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(key.exchange);
    const bool wanted =
        entry != requests_.end() && !entry->second.upstream.empty() && entry->second.attempt == key.attempt;
    // Guards against a grant that arrives after the request was given up, or after this process was paused:
    // the prompt would start work that nobody waits for.
    if (!wanted || entry->second.limit.expired(now)) {
        actions.push_back(gateway_output::cancel_attempt{key});
        return;
    }
    entry->second.prompt_sent_at = now;
    actions.push_back(gateway_output::send_prompt{key});
}

void completion_dispatcher::refused(instant now, const gateway_input::attempt_refused& input,
                                    std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(input.key.exchange);
    if (entry == requests_.end()) {
        return;
    }
    auto& item = entry->second;
    const stream_loss loss{item.asked.request, input.key.attempt};
    if (!item.upstream.empty() && item.attempt == input.key.attempt) {
        item.routing.excluded.push_back(item.upstream);
        item.may_have_run = item.may_have_run || input.why.ran == ran_state::unknown;
        record_lost_attempt(now, item, input.why);
        end_attempt(now, item);
        if (retry_deferred(now, entry, input.why.code, input.why.retry_after)) {
            return;
        }
    }
    apply_stream_outputs(now, entry, item.joiner.step(now, loss), input.why, actions);
}

void completion_dispatcher::tokens(instant now, const gateway_input::attempt_tokens& input,
                                   std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(input.key.exchange);
    if (entry == requests_.end()) {
        return;
    }
    auto& item = entry->second;
    if (item.attempt == input.key.attempt && !item.upstream.empty()) {
        quarantine_.evidence().record_sign_of_life(stable_hash(item.upstream.text()), now);
        if (!std::exchange(item.first_token_seen, true)) {
            item.first_token_at = now;
            routes_.table().first_token(now, item.upstream, item.asked.request, item.attempt);
        }
    }
    const stream_chunk chunk{item.asked.request, input.key.attempt, input.offset, input.tokens};
    apply_stream_outputs(now, entry, item.joiner.step(now, chunk), refusal{}, actions);
}

void completion_dispatcher::finished(instant now, const gateway_input::attempt_finished& input,
                                     std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(input.key.exchange);
    if (entry == requests_.end()) {
        return;
    }
    auto& item = entry->second;
    if (!item.upstream.empty() && item.attempt == input.key.attempt) {
        end_attempt(now, item);
        rules_.succeeded();
        quarantine_.evidence().record_answer(item.parts, now);
    }
    const stream_end end{item.asked.request, input.key.attempt, input.tokens, input.reason};
    apply_stream_outputs(now, entry, item.joiner.step(now, end), refusal{}, actions);
}

void completion_dispatcher::caller_left(instant now, exchange_number exchange,
                                        std::vector<gateway_action>& actions)
{
    const auto entry = requests_.find(exchange);
    if (entry != requests_.end()) {
        remove(now, entry, actions);
    }
}

void completion_dispatcher::tick(instant now, std::vector<gateway_action>& actions)
{
    quarantine_.tick(now);
    for (const auto& timer : timers_.advance(now)) {
        const auto entry = requests_.find(timer.key.exchange);
        if (entry == requests_.end()) {
            continue;
        }
        switch (timer.key.kind) {
        case timer_kind::time_limit:
            refuse_finally(now, entry,
                           {refusal_code::deadline,
                            entry->second.upstream.empty() ? ran_state::no : ran_state::unknown,
                            duration::zero(), "allow more time or ask for fewer tokens"},
                           actions);
            break;
        case timer_kind::retry:
            entry->second.attempt_timer.reset();
            dispatch(now, entry, actions);
            break;
        case timer_kind::open_gap:
            entry->second.attempt_timer.reset();
            apply_stream_outputs(
                now, entry, entry->second.joiner.wake(now),
                {refusal_code::upstream_gone, ran_state::unknown, no_route_retry_after, "ask again"},
                actions);
            break;
        }
    }
}

void completion_dispatcher::apply_stream_outputs(instant now, requests::iterator entry,
                                                 std::vector<stream_output> outputs, const refusal& why,
                                                 std::vector<gateway_action>& actions)
{
    const auto exchange = entry->first;
    for (auto& output : outputs) {
        if (auto* tokens = std::get_if<deliver_tokens>(&output)) {
            actions.push_back(gateway_output::deliver{exchange, tokens->offset, std::move(tokens->tokens)});
        }
        else if (auto* end = std::get_if<finish_stream>(&output)) {
            actions.push_back(gateway_output::finish{exchange, end->tokens, std::move(end->finish_reason)});
            remove(now, entry, actions);
            return;
        }
        else if (std::holds_alternative<resume_stream>(output)) {
            retry_or_refuse(now, entry, why, actions);
            return;
        }
        else if (const auto* failed = std::get_if<fail_stream>(&output)) {
            auto answer = failed->why;
            if (why.code != refusal_code::internal) {
                answer = why; // the last upstream's refusal is more specific
            }
            refuse_finally(now, entry, answer, actions);
            return;
        }
    }
    schedule_gap_check(entry);
}

void completion_dispatcher::retry_or_refuse(instant now, requests::iterator entry, const refusal& why,
                                            std::vector<gateway_action>& actions)
{
    auto& item = entry->second;
    if (!item.upstream.empty()) {
        // The gap stayed open and the attempt still runs; it must not continue in parallel with the next one.
        actions.push_back(gateway_output::cancel_attempt{{entry->first, item.attempt}});
        item.routing.excluded.push_back(item.upstream);
        end_attempt(now, item);
    }
    gangs_.release_shares(now, entry->first, actions);
    const auto others = routes_.choose(now, item.routing);
    const failed_attempt failed{call_kind::stream, why.ran,
                                why.code,          why.retry_after,
                                item.attempts,     std::holds_alternative<route_choice>(others)};
    const auto decision = rules_.failed(now, failed, item.limit);
    if (const auto* final_answer = std::get_if<refusal>(&decision)) {
        refuse_finally(now, entry, *final_answer, actions);
        return;
    }
    const auto when = std::get<retry_at>(decision).when;
    if (when <= now) {
        dispatch(now, entry, actions);
        return;
    }
    set_attempt_timer(entry, when, timer_kind::retry);
}

void completion_dispatcher::refuse_finally(instant now, requests::iterator entry, const refusal& why,
                                           std::vector<gateway_action>& actions)
{
    auto answer = why;
    // Guards against a false "not run": the last attempt was not run, but an earlier one may have been.
    if (entry->second.joiner.delivered() > 0 || entry->second.may_have_run ||
        gangs_.may_have_run(entry->first)) {
        answer.ran = ran_state::unknown;
    }
    actions.push_back(gateway_output::refuse{entry->first, std::move(answer)});
    remove(now, entry, actions);
}

void completion_dispatcher::end_attempt(instant now, request& item)
{
    routes_.table().finished(now, item.upstream, item.asked.request, item.attempt);
    item.upstream = upstream_id{};
}

auto completion_dispatcher::retry_deferred(instant now, requests::iterator entry, refusal_code code,
                                           duration after) -> bool
{
    auto& item = entry->second;
    if (!item.was_paused || !is_passing(code)) {
        return false;
    }
    // Guards against work that this gateway accepted and deferred, and then gives up because the upstreams
    // have no capacity at the moment it resumes: the caller would have waited in vain. It is retried until
    // its time limit, at a rate that adds no noticeable load; the limit's own timer still applies.
    item.joiner.switch_attempt();
    item.routing.excluded.clear();
    set_attempt_timer(entry, now + std::max(after, deferred_retry_interval), timer_kind::retry);
    return true;
}

void completion_dispatcher::schedule_gap_check(requests::iterator entry)
{
    auto& item = entry->second;
    const auto wake = item.joiner.next_wake();
    if (wake && !item.attempt_timer) {
        set_attempt_timer(entry, *wake, timer_kind::open_gap);
    }
}

void completion_dispatcher::set_attempt_timer(requests::iterator entry, instant at, timer_kind kind)
{
    auto& item = entry->second;
    if (item.attempt_timer) {
        timers_.cancel(*item.attempt_timer);
    }
    const auto timer = timers_.subscribe(at, timer_key{entry->first, kind});
    DRAGONFLYMILL_ASSERT(timer, "every request has two timers");
    item.attempt_timer = timer.value();
}

void completion_dispatcher::remove(instant now, requests::iterator entry,
                                   std::vector<gateway_action>& actions)
{
    auto& item = entry->second;
    if (!item.upstream.empty()) {
        actions.push_back(gateway_output::cancel_attempt{{entry->first, item.attempt}});
        end_attempt(now, item);
    }
    gangs_.finish(now, entry->first, actions);
    timers_.cancel(item.limit_timer);
    if (item.attempt_timer) {
        timers_.cancel(*item.attempt_timer);
    }
    requests_.erase(entry);
}

} // namespace dragonflymill
