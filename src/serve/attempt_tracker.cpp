#include "dragonflymill/serve/attempt_tracker.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflymill {

namespace {

constexpr duration lost_retry_hint = 50ms;
/// Answer of a warm-up request: long enough to show that the engine decodes.
constexpr token_count warm_up_answer = 4;
/// A warm-up request that takes longer than this tells nothing more.
constexpr duration warm_up_limit = 30s;
/// Time from the start of one warm-up request to the next, as long as each leads to a step of the ramp.
constexpr duration warm_up_pause = 200ms;
/// Longest time between two, and the time after one that failed.
constexpr duration warm_up_backoff = 2s;

/// Part of the room that a warm-up takes: over three quarters of what is allowed, so that it counts as ran
/// near the limit, but with some left for short requests that come while it runs.
auto warm_up_share(work_cost room) -> work_cost
{
    return room * 4 / 5;
}

auto refusal_for(refusal_code code, ran_state ran) -> refusal
{
    switch (code) {
    case refusal_code::deadline:
        return {code, ran, duration::zero(), "allow more time"};
    case refusal_code::cancelled:
        return {code, ran, duration::zero(), "nothing to do: the caller left"};
    case refusal_code::overloaded:
        return {code, ran, lost_retry_hint, "try another upstream"};
    case refusal_code::no_route:
        return {code, ran, duration::zero(), "the model or adapter is not loaded here; try another upstream"};
    default:
        return {code, ran, lost_retry_hint, "resume on another upstream"};
    }
}

} // namespace

auto engine_request_of(const attempt_spec& spec) -> std::string
{
    return spec.request.text() + "." + std::to_string(spec.attempt.value());
}

attempt_tracker::attempt_tracker(permit_controller& gate, duration cancel_backoff, std::string warm_ups,
                                 const stream_stall_options& watch)
    : gate_(gate)
    , cancel_backoff_(cancel_backoff)
    , watch_(watch)
    , warm_ups_(std::move(warm_ups))
{
}

void attempt_tracker::warm_up(instant now, const model_id& model, std::vector<sidecar_action>& actions)
{
    const auto cost = warm_up_share(gate_.warm_up_cost(now));
    if (warm_up_ || model.empty() || now < next_warm_up_ || cost <= warm_up_answer) {
        return;
    }
    const auto allowed = gate_.load().allowed;
    const bool helped = allowed > warm_up_allowed_;
    warm_up_allowed_ = allowed;
    warm_up_wait_ = helped ? warm_up_pause : std::min(2 * warm_up_wait_, warm_up_backoff);
    next_warm_up_ = now + warm_up_wait_;
    attempt_spec spec;
    spec.request = request_id(warm_ups_ + std::to_string(++warm_up_count_));
    spec.attempt = attempt_number(1);
    spec.gateway = process_id(warm_ups_);
    spec.model = model;
    spec.size = all_length_classes.back(); // the engine serves it last
    spec.request_priority = priority::overnight;
    spec.prompt_tokens = cost - warm_up_answer;
    spec.prefill = spec.prompt_tokens;
    spec.max_tokens = warm_up_answer;
    spec.remaining = warm_up_limit;
    const auto answer =
        gate_.ask(now, permit_request{spec.gateway, length_class::interactive, cost, spec.prefill});
    const auto* granted = std::get_if<permit>(&answer);
    if (granted == nullptr || !gate_.begin(now, granted->lease)) {
        return;
    }
    // Calls are numbered from below, warm-ups from above.
    const call_number call(std::numeric_limits<std::uint64_t>::max() - warm_up_count_);
    const auto& held = add(
        call, attempt{spec, granted->lease, deadline_budget(now, spec.remaining), phase::at_engine, true});
    warm_up_ = call;
    watch_.began(now, call, spec.prompt_tokens);
    actions.push_back(
        sidecar_output::start_warm_up{call, engine_request_of(held.spec), held.spec, held.limit.end()});
}

void attempt_tracker::end_warm_up(instant now, std::vector<sidecar_action>& actions)
{
    if (warm_up_) {
        end_with(now, attempts_.find(*warm_up_), refusal_code::cancelled, actions);
    }
}

