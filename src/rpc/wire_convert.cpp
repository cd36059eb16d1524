#include "rpc/wire_convert.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::rpc {

namespace {

constexpr std::uint32_t last_refusal_code = static_cast<std::uint32_t>(refusal_code::quarantined);
constexpr std::uint32_t last_length_class = length_class_count - 1;
constexpr std::uint32_t last_priority = static_cast<std::uint32_t>(priority::overnight);

auto clamp_non_negative(std::int64_t value) -> std::int64_t
{
    return std::max<std::int64_t>(value, 0);
}

auto share_request(const process_id& gateway, const gang_key& gang) -> wire::gang_share_request
{
    wire::gang_share_request request;
    request.set_request_id(gang.request.text());
    request.set_round(gang.round.value());
    request.set_gateway(gateway.text());
    return request;
}

} // namespace

auto to_wire(const attempt_spec& spec) -> wire::attempt_open
{
    wire::attempt_open open;
    open.set_request_id(spec.request.text());
    open.set_attempt(spec.attempt.value());
    open.set_gateway(spec.gateway.text());
    open.set_model(spec.model.text());
    open.set_adapter(spec.adapter.text());
    open.set_client_account(spec.account.text());
    open.set_length_class(static_cast<std::uint32_t>(spec.size));
    open.set_priority(static_cast<std::uint32_t>(spec.request_priority));
    open.set_prompt_tokens(spec.prompt_tokens);
    open.set_max_tokens(spec.max_tokens);
    open.set_resume_offset(spec.resume_offset);
    open.set_remaining_us(spec.remaining.count());
    open.set_predicted_prefill(spec.prefill);
    open.set_share(spec.share.value());
    open.set_exported_span(spec.exported_span);
    open.set_span_begin(spec.span_begin);
    open.set_span_end(spec.span_end);
    for (const auto& each : spec.imports) {
        auto& import = *open.add_imports();
        import.set_span(each.span);
        import.set_source(each.source);
        import.set_begin(each.begin);
        import.set_end(each.end);
    }
    return open;
}

auto from_wire(const wire::attempt_open& open) -> attempt_spec
{
    attempt_spec spec;
    spec.request = request_id(open.request_id());
    spec.attempt = attempt_number(open.attempt());
    spec.gateway = process_id(open.gateway());
    spec.model = model_id(open.model());
    spec.adapter = adapter_id(open.adapter());
    spec.account = client_account_id(open.client_account());
    spec.size = static_cast<length_class>(std::min(open.length_class(), last_length_class));
    spec.request_priority = static_cast<priority>(std::min(open.priority(), last_priority));
    spec.prompt_tokens = clamp_non_negative(open.prompt_tokens());
    spec.max_tokens = clamp_non_negative(open.max_tokens());
    spec.resume_offset = clamp_non_negative(open.resume_offset());
    spec.remaining = duration(open.remaining_us());
    spec.prefill = clamp_non_negative(open.predicted_prefill());
    spec.share = lease_id(open.share());
    spec.exported_span = open.exported_span();
    spec.span_begin = clamp_non_negative(open.span_begin());
    spec.span_end = std::max(spec.span_begin, open.span_end());
    for (const auto& each : open.imports()) {
        const auto begin = clamp_non_negative(each.begin());
        spec.imports.push_back({each.span(), each.source(), begin, std::max(begin, each.end())});
    }
    return spec;
}

auto to_wire(const refusal& why) -> wire::attempt_refused
{
    wire::attempt_refused refused;
    refused.set_code(static_cast<std::uint32_t>(why.code));
    refused.set_may_have_run(why.ran != ran_state::no);
    refused.set_retry_after_us(why.retry_after.count());
    refused.set_remedy(why.remedy);
    return refused;
}

auto from_wire(const wire::attempt_refused& refused) -> refusal
{
    refusal why;
    // A newer sidecar may send codes that this gateway doesn't know.
    const bool known = refused.code() <= last_refusal_code;
    why.code = known ? static_cast<refusal_code>(refused.code()) : refusal_code::internal;
    why.ran = refused.may_have_run() ? ran_state::unknown : ran_state::no;
    why.retry_after = duration(clamp_non_negative(refused.retry_after_us()));
    why.remedy = refused.remedy();
    return why;
}

