#include "dragonflymill/serve/attempt_tracker.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflymill {

namespace {

constexpr duration retry_hint = 50ms;
/// Tokens in the answer of a warm-up request: enough to show that the engine decodes.
constexpr token_count warm_up_answer_tokens = 4;
/// Timeout of a warm-up request, beyond which its result gives no evidence.
constexpr duration warm_up_timeout = 30s;
/// Interval between the starts of warm-up requests while each one leads to a step of the ramp.
constexpr duration warm_up_interval = 200ms;
/// Maximum interval between warm-up requests, and the delay after a failed one.
constexpr duration warm_up_backoff = 2s;

/// Part of the free capacity that a warm-up request uses: over three quarters of the allowance, so that the
/// ramp counts it as full load, with the rest left for short requests that arrive while it runs.
auto warm_up_share(work_cost available) -> work_cost
{
    return available * 4 / 5;
}

auto refusal_for(refusal_code code, ran_state ran) -> refusal
{
    switch (code) {
    case refusal_code::deadline:
        return {code, ran, duration::zero(), "allow more time"};
    case refusal_code::cancelled:
        return {code, ran, duration::zero(), "nothing to do: the caller left"};
    case refusal_code::overloaded:
        return {code, ran, retry_hint, "try another upstream"};
    case refusal_code::no_route:
        return {code, ran, duration::zero(), "the model or adapter is not loaded here; try another upstream"};
    default:
        return {code, ran, retry_hint, "resume on another upstream"};
    }
}

} // namespace

auto engine_request_of(const attempt_spec& spec) -> std::string
{
    return spec.request.text() + "." + std::to_string(spec.attempt.value());
}

attempt_tracker::attempt_tracker(permit_controller& gate, duration cancel_backoff, std::string warm_up_prefix,
                                 const stream_stall_options& watch)
    : gate_(gate)
    , cancel_backoff_(cancel_backoff)
    , watch_(watch)
    , warm_up_prefix_(std::move(warm_up_prefix))
{
}

void attempt_tracker::warm_up(instant now, const model_id& model, std::vector<sidecar_action>& actions)
{
    const auto cost = warm_up_share(gate_.warm_up_cost(now));
    if (warm_up_ || model.empty() || now < next_warm_up_ || cost <= warm_up_answer_tokens) {
        return;
    }
    const auto allowed = gate_.load().allowed;
    const bool raised = allowed > warm_up_allowed_;
    warm_up_allowed_ = allowed;
    warm_up_delay_ = raised ? warm_up_interval : std::min(2 * warm_up_delay_, warm_up_backoff);
    next_warm_up_ = now + warm_up_delay_;
    attempt_spec spec;
    spec.request = request_id(warm_up_prefix_ + std::to_string(++warm_up_count_));
    spec.attempt = attempt_number(1);
    spec.gateway = process_id(warm_up_prefix_);
    spec.model = model;
    spec.size = all_length_classes.back(); // the engine schedules this class last
    spec.request_priority = priority::overnight;
    spec.prompt_tokens = cost - warm_up_answer_tokens;
    spec.prefill = spec.prompt_tokens;
    spec.max_tokens = warm_up_answer_tokens;
    spec.remaining = warm_up_timeout;
    const auto answer =
        gate_.ask(now, permit_request{spec.gateway, length_class::interactive, cost, spec.prefill});
    const auto* granted = std::get_if<permit>(&answer);
    if (granted == nullptr || !gate_.begin(now, granted->lease)) {
        return;
    }
    // The shell numbers calls upwards from 1; warm-ups count down from the largest number.
    const call_number call(std::numeric_limits<std::uint64_t>::max() - warm_up_count_);
    const auto& entry = add(
        call, attempt{spec, granted->lease, deadline_budget(now, spec.remaining), phase::at_engine, true});
    warm_up_ = call;
    watch_.began(now, call, spec.prompt_tokens);
    actions.push_back(
        sidecar_output::start_warm_up{call, engine_request_of(entry.spec), entry.spec, entry.limit.end()});
}

void attempt_tracker::end_warm_up(instant now, std::vector<sidecar_action>& actions)
{
    if (warm_up_) {
        end_with(now, attempts_.find(*warm_up_), refusal_code::cancelled, actions);
    }
}

void attempt_tracker::send_to_gateway(const attempt& entry, sidecar_action action,
                                      std::vector<sidecar_action>& actions)
{
    if (!entry.is_warm_up) {
        actions.push_back(std::move(action));
    }
}

auto attempt_tracker::add(call_number call, attempt&& made) -> attempt&
{
    const auto [entry, is_new] = attempts_.emplace(call, std::move(made));
    DRAGONFLYMILL_ASSERT(is_new, "call numbers must be unique");
    by_lease_.emplace(entry->second.lease, call);
    by_gateway_[entry->second.spec.gateway].insert(call);
    deadlines_.emplace(entry->second.limit.end(), call);
    return entry->second;
}

