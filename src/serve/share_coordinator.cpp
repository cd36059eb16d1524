#include "dragonflymill/serve/share_coordinator.h"

#include "dragonflymill/core/guard.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// Longest time that a share stands without renewal: a gateway's `hold` may not be longer.
constexpr duration share_term = 10s;
constexpr duration share_retry = 500ms;

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

auto no_share(refusal_code code) -> refusal
{
    return {code, ran_state::no, share_retry, "ask another upstream, or this one after retry_after"};
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
    const auto held = shares_.find(input.wanted.gang);
    if (held == shares_.end()) {
        reserve(now, input, actions);
        return;
    }
    if (held->second.gateway != input.gateway || !renew(now, held->second)) {
        refuse(now, input, no_share(refusal_code::conflict), actions);
        return;
    }
    actions.push_back(sidecar_output::grant_share{input.call, held->second.lease, input.wanted.ask});
}

void share_coordinator::reserve(instant now, const sidecar_input::share_requested& input,
                                std::vector<sidecar_action>& actions)
{
    const auto& wanted = input.wanted;
    if (wanted.tokens <= 0 || wanted.hold > share_term) {
        refuse(now, input, no_share(refusal_code::internal), actions);
        return;
    }
    if (line_for_another(now, wanted.gang)) {
        refuse(now, input, no_share(refusal_code::overloaded), actions);
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
        refuse(now, input, no_share(refusal_code::conflict), actions);
        return;
    }
    line_.reset();
    shares_.emplace(wanted.gang,
                    share{input.gateway, lease.value().lease, permit_lease, span, wanted.tokens});
    actions.push_back(sidecar_output::grant_share{input.call, lease.value().lease, wanted.ask});
}

void share_coordinator::refuse(instant now, const sidecar_input::share_requested& input, refusal why,
                               std::vector<sidecar_action>& actions)
{
    const bool in_line = may_wait(input.wanted, why);
    if (in_line) {
        line_ = place_in_line{input.wanted.gang, now + input.wanted.hold};
    }
    actions.push_back(sidecar_output::refuse_share{input.call, std::move(why), in_line});
}

auto share_coordinator::may_wait(const reserve_share& wanted, const refusal& why) const -> bool
{
    // A line is for streams, which are about to end. Gangs in the way may stay for long, and may themselves
    // wait for the one that would wait here.
    token_count shared = wanted.tokens;
    for (const auto& [gang, held] : shares_) {
        shared += held.tokens;
    }
    const bool others_turn = line_ && line_->gang != wanted.gang;
    return why.code == refusal_code::overloaded && !others_turn &&
           shared <= gate_.largest_cost(length_class::gang);
}

auto share_coordinator::line_for_another(instant now, const gang_key& gang) const -> bool
{
    return line_ && line_->until > now && line_->gang != gang;
}

auto share_coordinator::admits_only_reserved(instant now, const attempt_spec& spec) const -> bool
{
    const bool is_long = spec.size == length_class::bulk || spec.size == length_class::gang;
    return is_long && spec.share == lease_id{} && line_ && line_->until > now;
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
    const auto held = shares_.find(input.wanted.gang);
    const bool same = held != shares_.end() && held->second.lease == input.wanted.lease &&
                      held->second.gateway == input.gateway;
    if (!same || !renew(now, held->second)) {
        actions.push_back(
            sidecar_output::refuse_share{input.call, no_share(refusal_code::upstream_gone), false});
        return;
    }
    actions.push_back(sidecar_output::grant_share{input.call, held->second.lease, input.wanted.ask});
}

void share_coordinator::returned(instant now, const sidecar_input::share_release_requested& input,
                                 std::vector<sidecar_action>& actions)
{
    const auto held = shares_.find(input.gang);
    if (held != shares_.end() && held->second.gateway == input.gateway) {
        close(now, held);
    }
    if (line_ && line_->gang == input.gang) {
        line_.reset();
    }
    actions.push_back(sidecar_output::confirm_share_return{input.call});
}

auto share_coordinator::use(instant now, const attempt_spec& spec) -> std::optional<lease_id>
{
    const auto held = std::find_if(shares_.begin(), shares_.end(),
                                   [&](const auto& item) { return item.second.lease == spec.share; });
    // Guards against a gateway that wakes late and works under a share that is someone else's by now, and
    // against a second span under one share, whose memory nobody has set aside.
    if (held == shares_.end() || held->second.gateway != spec.gateway ||
        held->first.request != spec.request || held->second.used_for != use_of::nothing) {
        return std::nullopt;
    }
    auto& item = held->second;
    if (spec.is_export()) {
        if (spec.exported_span != item.span || spec.span_end - spec.span_begin > item.tokens) {
            return std::nullopt;
        }
        item.used_for = use_of::computing_span;
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
    item.used_for = use_of::answer;
    return item.permit;
}

void share_coordinator::exported(const std::string& span)
{
    for (auto& [gang, held] : shares_) {
        if (held.span == span) {
            held.used_for = use_of::span;
        }
    }
}

void share_coordinator::span_released(instant now, const std::string& span)
{
    leases_.confirmed(kv_name(span));
    const auto freed = freeing_.find(span);
    if (freed != freeing_.end()) {
        gate_.done(now, freed->second, work_outcome::cancelled);
        freeing_.erase(freed);
    }
}

void share_coordinator::permit_ended(instant now, const ended_permit& ended)
{
    const auto held = std::find_if(shares_.begin(), shares_.end(),
                                   [&](const auto& item) { return item.second.permit == ended.lease; });
    if (held != shares_.end() && held->second.used_for != use_of::answer) {
        close(now, held);
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
    // A promise is kept for a span that is not there yet.
    for (const auto& [gang, held] : shares_) {
        if (held.used_for != use_of::span) {
            inventory.held.push_back({kv_name(held.span), holding_kind::gang_share, held.tokens});
        }
        for (const auto& span : held.imported_spans) {
            inventory.held.push_back({kv_name(span), holding_kind::exported_span, 0});
        }
    }
    leases_.reconcile(now, inventory);
    std::erase_if(freeing_, [&](const auto& item) {
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
        if (held.used_for != use_of::answer) {
            const bool renewed = gate_.renew(now, held.permit);
            static_cast<void>(renewed); // one that has ended is reported by the gate's tick
        }
    }
    const auto due = leases_.tick(now);
    for (const auto& ended : due.ended) {
        close_owner_of(now, ended.lease);
    }
    for (const auto& cancel : due.cancels) {
        actions.push_back(sidecar_output::release_span{cancel.what.id});
    }
}

void share_coordinator::close_owner_of(instant now, lease_id lease)
{
    const auto held = std::find_if(shares_.begin(), shares_.end(), [&](const auto& item) {
        const auto& imports = item.second.imports;
        return item.second.lease == lease || std::count(imports.begin(), imports.end(), lease) != 0;
    });
    if (held != shares_.end()) {
        close(now, held);
    }
}

void share_coordinator::close(instant now, shares::iterator held)
{
    const auto& item = held->second;
    leases_.release(now, item.lease);
    for (const auto lease : item.imports) {
        leases_.release(now, lease);
    }
    const bool computed = item.used_for == use_of::computing_span || item.used_for == use_of::span;
    if (computed) {
        freeing_.insert_or_assign(item.span, item.permit); // the engine's memory is still taken
    }
    else if (item.used_for == use_of::nothing) {
        gate_.done(now, item.permit, work_outcome::cancelled);
    }
    if (item.used_for != use_of::nothing) {
        ended_.push_back(item.permit);
    }
    shares_.erase(held);
}

} // namespace dragonflymill
