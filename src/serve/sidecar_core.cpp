#include "dragonflymill/serve/sidecar_core.h"

#include <string>

namespace dragonflymill {

using actions_out = std::vector<sidecar_action>;

namespace {

/// Retry time of a long prompt that is refused because free memory is reserved for a queued gang share.
constexpr duration queue_retry = 500ms;

auto order_options(instant now, const sidecar_core_options& options) -> order_dispatcher_options
{
    order_dispatcher_options made;
    made.self = options.ledger.upstream;
    made.tracker.start_seconds = options.start_seconds;
    made.tracker.started = now;
    made.tracker.predecessor_lease = options.own_lease_term;
    return made;
}

} // namespace

sidecar_core::sidecar_core(instant now, const sidecar_core_options& options)
    : options_(options)
    , gate_(now, options.gate, options.seed)
    , ledger_(options.ledger)
    , attempts_(gate_, options.cancel_backoff, "warm-up-" + std::to_string(options.seed) + "-", options.watch)
    , shares_(gate_, options.ledger.upstream, options.seed)
    , services_(gate_, ledger_, options.ledger.upstream)
    , own_lease_renewer_({options.ledger.upstream, options.ledger.self, options.own_lease_term})
    , orders_(order_options(now, options), options.seed)
    , last_step_(now)
    , reported_at_(now)
    , knows_capacity_(options.gate.ramp.ceiling > permit_controller_options{}.ramp.ceiling)
{
}

auto sidecar_core::step(instant now, const sidecar_event& event) -> std::vector<sidecar_action>
{
    renew_own_lease(now);
    actions_out actions;
    std::visit([&](const auto& input) { handle(now, input, actions); }, event);
    for (const auto lease : shares_.take_ended_permits()) {
        attempts_.share_ended(now, lease, actions);
    }
    return actions;
}

void sidecar_core::renew_own_lease(instant now)
{
    // Guards against an old sidecar that resumes after a pause while its successor is running: a service call
    // might run in both. It is detected by a gap between two steps that is longer than a successor waits, or
    // by another incarnation that answers at the own address.
    superseded_ = superseded() || now - last_step_ > options_.own_lease_term;
    last_step_ = now;
    ledger_.renew_own_lease(superseded_ ? instant::min() : own_lease_renewer_.valid_until(now));
}

auto sidecar_core::load(instant now) const -> upstream_load
{
    const auto admission = gate_.load();
    upstream_load report;
    report.queued_prefill = attempts_.queued_prefill();
    report.running = attempts_.running();
    report.outstanding = admission.outstanding;
    report.allowed = admission.allowed;
    report.memory_used = memory_used_;
    report.age = now - reported_at_;
    report.start = last_report_.start;
    report.draining = admission.draining;
    report.cold = admission.allowed < admission.ceiling;
    return report;
}

auto sidecar_core::refuse_if_not_ready(call_number call, actions_out& actions) const -> bool
{
    // Guards against a request that arrives before the bundle: the permit controller would refuse it as
    // larger than the upstream can ever hold, and the caller would not retry.
    if (knows_capacity_) {
        return false;
    }
    actions.push_back(sidecar_output::refuse_call{
        call, {refusal_code::not_ready, ran_state::no, options_.gate.retry_base, "try another upstream"}});
    return true;
}

auto sidecar_core::refuse_if_stopping(call_number call, actions_out& actions) const -> bool
{
    if (!stopping_) {
        return false;
    }
    actions.push_back(sidecar_output::refuse_call{
        call, {refusal_code::stopping, ran_state::no, options_.gate.retry_base, "try another upstream"}});
    return true;
}

void sidecar_core::handle(instant now, const sidecar_input::attempt_opened& input, actions_out& actions)
{
    if (input.spec.share != lease_id{}) {
        // A gang that has started continues during a planned stop, so only its share is checked.
        if (const auto lease = shares_.use(now, input.spec)) {
            attempts_.opened_under(now, input, *lease, actions);
            return;
        }
        actions.push_back(sidecar_output::refuse_call{
            input.call,
            {refusal_code::upstream_gone, ran_state::no, options_.gate.retry_base, "reserve a new share"}});
        return;
    }
    if (refuse_if_stopping(input.call, actions) || refuse_if_not_ready(input.call, actions)) {
        return;
    }
    if (shares_.admits_only_reserved(now, input.spec)) {
        actions.push_back(
            sidecar_output::refuse_call{input.call,
                                        {refusal_code::overloaded, ran_state::no, queue_retry,
                                         "try another upstream, or this one after retry_after"}});
        return;
    }
    attempts_.opened(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::prompt_received& input, actions_out& actions)
{
    attempts_.prompt_received(now, input.call, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::call_cancelled& input, actions_out& actions)
{
    attempts_.cancelled(now, input.call, actions);
    services_.cancelled(input.call);
}

void sidecar_core::handle(instant now, const sidecar_input::gateway_heartbeat& input,
                          actions_out& /*actions*/)
{
    attempts_.renew_gateway_permits(now, input.gateway);
}

void sidecar_core::handle(instant now, const sidecar_input::engine_tokens& input, actions_out& actions)
{
    attempts_.tokens(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::engine_finished& input, actions_out& actions)
{
    if (!input.source.empty()) {
        if (const auto* spec = attempts_.find(input.call)) {
            shares_.exported(spec->exported_span);
        }
    }
    attempts_.finished(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::engine_failed& input, actions_out& actions)
{
    attempts_.failed(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::engine_reported& input, actions_out& actions)
{
    on_report(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::cancel_confirmed& input, actions_out& /*actions*/)
{
    attempts_.cancel_confirmed(now, input.engine_request);
}

void sidecar_core::handle(instant now, const sidecar_input::span_released& input, actions_out& /*actions*/)
{
    shares_.span_released(now, input.span);
}

void sidecar_core::handle(instant now, const sidecar_input::share_requested& input, actions_out& actions)
{
    if (stopping_) {
        actions.push_back(sidecar_output::refuse_share{
            input.call,
            {refusal_code::stopping, ran_state::no, options_.gate.retry_base, "ask another upstream"},
            false});
        return;
    }
    shares_.asked(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::share_renewal_requested& input,
                          actions_out& actions)
{
    shares_.renewal_asked(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::share_release_requested& input,
                          actions_out& actions)
{
    shares_.returned(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::ticket_requested& input, actions_out& actions)
{
    if (!refuse_if_stopping(input.call, actions)) {
        services_.ticket_asked(now, input, actions);
    }
}

void sidecar_core::handle(instant now, const sidecar_input::service_called& input, actions_out& actions)
{
    if (!refuse_if_stopping(input.call, actions)) {
        services_.called(now, input, actions);
    }
}

void sidecar_core::handle(instant now, const sidecar_input::status_requested& input, actions_out& actions)
{
    services_.status_asked(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::service_answered& input, actions_out& actions)
{
    services_.answered(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::service_failed& input, actions_out& actions)
{
    services_.broken(now, input, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::drain_changed& input, actions_out& actions)
{
    drained_ = input.out;
    gate_.set_draining(now, drained_ || stopping_);
    if (drained_) {
        attempts_.end_warm_up(now, actions);
    }
}

void sidecar_core::handle(instant now, const sidecar_input::capacity_changed& input, actions_out& /*actions*/)
{
    knows_capacity_ = true;
    gate_.resize(now, input.cold, input.warm);
    warm_up_model_ = input.warm_up_model;
}

void sidecar_core::handle(instant now, const sidecar_input::routes_changed& input, actions_out& /*actions*/)
{
    services_.routes_changed(now, input.routes);
}

void sidecar_core::handle(instant now, const sidecar_input::listening& /*input*/, actions_out& /*actions*/)
{
    own_lease_renewer_.listening(now);
    ledger_.extend_predecessor_lease(now + options_.own_lease_term);
}

void sidecar_core::handle(instant /*now*/, const sidecar_input::bundle_confirmed& input,
                          actions_out& /*actions*/)
{
    own_lease_renewer_.bundle_confirmed(input.asked);
}

void sidecar_core::handle(instant /*now*/, const sidecar_input::peers_changed& input,
                          actions_out& /*actions*/)
{
    own_lease_renewer_.peers_changed(input.any);
}

void sidecar_core::handle(instant now, const sidecar_input::declared_changed& input, actions_out& /*actions*/)
{
    own_lease_renewer_.address_changed(input.own_address);
    orders_.declared(now, input);
}

void sidecar_core::handle(instant /*now*/, const sidecar_input::sidecar_answered& input,
                          actions_out& /*actions*/)
{
    own_lease_renewer_.answered(input);
    orders_.answered(input);
}

void sidecar_core::handle(instant now, const sidecar_input::order_answered& input, actions_out& /*actions*/)
{
    orders_.answered(now, input);
}

void sidecar_core::handle(instant now, const sidecar_input::stop_requested& /*input*/, actions_out& actions)
{
    stopping_ = true;
    gate_.set_draining(now, true);
    attempts_.end_warm_up(now, actions);
    on_tick(now, actions);
}

void sidecar_core::handle(instant now, const sidecar_input::tick& /*input*/, actions_out& actions)
{
    on_tick(now, actions);
}

void sidecar_core::end_permits(instant now, actions_out& actions)
{
    for (const auto& ended : gate_.tick(now)) {
        attempts_.permit_ended(now, ended, actions);
        shares_.permit_ended(now, ended);
    }
}

void sidecar_core::on_tick(instant now, actions_out& actions)
{
    shares_.tick(now, actions);
    end_permits(now, actions);
    attempts_.tick(now, actions);
    if (!stopping_ && !drained_) {
        attempts_.warm_up(now, warm_up_model_, actions);
    }
    services_.tick(now, actions);
    ledger_.tick(now);
    own_lease_renewer_.tick(now, actions);
    if (!stopping_) {
        orders_.tick(now, ledger_.own_lease(), actions);
    }
    if (stopping_ && in_flight() == 0 && !all_done_sent_) {
        all_done_sent_ = true;
        actions.push_back(sidecar_output::all_done{});
    }
}

void sidecar_core::on_report(instant now, const sidecar_input::engine_reported& report, actions_out& actions)
{
    reported_at_ = now;
    last_report_ = report.status;
    memory_used_ = report.memory_used;
    gate_.report(now, report.status);
    end_permits(now, actions);
    attempts_.reconcile(now, report, actions);
    shares_.reconcile(now, report);
    orders_.engine_state_received(now, report);
}

} // namespace dragonflymill
