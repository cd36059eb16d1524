#include "sidecar/gate_service.h"

#include "rpc/wire_convert.h"

#include <utility>

namespace dragonflymill::sidecar {

namespace {

auto queue_full_refusal() -> refusal
{
    return {refusal_code::overloaded, ran_state::no, 100ms, "try another upstream"};
}

} // namespace

gate_service::gate_service(shell_sink sink)
    : sink_(std::move(sink))
{
}

auto gate_service::attempt(grpc::CallbackServerContext* context)
    -> grpc::ServerBidiReactor<wire::attempt_request, wire::attempt_event>*
{
    const auto call = next_call_number();
    const auto reactor = attempt_reactor::open(context, call, sink_,
                                               [this](call_number finished) { attempts_.remove(finished); });
    attempts_.add(call, reactor);
    reactor->begin();
    return reactor.get();
}

auto gate_service::heartbeat(grpc::CallbackServerContext* /*context*/)
    -> grpc::ServerBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>*
{
    return heartbeat_reactor::open(sink_).get();
}

auto gate_service::issue_ticket(grpc::CallbackServerContext* /*context*/, const wire::service_call* request,
                                wire::ticket_reply* reply) -> grpc::ServerUnaryReactor*
{
    const auto call = next_call_number();
    return open_unary(ticket_calls_, reply, call,
                      sidecar_input::ticket_requested{call, rpc::from_wire(*request)});
}

auto gate_service::call_service(grpc::CallbackServerContext* /*context*/, const wire::service_call* request,
                                wire::service_reply* reply) -> grpc::ServerUnaryReactor*
{
    const auto call = next_call_number();
    return open_unary(service_calls_, reply, call,
                      sidecar_input::service_called{call, rpc::from_wire(*request)});
}

auto gate_service::call_status(grpc::CallbackServerContext* /*context*/, const wire::service_call* request,
                               wire::service_reply* reply) -> grpc::ServerUnaryReactor*
{
    const auto call = next_call_number();
    return open_unary(service_calls_, reply, call,
                      sidecar_input::status_requested{call, rpc::from_wire(*request)});
}

auto gate_service::reserve_share(grpc::CallbackServerContext* /*context*/,
                                 const wire::gang_share_request* request, wire::gang_share_reply* reply)
    -> grpc::ServerUnaryReactor*
{
    const auto call = next_call_number();
    return open_unary(
        share_calls_, reply, call,
        sidecar_input::share_requested{call, process_id(request->gateway()), rpc::reservation_of(*request)});
}

auto gate_service::renew_share(grpc::CallbackServerContext* /*context*/,
                               const wire::gang_share_request* request, wire::gang_share_reply* reply)
    -> grpc::ServerUnaryReactor*
{
    const auto call = next_call_number();
    return open_unary(share_calls_, reply, call,
                      sidecar_input::share_renewal_requested{call, process_id(request->gateway()),
                                                             rpc::renewal_of(*request)});
}

auto gate_service::release_share(grpc::CallbackServerContext* /*context*/,
                                 const wire::gang_share_request* request, wire::gang_share_reply* reply)
    -> grpc::ServerUnaryReactor*
{
    const auto call = next_call_number();
    return open_unary(
        share_calls_, reply, call,
        sidecar_input::share_release_requested{call, process_id(request->gateway()), rpc::gang_of(*request)});
}

void gate_service::answer_share(call_number call, wire::gang_share_reply reply)
{
    if (const auto reactor = share_calls_.find(call)) {
        reactor->answer(std::move(reply));
    }
}

auto gate_service::find_attempt(call_number call) const -> std::shared_ptr<attempt_reactor>
{
    return attempts_.find(call);
}

void gate_service::refuse(call_number call, const refusal& why, const upstream_load& load)
{
    if (const auto reactor = attempts_.find(call)) {
        wire::attempt_event event;
        *event.mutable_refused() = rpc::to_wire(why);
        *event.mutable_load() = rpc::to_wire(load);
        reactor->finish(std::move(event));
        return;
    }
    if (const auto reactor = service_calls_.find(call)) {
        wire::service_reply reply;
        *reply.mutable_refused() = rpc::to_wire(why);
        *reply.mutable_load() = rpc::to_wire(load);
        reactor->answer(std::move(reply));
        return;
    }
    if (const auto reactor = ticket_calls_.find(call)) {
        wire::ticket_reply reply;
        *reply.mutable_refused() = rpc::to_wire(why);
        reactor->answer(std::move(reply));
        return;
    }
    wire::gang_share_reply reply;
    *reply.mutable_refused() = rpc::to_wire(why);
    answer_share(call, std::move(reply));
}

void gate_service::answer(call_number call, const wire::service_reply& reply)
{
    if (const auto reactor = service_calls_.find(call)) {
        reactor->answer(reply);
    }
}

void gate_service::send_ticket(call_number call, const std::string& ticket)
{
    if (const auto reactor = ticket_calls_.find(call)) {
        wire::ticket_reply reply;
        reply.set_ticket(ticket);
        reactor->answer(std::move(reply));
    }
}

auto gate_service::next_call_number() -> call_number
{
    return call_number(++last_call_number_);
}

template <typename Reply>
auto gate_service::open_unary(call_registry<unary_reactor<Reply>>& registry, Reply* reply, call_number call,
                              sidecar_event event) -> grpc::ServerUnaryReactor*
{
    const auto cancelled = [this, call] {
        static_cast<void>(sink_(sidecar_event(sidecar_input::call_cancelled{call})));
    };
    const auto reactor =
        unary_reactor<Reply>::open(reply, cancelled, [&registry, call] { registry.remove(call); });
    registry.add(call, reactor);
    if (!sink_(std::move(event))) {
        refuse(call, queue_full_refusal(), upstream_load{});
    }
    return reactor.get();
}

} // namespace dragonflymill::sidecar
