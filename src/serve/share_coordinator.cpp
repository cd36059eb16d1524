#include "dragonflymill/serve/share_coordinator.h"

#include "dragonflymill/core/guard.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// Validity of a share without renewal, and maximum of the `hold` that a gateway may request.
constexpr duration share_term = 10s;
constexpr duration share_retry_after = 500ms;

auto table_options() -> lease_table_options
{
    lease_table_options options;
    options.term = share_term;
    return options;
}

auto kv_name(const std::string& span) -> holding_name
{
    return {true, span};
}

auto share_refusal(refusal_code code) -> refusal
{
    return {code, ran_state::no, share_retry_after, "ask another upstream, or this one after retry_after"};
}

} // namespace

auto span_name(const gang_key& gang, const upstream_id& upstream) -> std::string
{
    return gang.request.text() + "." + std::to_string(gang.round.value()) + "." + upstream.text();
}

share_coordinator::share_coordinator(permit_controller& gate, upstream_id self, std::uint64_t seed)
    : gate_(gate)
    , self_(std::move(self))
    , leases_(table_options(), seed)
{
}

void share_coordinator::asked(instant now, const sidecar_input::share_requested& input,
                              std::vector<sidecar_action>& actions)
{
    const auto found = shares_.find(input.wanted.gang);
    if (found == shares_.end()) {
        reserve(now, input, actions);
        return;
    }
    if (found->second.gateway != input.gateway || !renew(now, found->second)) {
        refuse(now, input, share_refusal(refusal_code::conflict), actions);
        return;
    }
    actions.push_back(sidecar_output::grant_share{input.call, found->second.lease, input.wanted.ask});
}

void share_coordinator::reserve(instant now, const sidecar_input::share_requested& input,
                                std::vector<sidecar_action>& actions)
{
    const auto& wanted = input.wanted;
    if (wanted.tokens <= 0 || wanted.hold > share_term) {
        refuse(now, input, share_refusal(refusal_code::internal), actions);
        return;
    }
    if (queued_for_other_gang(now, wanted.gang)) {
        refuse(now, input, share_refusal(refusal_code::overloaded), actions);
        return;
    }
    const auto answer =
        gate_.ask(now, permit_request{input.gateway, length_class::gang, wanted.tokens, wanted.tokens});
    if (const auto* refused = std::get_if<refusal>(&answer)) {
        refuse(now, input, *refused, actions);
        return;
    }
    const auto permit_lease = std::get<permit>(answer).lease;
    const auto span = span_name(wanted.gang, self_);
    const auto lease =
        leases_.hold(now, input.gateway, {kv_name(span), holding_kind::gang_share, wanted.tokens});
    if (!lease) {
        gate_.done(now, permit_lease, work_outcome::cancelled);
        refuse(now, input, share_refusal(refusal_code::conflict), actions);
        return;
    }
    queued_.reset();
    shares_.emplace(wanted.gang,
                    share{input.gateway, lease.value().lease, permit_lease, span, wanted.tokens});
    actions.push_back(sidecar_output::grant_share{input.call, lease.value().lease, wanted.ask});
}

void share_coordinator::refuse(instant now, const sidecar_input::share_requested& input, refusal why,
                               std::vector<sidecar_action>& actions)
{
    const bool in_line = may_queue(input.wanted, why);
    if (in_line) {
        queued_ = queued_gang{input.wanted.gang, now + input.wanted.hold};
    }
    actions.push_back(sidecar_output::refuse_share{input.call, std::move(why), in_line});
}

auto share_coordinator::may_queue(const reserve_share& wanted, const refusal& why) const -> bool
{
    // Only streams, which end soon, are worth waiting for. Gangs may hold their shares for long, and may
    // themselves wait for the gang that would wait here.
    token_count shared = wanted.tokens;
    for (const auto& [gang, held] : shares_) {
        shared += held.tokens;
    }
    const bool other_gang_queued = queued_ && queued_->gang != wanted.gang;
    return why.code == refusal_code::overloaded && !other_gang_queued &&
           shared <= gate_.largest_cost(length_class::gang);
}

auto share_coordinator::queued_for_other_gang(instant now, const gang_key& gang) const -> bool
{
    return queued_ && queued_->until > now && queued_->gang != gang;
}

auto share_coordinator::admits_only_reserved(instant now, const attempt_spec& spec) const -> bool
{
    const bool is_long = spec.size == length_class::bulk || spec.size == length_class::gang;
    return is_long && spec.share == lease_id{} && queued_ && queued_->until > now;
}

auto share_coordinator::renew(instant now, const share& held) -> bool
{
    const bool spans = std::all_of(held.imports.begin(), held.imports.end(),
                                   [&](lease_id lease) { return leases_.renew(now, lease); });
    return leases_.renew(now, held.lease) && spans;
}

void share_coordinator::renewal_asked(instant now, const sidecar_input::share_renewal_requested& input,
                                      std::vector<sidecar_action>& actions)
{
    const auto found = shares_.find(input.wanted.gang);
    const bool same = found != shares_.end() && found->second.lease == input.wanted.lease &&
                      found->second.gateway == input.gateway;
    if (!same || !renew(now, found->second)) {
        actions.push_back(
            sidecar_output::refuse_share{input.call, share_refusal(refusal_code::upstream_gone), false});
        return;
    }
    actions.push_back(sidecar_output::grant_share{input.call, found->second.lease, input.wanted.ask});
}

