#include "gateway/sidecar_link.h"

#include <utility>

namespace dragonflymill::gateway {

sidecar_link::sidecar_link(instant now, const upstream_entry& upstream, process_id self,
                           heartbeat_options times, link_sink sink, rpc::call_tracker& calls)
    : upstream_(upstream.id)
    , address_(upstream.sidecar_address)
    , self_(std::move(self))
    , times_(times)
    , sink_(std::move(sink))
    , calls_(calls)
    , schedule_(now, times)
{
    open_connection(length_class::interactive);
}

void sidecar_link::open_connection(length_class size)
{
    connections_[index_of(size)] = std::make_unique<sidecar_connection>(
        address_, heartbeat_call::identity{upstream_, self_}, sink_, calls_);
}

auto sidecar_link::connection_for(instant now, length_class size) -> sidecar_connection&
{
    if (!connections_[index_of(size)]) {
        open_connection(size);
        schedule_.opened(now, size);
    }
    return *connections_[index_of(size)];
}

void sidecar_link::open_attempt(instant now, const attempt_key& key, const attempt_spec& spec,
                                std::shared_ptr<const std::string> prompt)
{
    auto& connection = connection_for(now, spec.size);
    connection.open_attempt(key, spec, std::move(prompt));
    schedule_.set_in_flight(now, spec.size, connection.in_flight(), true);
}

void sidecar_link::send_prompt(length_class size, const attempt_key& key)
{
    if (connections_[index_of(size)]) {
        connections_[index_of(size)]->send_prompt(key);
    }
}

void sidecar_link::cancel_attempt(length_class size, const attempt_key& key)
{
    if (connections_[index_of(size)]) {
        connections_[index_of(size)]->cancel_attempt(key);
    }
}

void sidecar_link::call_service(instant now, const attempt_key& key, service_operation operation,
                                const service_spec& spec)
{
    pending_calls_.push_back({key, operation, spec, now});
    update_schedule(now);
    send_pending_calls(now);
    if (!pending_calls_.empty()) {
        schedule_.request_heartbeat(now, length_class::interactive);
    }
}

void sidecar_link::heard(instant now)
{
    update_schedule(now);
    send_pending_calls(now);
}

void sidecar_link::update_schedule(instant now)
{
    for (const auto size : all_length_classes) {
        auto& connection = connections_[index_of(size)];
        if (!connection) {
            continue;
        }
        if (const auto at = connection->poll_received_at()) {
            schedule_.received(*at, size);
        }
        schedule_.set_in_flight(now, size, connection->in_flight());
        if (connection->poll_disconnect()) {
            schedule_.disconnected(now, size);
            if (size != length_class::interactive) {
                connection.reset();
            }
        }
    }
}

void sidecar_link::send_pending_calls(instant now)
{
    // If the connection breaks after a call was sent, its outcome stays `unknown`. This is rare on a
    // connection with a recent receive. On any other connection the call is not sent, so "not run" can be
    // reported safely.
    auto& connection = *connections_[index_of(length_class::interactive)];
    if (pending_calls_.empty() || !schedule_.recently_alive(now, length_class::interactive) ||
        !connection.ready()) {
        return;
    }
    for (auto& call : std::exchange(pending_calls_, {})) {
        call.spec.remaining -= now - call.since;
        connection.call_service(call.key, call.operation, call.spec);
    }
    schedule_.set_in_flight(now, length_class::interactive, connection.in_flight());
}

auto sidecar_link::expire_pending_calls(instant now) -> std::vector<attempt_key>
{
    std::vector<attempt_key> expired;
    std::erase_if(pending_calls_, [&](const pending_call& call) {
        const auto waited = now - call.since;
        const bool is_expired = waited > times_.silence_timeout() || waited >= call.spec.remaining;
        if (is_expired) {
            expired.push_back(call.key);
        }
        return is_expired;
    });
    return expired;
}

auto sidecar_link::tick(instant now) -> link_tick_result
{
    update_schedule(now);
    link_tick_result result;
    result.unsent_calls = expire_pending_calls(now);
    send_pending_calls(now);
    const auto due = schedule_.tick(now);
    for (const auto size : due.replace) {
        open_connection(size);
    }
    for (const auto size : due.close) {
        connections_[index_of(size)].reset();
    }
    for (const auto size : due.heartbeat) {
        connections_[index_of(size)]->send_heartbeat();
    }
    result.state = due.state;
    result.connection_replaced = !due.replace.empty() || !due.close.empty();
    return result;
}

} // namespace dragonflymill::gateway
