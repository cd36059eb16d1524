#include "gateway/sidecar_connection.h"

#include "rpc/stream_window.h"
#include "rpc/transport_lifetime.h"
#include "rpc/wire_convert.h"

#include <algorithm>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <utility>

namespace dragonflymill::gateway {

namespace {

constexpr int max_message_bytes = 8 * 1024 * 1024;
constexpr int initial_reconnect_ms = 100;
constexpr int max_reconnect_ms = 1'000;
constexpr duration deadline_slack = 2s;
constexpr duration share_call_timeout = 2s;

auto make_channel(const std::string& address) -> std::shared_ptr<grpc::Channel>
{
    rpc::keep_transport_alive();
    grpc::ChannelArguments arguments;
    // A retry by the transport could run a service call twice, such as a booking.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // Otherwise channels to one address share a connection, and a long prompt delays a short one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, initial_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, rpc::stream_window_bytes);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

/// Storage of a unary call, which must stay alive until the call ends.
template <typename Reply, typename Request = wire::service_call>
struct unary_call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

auto lost_service_call(const attempt_key& key) -> gateway_event
{
    return gateway_input::service_refused{key,
                                          {refusal_code::upstream_gone, ran_state::unknown, duration::zero(),
                                           "ask for its status with the same ticket or key"}};
}

auto service_reply_event(const attempt_key& key, const grpc::Status& status, const wire::service_reply& reply)
    -> gateway_event
{
    if (!status.ok()) {
        return lost_service_call(key);
    }
    if (reply.has_refused()) {
        return gateway_input::service_refused{key, rpc::from_wire(reply.refused())};
    }
    if (reply.running()) {
        return gateway_input::service_running{key};
    }
    return gateway_input::service_answered{
        key, once_answer{static_cast<int>(reply.status()), reply.content_type(), reply.body()},
        reply.replayed()};
}

auto share_reply_event(const gang_key& gang, const upstream_id& upstream, const wire::gang_share_reply& reply)
    -> gateway_event
{
    if (reply.has_refused()) {
        const auto why = rpc::from_wire(reply.refused());
        return share_refused{gang, upstream, why.retry_after, reply.in_line()};
    }
    return share_granted{gang, upstream, lease_id(reply.lease()), reply.ask()};
}

auto ticket_reply_event(const attempt_key& key, const grpc::Status& status, const wire::ticket_reply& reply)
    -> gateway_event
{
    if (!status.ok()) {
        return lost_service_call(key);
    }
    if (reply.has_refused()) {
        return gateway_input::service_refused{key, rpc::from_wire(reply.refused())};
    }
    return gateway_input::ticket_given{key, reply.ticket()};
}

} // namespace

sidecar_connection::sidecar_connection(const std::string& address, heartbeat_call::identity id,
                                       link_sink sink, rpc::call_tracker& calls)
    : id_(std::move(id))
    , sink_(std::move(sink))
    , calls_(calls)
    , channel_(make_channel(address))
    , stub_(wire::sidecar_gate::NewStub(channel_))
    , activity_(std::make_shared<connection_activity>())
    , heartbeat_(heartbeat_call::open(*stub_, id_, activity_, sink_, calls_))
    , unary_calls_(std::make_shared<std::atomic<std::size_t>>(0))
{
}

sidecar_connection::~sidecar_connection()
{
    heartbeat_->cancel();
    for (const auto& [key, call] : attempts_) {
        if (!call->is_done()) {
            call->abort();
        }
    }
}

void sidecar_connection::open_attempt(const attempt_key& key, const attempt_spec& spec,
                                      std::shared_ptr<const std::string> prompt)
{
    attempts_.insert_or_assign(key, attempt_call::open(*stub_, {id_.upstream, key}, {spec, std::move(prompt)},
                                                       activity_, sink_, calls_));
}

void sidecar_connection::send_prompt(const attempt_key& key)
{
    const auto call = attempts_.find(key);
    if (call != attempts_.end()) {
        call->second->send_prompt();
    }
}

void sidecar_connection::cancel_attempt(const attempt_key& key)
{
    const auto call = attempts_.find(key);
    if (call != attempts_.end()) {
        call->second->cancel();
        attempts_.erase(call);
    }
}

void sidecar_connection::call_service(const attempt_key& key, service_operation operation,
                                      const service_spec& spec)
{
    const auto deadline = std::chrono::system_clock::now() + spec.remaining + deadline_slack;
    ++*unary_calls_;
    const auto begin = [&](const auto& pending) {
        pending->context.set_deadline(deadline);
        pending->request = rpc::to_wire(spec);
        calls_.begin(pending->context);
    };
    const auto end = [activity = activity_, unary_calls = unary_calls_,
                      &calls = calls_](const grpc::Status& status, grpc::ClientContext& context) {
        if (status.ok()) {
            activity->record_receive();
        }
        --*unary_calls;
        calls.end(context);
    };
    if (operation == service_operation::ticket) {
        const auto pending = std::make_shared<unary_call<wire::ticket_reply>>();
        begin(pending);
        stub_->async()->issue_ticket(&pending->context, &pending->request, &pending->reply,
                                     [pending, key, sink = sink_, end](const grpc::Status& status) {
                                         sink(ticket_reply_event(key, status, pending->reply));
                                         end(status, pending->context);
                                     });
        return;
    }
    const auto pending = std::make_shared<unary_call<wire::service_reply>>();
    begin(pending);
    const auto done = [pending, key, sink = sink_, end](const grpc::Status& status) {
        sink(service_reply_event(key, status, pending->reply));
        end(status, pending->context);
    };
    if (operation == service_operation::status) {
        stub_->async()->call_status(&pending->context, &pending->request, &pending->reply, done);
    }
    else {
        stub_->async()->call_service(&pending->context, &pending->request, &pending->reply, done);
    }
}

template <typename Method, typename Answer>
void sidecar_connection::start_share_call(wire::gang_share_request request, Method method, Answer answer)
{
    const auto pending = std::make_shared<unary_call<wire::gang_share_reply, wire::gang_share_request>>();
    pending->context.set_deadline(std::chrono::system_clock::now() + share_call_timeout);
    pending->request = std::move(request);
    ++*unary_calls_;
    calls_.begin(pending->context);
    method(*stub_->async(), &pending->context, &pending->request, &pending->reply,
           [pending, answer, upstream = id_.upstream, sink = sink_, activity = activity_,
            unary_calls = unary_calls_, &calls = calls_](const grpc::Status& status) {
               const auto& reply = pending->reply;
               if (status.ok() && reply.has_load()) {
                   sink(gateway_event(gateway_input::load_reported{upstream, rpc::from_wire(reply.load())}));
               }
               // A failed call raises no event: the planner repeats the request or releases the share.
               if (status.ok()) {
                   activity->record_receive();
                   answer(sink, upstream, reply);
               }
               --*unary_calls;
               calls.end(pending->context);
           });
}

void sidecar_connection::call_share(const reserve_share& request)
{
    start_share_call(
        rpc::to_wire(id_.gateway, request),
        [](auto& stub, auto... arguments) { stub.reserve_share(arguments...); },
        [gang = request.gang](const link_sink& sink, const upstream_id& upstream, const auto& reply) {
            sink(share_reply_event(gang, upstream, reply));
        });
}

void sidecar_connection::call_share(const renew_share& request)
{
    start_share_call(
        rpc::to_wire(id_.gateway, request),
        [](auto& stub, auto... arguments) { stub.renew_share(arguments...); },
        [gang = request.gang](const link_sink& sink, const upstream_id& upstream, const auto& reply) {
            sink(share_reply_event(gang, upstream, reply));
        });
}

void sidecar_connection::call_share(const release_share& request)
{
    start_share_call(
        rpc::to_wire(id_.gateway, request),
        [](auto& stub, auto... arguments) { stub.release_share(arguments...); },
        [gang = request.gang](const link_sink& sink, const upstream_id& upstream, const auto& reply) {
            if (!reply.has_refused()) {
                sink(gateway_event(share_released{gang, upstream}));
            }
        });
}

void sidecar_connection::send_heartbeat()
{
    if (heartbeat_->is_done()) {
        heartbeat_ = heartbeat_call::open(*stub_, id_, activity_, sink_, calls_);
        disconnect_reported_ = false;
    }
    heartbeat_->send(++last_heartbeat_);
}

auto sidecar_connection::poll_received_at() -> std::optional<instant>
{
    const auto last = activity_->last_received_at();
    if (last == polled_received_at_) {
        return std::nullopt;
    }
    polled_received_at_ = last;
    return last;
}

auto sidecar_connection::poll_disconnect() -> bool
{
    return heartbeat_->is_done() && !std::exchange(disconnect_reported_, true);
}

auto sidecar_connection::ready() const -> bool
{
    return channel_->GetState(false) == GRPC_CHANNEL_READY;
}

auto sidecar_connection::in_flight() -> std::size_t
{
    std::erase_if(attempts_, [](const auto& entry) { return entry.second->is_done(); });
    return attempts_.size() + *unary_calls_;
}

} // namespace dragonflymill::gateway