auto to_wire(const upstream_load& load) -> wire::load_report
{
    wire::load_report report;
    for (const auto tokens : load.queued_prefill) {
        report.add_queued_prefill(tokens);
    }
    report.set_running(load.running);
    report.set_outstanding(load.outstanding);
    report.set_allowed(load.allowed);
    report.set_memory_used(load.memory_used);
    report.set_age_us(load.age.count());
    report.set_start(load.start.value());
    report.set_draining(load.draining);
    report.set_cold(load.cold);
    return report;
}

auto from_wire(const wire::load_report& report) -> upstream_load
{
    upstream_load load;
    const auto classes =
        std::min<std::size_t>(static_cast<std::size_t>(report.queued_prefill_size()), length_class_count);
    for (std::size_t i = 0; i < classes; ++i) {
        load.queued_prefill[i] = clamp_non_negative(report.queued_prefill(static_cast<int>(i)));
    }
    load.running = clamp_non_negative(report.running());
    load.outstanding = clamp_non_negative(report.outstanding());
    load.allowed = clamp_non_negative(report.allowed());
    load.memory_used = clamp_non_negative(report.memory_used());
    load.age = duration(clamp_non_negative(report.age_us()));
    load.start = incarnation(report.start());
    load.draining = report.draining();
    load.cold = report.cold();
    return load;
}

auto to_wire(const service_spec& spec) -> wire::service_call
{
    wire::service_call call;
    call.set_request_id(spec.request.text());
    call.set_route(spec.route.text());
    call.set_client_account(spec.account.text());
    call.set_gateway(spec.gateway.text());
    call.set_ticket(spec.ticket);
    call.set_idempotency_key(spec.idempotency_key);
    call.set_method(spec.method);
    call.set_target(spec.target);
    call.set_content_type(spec.content_type);
    call.set_body(spec.body);
    call.set_remaining_us(spec.remaining.count());
    call.set_idempotent(spec.idempotent);
    return call;
}

auto from_wire(wire::service_call call) -> service_spec
{
    service_spec spec;
    spec.request = request_id(std::move(*call.mutable_request_id()));
    spec.route = route_id(std::move(*call.mutable_route()));
    spec.account = client_account_id(std::move(*call.mutable_client_account()));
    spec.gateway = process_id(std::move(*call.mutable_gateway()));
    spec.ticket = std::move(*call.mutable_ticket());
    spec.idempotency_key = std::move(*call.mutable_idempotency_key());
    spec.method = std::move(*call.mutable_method());
    spec.target = std::move(*call.mutable_target());
    spec.content_type = std::move(*call.mutable_content_type());
    spec.body = std::move(*call.mutable_body());
    spec.remaining = duration(call.remaining_us());
    spec.idempotent = call.idempotent();
    return spec;
}

auto to_wire(const process_id& gateway, const reserve_share& share) -> wire::gang_share_request
{
    auto request = share_request(gateway, share.gang);
    request.set_tokens(share.tokens);
    request.set_hold_us(share.hold.count());
    request.set_ask(share.ask);
    return request;
}

auto to_wire(const process_id& gateway, const renew_share& share) -> wire::gang_share_request
{
    auto request = share_request(gateway, share.gang);
    request.set_hold_us(share.hold.count());
    request.set_ask(share.ask);
    request.set_lease(share.lease.value());
    return request;
}

auto to_wire(const process_id& gateway, const release_share& share) -> wire::gang_share_request
{
    return share_request(gateway, share.gang);
}

auto gang_of(const wire::gang_share_request& request) -> gang_key
{
    return {request_id(request.request_id()), attempt_number(request.round())};
}

auto reservation_of(const wire::gang_share_request& request) -> reserve_share
{
    return {gang_of(request), upstream_id{}, clamp_non_negative(request.tokens()),
            duration(clamp_non_negative(request.hold_us())), request.ask()};
}

auto renewal_of(const wire::gang_share_request& request) -> renew_share
{
    return {gang_of(request), upstream_id{}, lease_id(request.lease()),
            duration(clamp_non_negative(request.hold_us())), request.ask()};
}

} // namespace dragonflymill::rpc