void attempt_tracker::opened(instant now, const sidecar_input::attempt_opened& input,
                             std::vector<sidecar_action>& actions)
{
    const auto& spec = input.spec;
    renew_gateway_permits(now, spec.gateway);
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

void attempt_tracker::release_permit(instant now, const attempt& entry, work_outcome outcome)
{
    // An exported span stays at the engine, and the share keeps its permit until the span is released.
    if (!entry.spec.is_export()) {
        gate_.done(now, entry.lease, outcome);
    }
}

void attempt_tracker::prompt_received(instant now, call_number call, std::vector<sidecar_action>& actions)
{
    const auto entry = attempts_.find(call);
    if (entry == attempts_.end() || entry->second.state != phase::waiting_for_prompt) {
        return;
    }
    auto& it = entry->second;
    if (it.limit.expired(now)) {
        end_with(now, entry, refusal_code::deadline, actions);
        return;
    }
    if (!gate_.begin(now, it.lease)) {
        end_with(now, entry, refusal_code::upstream_cold, actions);
        return;
    }
    it.state = phase::at_engine;
    watch_.began(now, call, it.spec.prompt_tokens);
    actions.push_back(
        sidecar_output::start_stream{call, engine_request_of(it.spec), it.spec, it.limit.end()});
}

void attempt_tracker::cancelled(instant now, call_number call, std::vector<sidecar_action>& actions)
{
    const auto entry = attempts_.find(call);
    if (entry == attempts_.end()) {
        return;
    }
    end_with(now, entry, refusal_code::cancelled, actions);
}

void attempt_tracker::renew_gateway_permits(instant now, const process_id& gateway)
{
    const auto calls = by_gateway_.find(gateway);
    if (calls == by_gateway_.end()) {
        return;
    }
    for (const auto call : calls->second) {
        const bool renewed = gate_.renew(now, attempts_.at(call).lease);
        static_cast<void>(renewed); // a permit that has ended is reported by the permit controller's tick
    }
}

void attempt_tracker::tokens(instant now, const sidecar_input::engine_tokens& input,
                             std::vector<sidecar_action>& actions)
{
    const auto entry = attempts_.find(input.call);
    if (entry == attempts_.end()) {
        return;
    }
    watch_.progressed(now, input.call);
    if (entry->second.state == phase::at_engine) {
        entry->second.state = phase::decoding;
        gate_.first_token(now, entry->second.lease);
    }
    send_to_gateway(entry->second, sidecar_output::send_tokens{input.call, input.offset, input.tokens},
                    actions);
}

void attempt_tracker::finished(instant now, const sidecar_input::engine_finished& input,
                               std::vector<sidecar_action>& actions)
{
    const auto entry = attempts_.find(input.call);
    if (entry == attempts_.end()) {
        return;
    }
    if (entry->second.spec.is_export()) {
        gate_.first_token(now, entry->second.lease);
    }
    release_permit(now, entry->second, work_outcome::success);
    send_to_gateway(entry->second,
                    sidecar_output::finish_attempt{input.call, input.tokens, input.reason, input.source},
                    actions);
    remove_attempt(entry);
}

void attempt_tracker::failed(instant now, const sidecar_input::engine_failed& input,
                             std::vector<sidecar_action>& actions)
{
    const auto entry = attempts_.find(input.call);
    if (entry == attempts_.end()) {
        return;
    }
    if (entry->second.is_warm_up) {
        next_warm_up_ = now + warm_up_backoff;
    }
    const auto ran = input.sent ? ran_state::unknown : ran_state::no;
    if (input.overloaded || input.not_loaded || !input.sent) {
        // The engine accepted nothing, so there is nothing to cancel.
        const auto outcome = input.overloaded ? work_outcome::overloaded : work_outcome::failed;
        auto code = refusal_code::upstream_gone;
        if (input.overloaded) {
            code = refusal_code::overloaded;
        }
        else if (input.not_loaded) {
            code = refusal_code::no_route;
        }
        release_permit(now, entry->second, outcome);
        send_to_gateway(entry->second,
                        sidecar_output::refuse_call{input.call, refusal_for(code, ran_state::no)}, actions);
        remove_attempt(entry);
        return;
    }
    send_to_gateway(entry->second,
                    sidecar_output::refuse_call{input.call, refusal_for(refusal_code::upstream_gone, ran)},
                    actions);
    cancel_at_engine(now, entry, actions);
}

void attempt_tracker::reconcile(instant now, const sidecar_input::engine_reported& report,
                                std::vector<sidecar_action>& actions)
{
    const bool restarted = engine_start_ != incarnation{} && report.status.start != engine_start_;
    engine_start_ = report.status.start;
    watch_.reported(report.status.queued_prefill, report.status.cold);
    if (restarted) {
        cancels_.clear(); // a restarted engine holds nothing, and the permit controller has ended the permits
    }
    std::set<std::string> known;
    for (const auto& [call, entry] : attempts_) {
        known.insert(engine_request_of(entry.spec));
    }
    for (const auto& holding : report.held) {
        if (holding.kv || known.count(holding.id) != 0 || cancels_.count(holding.id) != 0) {
            continue;
        }
        // Guards against a memory leak at the engine: a predecessor of this process died and left streams
        // that nobody reads, which only this report shows. A stream that this process has not started is
        // unused, since a gateway resumes its request under a new name.
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
    const auto entry = attempts_.find(call->second);
    if (ended.why == permit_end::upstream_started) {
        const auto ran = ended.begun ? ran_state::unknown : ran_state::no;
        send_to_gateway(
            entry->second,
            sidecar_output::refuse_call{entry->first, refusal_for(refusal_code::upstream_gone, ran)},
            actions);
        remove_attempt(entry);
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
        end_with(now, entry, code, actions);
    }
}

void attempt_tracker::tick(instant now, std::vector<sidecar_action>& actions)
{
    // Renews the permit of the warm-up request, which has no gateway.
    renew_gateway_permits(now, process_id(warm_up_prefix_));
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        end_with(now, attempts_.find(deadlines_.begin()->second), refusal_code::deadline, actions);
    }
    end_silent_attempts(now, actions);
    // A lost cancel would leave the stream's memory allocated at the engine for good, so it is repeated until
    // the engine confirms it or restarts.
    for (auto& [engine_request, pending] : cancels_) {
        if (pending.resend_at <= now) {
            pending.resend_at = now + cancel_backoff_;
            actions.push_back(sidecar_output::cancel_stream{pending.call, engine_request});
        }
    }
}

auto attempt_tracker::find(call_number call) const -> const attempt_spec*
{
    const auto entry = attempts_.find(call);
    return entry == attempts_.end() ? nullptr : &entry->second.spec;
}

void attempt_tracker::end_silent_attempts(instant now, std::vector<sidecar_action>& actions)
{
    for (const auto call : watch_.silent(now, gate_.trusted_first_token_line())) {
        const auto entry = attempts_.find(call);
        // A warm-up request may be slow at a cold engine and no caller waits for it: it has its own timeout.
        if (!entry->second.is_warm_up) {
            end_with(now, entry, refusal_code::upstream_gone, actions);
        }
    }
}

auto attempt_tracker::queued_prefill() const -> std::array<token_count, length_class_count>
{
    std::array<token_count, length_class_count> queued{};
    for (const auto& [call, entry] : attempts_) {
        if (entry.state != phase::decoding) {
            queued[index_of(entry.spec.size)] += entry.spec.prefill;
        }
    }
    return queued;
}

auto attempt_tracker::running() const -> std::int64_t
{
    return std::count_if(attempts_.begin(), attempts_.end(),
                         [](const auto& item) { return item.second.state == phase::decoding; });
}

void attempt_tracker::end_with(instant now, attempts::iterator entry, refusal_code code,
                               std::vector<sidecar_action>& actions)
{
    const bool begun = entry->second.state != phase::waiting_for_prompt;
    const auto ran = begun ? ran_state::unknown : ran_state::no;
    send_to_gateway(entry->second, sidecar_output::refuse_call{entry->first, refusal_for(code, ran)},
                    actions);
    if (begun) {
        cancel_at_engine(now, entry, actions);
        return;
    }
    release_permit(now, entry->second, work_outcome::cancelled);
    remove_attempt(entry);
}

void attempt_tracker::cancel_at_engine(instant now, attempts::iterator entry,
                                       std::vector<sidecar_action>& actions)
{
    const auto engine_request = engine_request_of(entry->second.spec);
    const auto lease = entry->second.spec.is_export() ? lease_id{} : entry->second.lease;
    cancels_.emplace(engine_request, pending_cancel{entry->first, lease, now + cancel_backoff_});
    actions.push_back(sidecar_output::cancel_stream{entry->first, engine_request});
    remove_attempt(entry);
}

void attempt_tracker::remove_attempt(attempts::iterator entry)
{
    const auto call = entry->first;
    watch_.ended(call);
    if (entry->second.is_warm_up) {
        warm_up_.reset();
    }
    const auto gateway = by_gateway_.find(entry->second.spec.gateway);
    gateway->second.erase(call);
    if (gateway->second.empty()) {
        by_gateway_.erase(gateway);
    }
    by_lease_.erase(entry->second.lease);
    deadlines_.erase({entry->second.limit.end(), call});
    attempts_.erase(entry);
}

} // namespace dragonflymill
