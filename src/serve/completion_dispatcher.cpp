#include "dragonflymill/serve/completion_dispatcher.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// Timers of one request: its time limit, and one for a retry or a gap.
constexpr std::size_t timers_per_request = 2;
constexpr duration full_retry_hint = 500ms;
constexpr duration routeless_retry_hint = 200ms;
/// Shortest time from a refusal to the next try of work that this gateway made wait.
constexpr duration waiting_retry = 2s;

auto refusal_of(const route_refusal& none) -> refusal
{
    constexpr auto ask_later = "come back after the time given";
    switch (none.code) {
    case refusal_code::no_route:
        return {none.code, ran_state::no, none.retry_after, "ask for a model that is served; see /v1/models"};
    case refusal_code::too_large:
        return {none.code, ran_state::no, none.retry_after, "send a shorter prompt"};
    default:
        return {none.code, ran_state::no, none.retry_after, ask_later};
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
    const auto held = take_in(now, input, actions);
    if (held != requests_.end()) {
        dispatch(now, held, actions);
    }
}

void completion_dispatcher::arrived_on_hold(instant now, const gateway_input::completion_arrived& input,
                                            std::vector<gateway_action>& actions)
{
    const auto held = take_in(now, input, actions);
    if (held != requests_.end()) {
        held->second.on_hold = true;
        actions.push_back(gateway_output::log_paused{input.exchange});
    }
}

void completion_dispatcher::pause(instant now, exchange_number exchange, std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(exchange);
    if (held == requests_.end() || held->second.on_hold) {
        return;
    }
    auto& item = held->second;
    item.on_hold = true;
    if (item.other_timer) {
        timers_.cancel(*item.other_timer);
        item.other_timer.reset();
    }
    if (!item.at.empty()) {
        actions.push_back(gateway_output::cancel_attempt{{exchange, item.running}});
        // Guards against tokens of the try given up here that mix with those of the next: the caller would
        // read words twice. The joiner drops whatever has an older try's number.
        item.joiner.switch_attempt();
        item.may_have_run = item.may_have_run || item.prompt_sent;
        --item.attempts;
        end_attempt(now, item);
    }
    gangs_.give_back(now, exchange, actions);
    actions.push_back(gateway_output::log_paused{exchange});
}

void completion_dispatcher::resume(instant now, exchange_number exchange,
                                   std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(exchange);
    if (held == requests_.end() || !held->second.on_hold || held->second.limit.expired(now)) {
        return; // past its limit it is the limit's timer that ends it
    }
    held->second.on_hold = false;
    held->second.was_on_hold = true;
    actions.push_back(gateway_output::log_resumed{exchange});
    dispatch(now, held, actions);
}

auto completion_dispatcher::take_in(instant now, const gateway_input::completion_arrived& input,
                                    std::vector<gateway_action>& actions) -> requests::iterator
{
    if (requests_.size() >= capacity_) {
        actions.push_back(gateway_output::refuse{
            input.exchange,
            {refusal_code::overloaded, ran_state::no, full_retry_hint, "come back after the time given"}});
        return requests_.end();
    }
    const deadline_budget limit(now, input.remaining());
    const route_request routing{
        input.request, input.model, input.adapter, input.prompt_tokens, input.max_tokens, input.blocks, {}};
    const auto limit_timer = timers_.subscribe(limit.end(), wake_key{input.exchange, due::time_limit});
    DRAGONFLYMILL_ASSERT(limit_timer, "there is a timer for every request that the bound lets in");
    const auto made = requests_.emplace(input.exchange,
                                        request{input, limit, stream_joiner(input.request, attempt_number(1)),
                                                routing, upstream_id{}, attempt_number(1), 0, false, false,
                                                false, false, false, limit_timer.value()});
    DRAGONFLYMILL_ASSERT(made.second, "the shell numbers each request once");
    return made.first;
}

void completion_dispatcher::dispatch(instant now, requests::iterator held,
                                     std::vector<gateway_action>& actions)
{
    auto& item = held->second;
    if (gangs_.needed(item.routing)) {
        ++item.attempts;
        gangs_.start(now, item.asked, item.limit, actions);
        return;
    }
    auto decision = routes_.choose(now, item.routing);
    if (std::holds_alternative<route_refusal>(decision) && !item.routing.excluded.empty()) {
        // Those that failed it once are better than none: a fault there may be over.
        item.routing.excluded.clear();
        decision = routes_.choose(now, item.routing);
    }
    if (const auto* none = std::get_if<route_refusal>(&decision)) {
        if (wait_again(now, held, none->code, none->retry_after)) {
            return;
        }
        give_up(now, held, refusal_of(*none), actions);
        return;
    }
    ++item.attempts;
    open(now, held, item.routing, std::get<route_choice>(decision), nullptr, actions);
}

void completion_dispatcher::open(instant now, requests::iterator held, const route_request& routing,
                                 const route_choice& choice, const gang_decode* gang,
                                 std::vector<gateway_action>& actions)
{
    auto& item = held->second;
    item.running = item.joiner.attempt();
    if (!routes_.sent(now, routing, item.running, choice)) {
        give_up(now, held, {refusal_code::overloaded, ran_state::no, routeless_retry_hint, "come back later"},
                actions);
        return;
    }
    item.at = choice.upstream;
    item.first_token_seen = false;
    item.prompt_sent = false;
    attempt_spec spec{
        item.asked.request,       item.running,          self_,          item.asked.account,
        item.asked.model,         item.asked.adapter,    choice.size,    item.asked.request_priority,
        item.asked.prompt_tokens, item.asked.max_tokens, choice.prefill, item.joiner.delivered(),
        item.limit.remaining(now)};
    if (gang != nullptr) {
        spec.share = gang->share;
        spec.imports = gang->imports;
    }
    actions.push_back(gateway_output::open_attempt{choice.upstream, attempt_key{held->first, item.running},
                                                   std::move(spec), choice.reason});
}

void completion_dispatcher::decode(instant now, const gang_decode& made, std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(made.exchange);
    if (held == requests_.end() || held->second.on_hold) {
        return;
    }
    // Only its own part of the prompt takes the engine's time and memory.
    auto part = held->second.routing;
    part.prompt_tokens = made.prefill;
    part.blocks.clear();
    const route_choice choice{made.upstream, route_reason::only_candidate, length_class::gang, made.prefill};
    open(now, held, part, choice, &made, actions);
}

void completion_dispatcher::lost(instant now, const gang_attempt_lost& loss,
                                 std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(loss.exchange);
    if (held == requests_.end() || held->second.on_hold) {
        return;
    }
    const auto& item = held->second;
    if (!item.at.empty()) {
        const attempt_key running{held->first, item.running};
        actions.push_back(gateway_output::cancel_attempt{running});
        refused(now, {running, loss.why}, actions);
    }
    else if (loss.is_final) {
        give_up(now, held, loss.why, actions);
    }
    else {
        try_again(now, held, loss.why, actions);
    }
}

void completion_dispatcher::granted(instant now, const attempt_key& key, std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(key.exchange);
    const bool wanted =
        held != requests_.end() && !held->second.at.empty() && held->second.running == key.attempt;
    // Guards against a grant that comes after the request was given up here, or a process that was paused in
    // between: the prompt would start work for nobody.
    if (!wanted || held->second.limit.expired(now)) {
        actions.push_back(gateway_output::cancel_attempt{key});
        return;
    }
    held->second.prompt_sent = true;
    actions.push_back(gateway_output::send_prompt{key});
}

void completion_dispatcher::refused(instant now, const gateway_input::attempt_refused& input,
                                    std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(input.key.exchange);
    if (held == requests_.end()) {
        return;
    }
    auto& item = held->second;
    const stream_loss loss{item.asked.request, input.key.attempt};
    if (!item.at.empty() && item.running == input.key.attempt) {
        item.routing.excluded.push_back(item.at);
        item.may_have_run = item.may_have_run || input.why.ran == ran_state::unknown;
        end_attempt(now, item);
        if (wait_again(now, held, input.why.code, input.why.retry_after)) {
            return;
        }
    }
    act_on(now, held, item.joiner.step(now, loss), input.why, actions);
}

void completion_dispatcher::tokens(instant now, const gateway_input::attempt_tokens& input,
                                   std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(input.key.exchange);
    if (held == requests_.end()) {
        return;
    }
    auto& item = held->second;
    if (item.running == input.key.attempt && !item.at.empty() &&
        !std::exchange(item.first_token_seen, true)) {
        routes_.table().first_token(now, item.at, item.asked.request, item.running);
    }
    const stream_chunk chunk{item.asked.request, input.key.attempt, input.offset, input.tokens};
    act_on(now, held, item.joiner.step(now, chunk), refusal{}, actions);
}

void completion_dispatcher::finished(instant now, const gateway_input::attempt_finished& input,
                                     std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(input.key.exchange);
    if (held == requests_.end()) {
        return;
    }
    auto& item = held->second;
    if (!item.at.empty() && item.running == input.key.attempt) {
        end_attempt(now, item);
        rules_.succeeded();
    }
    const stream_end end{item.asked.request, input.key.attempt, input.tokens, input.reason};
    act_on(now, held, item.joiner.step(now, end), refusal{}, actions);
}

void completion_dispatcher::caller_left(instant now, exchange_number exchange,
                                        std::vector<gateway_action>& actions)
{
    const auto held = requests_.find(exchange);
    if (held != requests_.end()) {
        forget(now, held, actions);
    }
}

void completion_dispatcher::tick(instant now, std::vector<gateway_action>& actions)
{
    for (const auto& timer : timers_.advance(now)) {
        const auto held = requests_.find(timer.key.exchange);
        if (held == requests_.end()) {
            continue;
        }
        switch (timer.key.why) {
        case due::time_limit:
            give_up(now, held,
                    {refusal_code::deadline, held->second.at.empty() ? ran_state::no : ran_state::unknown,
                     duration::zero(), "allow more time or ask for fewer tokens"},
                    actions);
            break;
        case due::retry:
            held->second.other_timer.reset();
            dispatch(now, held, actions);
            break;
        case due::open_gap:
            held->second.other_timer.reset();
            act_on(now, held, held->second.joiner.wake(now),
                   {refusal_code::upstream_gone, ran_state::unknown, routeless_retry_hint, "ask again"},
                   actions);
            break;
        }
    }
}

void completion_dispatcher::act_on(instant now, requests::iterator held, std::vector<stream_output> outputs,
                                   const refusal& why, std::vector<gateway_action>& actions)
{
    const auto exchange = held->first;
    for (auto& output : outputs) {
        if (auto* tokens = std::get_if<deliver_tokens>(&output)) {
            actions.push_back(gateway_output::deliver{exchange, tokens->offset, std::move(tokens->tokens)});
        }
        else if (auto* end = std::get_if<finish_stream>(&output)) {
            actions.push_back(gateway_output::finish{exchange, end->tokens, std::move(end->finish_reason)});
            forget(now, held, actions);
            return;
        }
        else if (std::holds_alternative<resume_stream>(output)) {
            try_again(now, held, why, actions);
            return;
        }
        else if (const auto* failed = std::get_if<fail_stream>(&output)) {
            auto said = failed->why;
            if (why.code != refusal_code::internal) {
                said = why; // the last upstream's own word tells the caller more
            }
            give_up(now, held, said, actions);
            return;
        }
    }
    watch_gap(held);
}

void completion_dispatcher::try_again(instant now, requests::iterator held, const refusal& why,
                                      std::vector<gateway_action>& actions)
{
    auto& item = held->second;
    if (!item.at.empty()) {
        // A gap that stayed open: the try still runs, and must not go on beside the next one.
        actions.push_back(gateway_output::cancel_attempt{{held->first, item.running}});
        item.routing.excluded.push_back(item.at);
        end_attempt(now, item);
    }
    gangs_.give_back(now, held->first, actions);
    const auto others = routes_.choose(now, item.routing);
    const failed_attempt failed{call_kind::stream, why.ran,
                                why.code,          why.retry_after,
                                item.attempts,     std::holds_alternative<route_choice>(others)};
    const auto decision = rules_.failed(now, failed, item.limit);
    if (const auto* final_answer = std::get_if<refusal>(&decision)) {
        give_up(now, held, *final_answer, actions);
        return;
    }
    const auto when = std::get<retry_at>(decision).when;
    if (when <= now) {
        dispatch(now, held, actions);
        return;
    }
    set_other_timer(held, when, due::retry);
}

void completion_dispatcher::give_up(instant now, requests::iterator held, const refusal& why,
                                    std::vector<gateway_action>& actions)
{
    auto said = why;
    // Guards against a false "not run": the last try was surely not run, but an earlier one may have been.
    if (held->second.joiner.delivered() > 0 || held->second.may_have_run ||
        gangs_.may_have_run(held->first)) {
        said.ran = ran_state::unknown;
    }
    actions.push_back(gateway_output::refuse{held->first, std::move(said)});
    forget(now, held, actions);
}

void completion_dispatcher::end_attempt(instant now, request& item)
{
    routes_.table().finished(now, item.at, item.asked.request, item.running);
    item.at = upstream_id{};
}

auto completion_dispatcher::wait_again(instant now, requests::iterator held, refusal_code code,
                                       duration after) -> bool
{
    auto& item = held->second;
    if (!item.was_on_hold || !is_passing(code)) {
        return false;
    }
    // Guards against work that this gateway took in, made wait, and then gives up because the upstreams have
    // no room in the moment in which it goes on: its caller would have waited for nothing. It is tried at a
    // pace that loads nobody until its limit, which its timer keeps.
    item.joiner.switch_attempt();
    item.routing.excluded.clear();
    set_other_timer(held, now + std::max(after, waiting_retry), due::retry);
    return true;
}

void completion_dispatcher::watch_gap(requests::iterator held)
{
    auto& item = held->second;
    const auto wake = item.joiner.next_wake();
    if (wake && !item.other_timer) {
        set_other_timer(held, *wake, due::open_gap);
    }
}

void completion_dispatcher::set_other_timer(requests::iterator held, instant at, due why)
{
    auto& item = held->second;
    if (item.other_timer) {
        timers_.cancel(*item.other_timer);
    }
    const auto timer = timers_.subscribe(at, wake_key{held->first, why});
    DRAGONFLYMILL_ASSERT(timer, "there are two timers for each request");
    item.other_timer = timer.value();
}

void completion_dispatcher::forget(instant now, requests::iterator held, std::vector<gateway_action>& actions)
{
    auto& item = held->second;
    if (!item.at.empty()) {
        actions.push_back(gateway_output::cancel_attempt{{held->first, item.running}});
        end_attempt(now, item);
    }
    gangs_.finish(now, held->first, actions);
    timers_.cancel(item.limit_timer);
    if (item.other_timer) {
        timers_.cancel(*item.other_timer);
    }
    requests_.erase(held);
}

} // namespace dragonflymill