void attempt_tracker::tell(const attempt& held, sidecar_action action, std::vector<sidecar_action>& actions)
{
    if (!held.own) {
        actions.push_back(std::move(action));
    }
}

auto attempt_tracker::add(call_number call, attempt&& made) -> attempt&
{
    const auto [held, is_new] = attempts_.emplace(call, std::move(made));
    DRAGONFLYMILL_ASSERT(is_new, "each call has a number of its own");
    by_lease_.emplace(held->second.lease, call);
    by_gateway_[held->second.spec.gateway].insert(call);
    deadlines_.emplace(held->second.limit.end(), call);
    return held->second;
}

void attempt_tracker::opened(instant now, const sidecar_input::attempt_opened& input,
                             std::vector<sidecar_action>& actions)
{
    const auto& spec = input.spec;
    gateway_heard(now, spec.gateway);
    const deadline_budget limit(now, spec.remaining);
    if (limit.expired(now)) {
        actions.push_back(
            sidecar_output::refuse_call{input.call, refusal_for(refusal_code::deadline, ran_state::no)});
        return;
    }
    const auto answer = gate_.ask(
        now, permit_request{spec.gateway, spec.size, spec.prompt_tokens + spec.max_tokens, spec.prefill});
    if (const auto* refused = std::get_if<refusal>(&answer)) {
        actions.push_back(sidecar_output::refuse_call{input.call, *refused});
        return;
    }
    const auto lease = std::get<permit>(answer).lease;
    add(input.call, attempt{spec, lease, limit});
    actions.push_back(sidecar_output::grant_attempt{input.call, lease});
}

void attempt_tracker::opened_under(instant now, const sidecar_input::attempt_opened& input, lease_id lease,
                                   std::vector<sidecar_action>& actions)
{
    add(input.call, attempt{input.spec, lease, deadline_budget(now, input.spec.remaining)});
    actions.push_back(sidecar_output::grant_attempt{input.call, lease});
}

void attempt_tracker::share_ended(instant now, lease_id lease, std::vector<sidecar_action>& actions)
{
    const auto call = by_lease_.find(lease);
    if (call != by_lease_.end()) {
        end_with(now, attempts_.find(call->second), refusal_code::upstream_gone, actions);
    }
}

void attempt_tracker::give_back(instant now, const attempt& held, work_outcome outcome)
{
    // The span that a try computed stays at the engine, and the share keeps its permit until it is released.
    if (!held.spec.is_export()) {
        gate_.done(now, held.lease, outcome);
    }
}

void attempt_tracker::prompt_received(instant now, call_number call, std::vector<sidecar_action>& actions)
{
    const auto held = attempts_.find(call);
    if (held == attempts_.end() || held->second.now_in != phase::waiting_for_prompt) {
        return;
    }
    auto& it = held->second;
    if (it.limit.expired(now)) {
        end_with(now, held, refusal_code::deadline, actions);
        return;
    }
    if (!gate_.begin(now, it.lease)) {
        end_with(now, held, refusal_code::upstream_cold, actions);
        return;
    }
    it.now_in = phase::at_engine;
    watch_.began(now, call, it.spec.prompt_tokens);
    actions.push_back(
        sidecar_output::start_stream{call, engine_request_of(it.spec), it.spec, it.limit.end()});
}

void attempt_tracker::cancelled(instant now, call_number call, std::vector<sidecar_action>& actions)
{
    const auto held = attempts_.find(call);
    if (held == attempts_.end()) {
        return;
    }
    end_with(now, held, refusal_code::cancelled, actions);
}

void attempt_tracker::gateway_heard(instant now, const process_id& gateway)
{
    const auto calls = by_gateway_.find(gateway);
    if (calls == by_gateway_.end()) {
        return;
    }
    for (const auto call : calls->second) {
        const bool renewed = gate_.renew(now, attempts_.at(call).lease);
        static_cast<void>(renewed); // one that has ended is reported by the gate's tick
    }
}