void share_coordinator::returned(instant now, const sidecar_input::share_release_requested& input,
                                 std::vector<sidecar_action>& actions)
{
    const auto found = shares_.find(input.gang);
    if (found != shares_.end() && found->second.gateway == input.gateway) {
        end_share(now, found);
    }
    if (queued_ && queued_->gang == input.gang) {
        queued_.reset();
    }
    actions.push_back(sidecar_output::confirm_share_return{input.call});
}

auto share_coordinator::use(instant now, const attempt_spec& spec) -> std::optional<lease_id>
{
    const auto found = std::find_if(shares_.begin(), shares_.end(),
                                    [&](const auto& item) { return item.second.lease == spec.share; });
    // Guards against a gateway that resumes after a pause and works under a share that now belongs to
    // another, and against a second span under one share, for which no memory is reserved.
    if (found == shares_.end() || found->second.gateway != spec.gateway ||
        found->first.request != spec.request || found->second.used_for != share_use::nothing) {
        return std::nullopt;
    }
    auto& item = found->second;
    if (spec.is_export()) {
        if (spec.exported_span != item.span || spec.span_end - spec.span_begin > item.tokens) {
            return std::nullopt;
        }
        item.used_for = share_use::computing_span;
        return item.permit;
    }
    for (const auto& each : spec.imports) {
        const holding what{kv_name(each.span), holding_kind::exported_span,
                           (each.end - each.begin) / import_memory_divisor + 1};
        const auto lease = leases_.hold(now, item.gateway, what);
        if (!lease) {
            return std::nullopt;
        }
        item.imports.push_back(lease.value().lease);
        item.imported_spans.push_back(each.span);
    }
    item.used_for = share_use::answer;
    return item.permit;
}

void share_coordinator::exported(const std::string& span)
{
    for (auto& [gang, held] : shares_) {
        if (held.span == span) {
            held.used_for = share_use::span;
        }
    }
}

void share_coordinator::span_released(instant now, const std::string& span)
{
    leases_.confirmed(kv_name(span));
    const auto freed = releasing_permits_.find(span);
    if (freed != releasing_permits_.end()) {
        gate_.done(now, freed->second, work_outcome::cancelled);
        releasing_permits_.erase(freed);
    }
}

void share_coordinator::permit_ended(instant now, const ended_permit& ended)
{
    const auto found = std::find_if(shares_.begin(), shares_.end(),
                                    [&](const auto& item) { return item.second.permit == ended.lease; });
    if (found != shares_.end() && found->second.used_for != share_use::answer) {
        end_share(now, found);
    }
}

void share_coordinator::reconcile(instant now, const sidecar_input::engine_reported& report)
{
    engine_inventory inventory{now, report.status.start, {}};
    for (const auto& each : report.held) {
        if (each.kv) {
            inventory.held.push_back({kv_name(each.id), holding_kind::exported_span, each.tokens});
        }
    }
    // Shares whose span is not computed yet are kept.
    for (const auto& [gang, held] : shares_) {
        if (held.used_for != share_use::span) {
            inventory.held.push_back({kv_name(held.span), holding_kind::gang_share, held.tokens});
        }
        for (const auto& span : held.imported_spans) {
            inventory.held.push_back({kv_name(span), holding_kind::exported_span, 0});
        }
    }
    leases_.reconcile(now, inventory);
    std::erase_if(releasing_permits_, [&](const auto& item) {
        const bool gone = !leases_.knows(kv_name(item.first));
        if (gone) {
            gate_.done(now, item.second, work_outcome::cancelled);
        }
        return gone;
    });
}

void share_coordinator::tick(instant now, std::vector<sidecar_action>& actions)
{
    for (const auto& [gang, held] : shares_) {
        if (held.used_for != share_use::answer) {
            const bool renewed = gate_.renew(now, held.permit);
            static_cast<void>(renewed); // an ended permit is reported by the gate's tick
        }
    }
    const auto due = leases_.tick(now);
    for (const auto& ended : due.ended) {
        end_share_of(now, ended.lease);
    }
    for (const auto& cancel : due.cancels) {
        actions.push_back(sidecar_output::release_span{cancel.what.id});
    }
}

void share_coordinator::end_share_of(instant now, lease_id lease)
{
    const auto found = std::find_if(shares_.begin(), shares_.end(), [&](const auto& item) {
        const auto& imports = item.second.imports;
        return item.second.lease == lease || std::count(imports.begin(), imports.end(), lease) != 0;
    });
    if (found != shares_.end()) {
        end_share(now, found);
    }
}

void share_coordinator::end_share(instant now, shares::iterator found)
{
    const auto& item = found->second;
    leases_.release(now, item.lease);
    for (const auto lease : item.imports) {
        leases_.release(now, lease);
    }
    const bool computed = item.used_for == share_use::computing_span || item.used_for == share_use::span;
    if (computed) {
        releasing_permits_.insert_or_assign(item.span, item.permit); // freed once the span is released
    }
    else if (item.used_for == share_use::nothing) {
        gate_.done(now, item.permit, work_outcome::cancelled);
    }
    if (item.used_for != share_use::nothing) {
        ended_.push_back(item.permit);
    }
    shares_.erase(found);
}

} // namespace dragonflymill