void attempt_tracker::tokens(instant now, const sidecar_input::engine_tokens& input,
                             std::vector<sidecar_action>& actions)
{
    const auto held = attempts_.find(input.call);
    if (held == attempts_.end()) {
        return;
    }
    watch_.progressed(now, input.call);
    if (held->second.now_in == phase::at_engine) {
        held->second.now_in = phase::decoding;
        gate_.first_token(now, held->second.lease);
    }
    tell(held->second, sidecar_output::send_tokens{input.call, input.offset, input.tokens}, actions);
}

void attempt_tracker::finished(instant now, const sidecar_input::engine_finished& input,
                               std::vector<sidecar_action>& actions)
{
    const auto held = attempts_.find(input.call);
    if (held == attempts_.end()) {
        return;
    }
    if (held->second.spec.is_export()) {
        gate_.first_token(now, held->second.lease);
    }
    give_back(now, held->second, work_outcome::success);
    tell(held->second, sidecar_output::finish_attempt{input.call, input.tokens, input.reason, input.source},
         actions);
    forget(held);
}

void attempt_tracker::failed(instant now, const sidecar_input::engine_failed& input,
                             std::vector<sidecar_action>& actions)
{
    const auto held = attempts_.find(input.call);
    if (held == attempts_.end()) {
        return;
    }
    if (held->second.own) {
        next_warm_up_ = now + warm_up_backoff;
    }
    const auto ran = input.sent ? ran_state::unknown : ran_state::no;
    if (input.overloaded || input.not_loaded || !input.sent) {
        // The engine took nothing, so there is nothing to cancel.
        const auto outcome = input.overloaded ? work_outcome::overloaded : work_outcome::failed;
        auto code = refusal_code::upstream_gone;
        if (input.overloaded) {
            code = refusal_code::overloaded;
        }
        else if (input.not_loaded) {
            code = refusal_code::no_route;
        }
        give_back(now, held->second, outcome);
        tell(held->second, sidecar_output::refuse_call{input.call, refusal_for(code, ran_state::no)},
             actions);
        forget(held);
        return;
    }
    tell(held->second, sidecar_output::refuse_call{input.call, refusal_for(refusal_code::upstream_gone, ran)},
         actions);
    cancel_at_engine(now, held, actions);
}

void attempt_tracker::reconcile(instant now, const sidecar_input::engine_reported& report,
                                std::vector<sidecar_action>& actions)
{
    const bool started_anew = engine_start_ != incarnation{} && report.status.start != engine_start_;
    engine_start_ = report.status.start;
    watch_.reported(report.status.queued_prefill, report.status.cold);
    if (started_anew) {
        cancels_.clear(); // the engine's memory is empty; the gate has taken the permits back itself
    }
    std::set<std::string> known;
    for (const auto& [call, held] : attempts_) {
        known.insert(engine_request_of(held.spec));
    }
    for (const auto& holding : report.held) {
        if (holding.kv || known.count(holding.id) != 0 || cancels_.count(holding.id) != 0) {
            continue;
        }
        // Guards against memory that is lost at the engine for good: a predecessor of this process died and
        // left streams that no one reads. They show only here. Whatever this process has not begun is not in
        // hand any more, since a gateway that wants it resumes under a new name.
        cancels_.emplace(holding.id, pending_cancel{call_number{}, lease_id{}, now + cancel_backoff_, true});
        actions.push_back(sidecar_output::cancel_stream{call_number{}, holding.id});
    }
}

void attempt_tracker::cancel_confirmed(instant now, const std::string& engine_request)
{
    const auto pending = cancels_.find(engine_request);
    if (pending == cancels_.end()) {
        return;
    }
    gate_.done(now, pending->second.lease, work_outcome::cancelled);
    cancels_.erase(pending);
}

void attempt_tracker::permit_ended(instant now, const ended_permit& ended,
                                   std::vector<sidecar_action>& actions)
{
    const auto call = by_lease_.find(ended.lease);
    if (call == by_lease_.end()) {
        return;
    }
    const auto held = attempts_.find(call->second);
    if (ended.why == permit_end::upstream_started) {
        const auto ran = ended.begun ? ran_state::unknown : ran_state::no;
        tell(held->second,
             sidecar_output::refuse_call{held->first, refusal_for(refusal_code::upstream_gone, ran)},
             actions);
        forget(held);
        return;
    }
    auto code = refusal_code::upstream_gone;
    if (ended.why == permit_end::turned_cold) {
        code = refusal_code::upstream_cold;
    }
    else if (ended.why == permit_end::drained) {
        code = refusal_code::draining;
    }
    if (guard_holds(guard::lease_end)) {
        end_with(now, held, code, actions);
    }
}

void attempt_tracker::tick(instant now, std::vector<sidecar_action>& actions)
{
    gateway_heard(now, process_id(warm_ups_)); // a warm-up is this process's own
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        end_with(now, attempts_.find(deadlines_.begin()->second), refusal_code::deadline, actions);
    }
    give_up_silent(now, actions);
    // A cancel may be lost on its way, and then the engine would hold the stream's memory for good: it is
    // repeated until the engine confirms it, here or by its report.
    for (auto& [engine_request, pending] : cancels_) {
        if (pending.next_try <= now) {
            pending.next_try = now + cancel_backoff_;
            actions.push_back(sidecar_output::cancel_stream{pending.call, engine_request});
        }
    }
}

auto attempt_tracker::find(call_number call) const -> const attempt_spec*
{
    const auto held = attempts_.find(call);
    return held == attempts_.end() ? nullptr : &held->second.spec;
}

void attempt_tracker::give_up_silent(instant now, std::vector<sidecar_action>& actions)
{
    for (const auto call : watch_.silent(now, gate_.trusted_first_token_line())) {
        const auto held = attempts_.find(call);
        // Nobody waits for a warm-up, and a cold engine may take its time with it: it has a limit of its own.
        if (!held->second.own) {
            end_with(now, held, refusal_code::upstream_gone, actions);
        }
    }
}

auto attempt_tracker::queued_prefill() const -> std::array<token_count, length_class_count>
{
    std::array<token_count, length_class_count> queued{};
    for (const auto& [call, held] : attempts_) {
        if (held.now_in != phase::decoding) {
            queued[index_of(held.spec.size)] += held.spec.prefill;
        }
    }
    return queued;
}

auto attempt_tracker::running() const -> std::int64_t
{
    return std::count_if(attempts_.begin(), attempts_.end(),
                         [](const auto& item) { return item.second.now_in == phase::decoding; });
}

void attempt_tracker::end_with(instant now, attempts::iterator held, refusal_code code,
                               std::vector<sidecar_action>& actions)
{
    const bool begun = held->second.now_in != phase::waiting_for_prompt;
    const auto ran = begun ? ran_state::unknown : ran_state::no;
    tell(held->second, sidecar_output::refuse_call{held->first, refusal_for(code, ran)}, actions);
    if (begun) {
        cancel_at_engine(now, held, actions);
        return;
    }
    give_back(now, held->second, work_outcome::cancelled);
    forget(held);
}

void attempt_tracker::cancel_at_engine(instant now, attempts::iterator held,
                                       std::vector<sidecar_action>& actions)
{
    const auto engine_request = engine_request_of(held->second.spec);
    const auto lease = held->second.spec.is_export() ? lease_id{} : held->second.lease;
    cancels_.emplace(engine_request, pending_cancel{held->first, lease, now + cancel_backoff_});
    actions.push_back(sidecar_output::cancel_stream{held->first, engine_request});
    forget(held);
}

void attempt_tracker::forget(attempts::iterator held)
{
    const auto call = held->first;
    watch_.ended(call);
    if (held->second.own) {
        warm_up_.reset();
    }
    const auto gateway = by_gateway_.find(held->second.spec.gateway);
    gateway->second.erase(call);
    if (gateway->second.empty()) {
        by_gateway_.erase(gateway);
    }
    by_lease_.erase(held->second.lease);
    deadlines_.erase({held->second.limit.end(), call});
    attempts_.erase(held);
}

} // namespace dragonflymill
