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
    open_lane(length_class::interactive);
}

void sidecar_link::open_lane(length_class size)
{
    lanes_[index_of(size)] = std::make_unique<lane_connection>(
        address_, heartbeat_call::identity{upstream_, self_}, sink_, calls_);
}

auto sidecar_link::lane(instant now, length_class size) -> lane_connection&
{
    if (!lanes_[index_of(size)]) {
        open_lane(size);
        schedule_.opened(now, size);
    }
    return *lanes_[index_of(size)];
}

void sidecar_link::open_attempt(instant now, const attempt_key& key, const attempt_spec& spec,
                                std::shared_ptr<const std::string> prompt)
{
    auto& connection = lane(now, spec.size);
    connection.open_attempt(key, spec, std::move(prompt));
    schedule_.set_in_flight(now, spec.size, connection.work(), true);
}

void sidecar_link::send_prompt(length_class size, const attempt_key& key)
{
    if (lanes_[index_of(size)]) {
        lanes_[index_of(size)]->send_prompt(key);
    }
}

void sidecar_link::cancel_attempt(length_class size, const attempt_key& key)
{
    if (lanes_[index_of(size)]) {
        lanes_[index_of(size)]->cancel_attempt(key);
    }
}

void sidecar_link::call_service(instant now, const attempt_key& key, service_operation operation,
                                const service_spec& spec)
{
    held_.push_back({key, operation, spec, now});
    take_pulses(now);
    send_held(now);
    if (!held_.empty()) {
        schedule_.request_heartbeat(now, length_class::interactive);
    }
}

void sidecar_link::heard(instant now)
{
    take_pulses(now);
    send_held(now);
}

void sidecar_link::take_pulses(instant now)
{
    for (const auto size : all_length_classes) {
        auto& held = lanes_[index_of(size)];
        if (!held) {
            continue;
        }
        if (const auto at = held->newly_heard()) {
            schedule_.received(*at, size);
        }
        schedule_.set_in_flight(now, size, held->work());
        if (held->newly_broken()) {
            schedule_.disconnected(now, size);
            if (size != length_class::interactive) {
                held.reset();
            }
        }
    }
}

void sidecar_link::send_held(instant now)
{
    // A call whose connection breaks after it was sent is `unknown` for ever; on a connection that showed
    // life a moment ago that is rare, and on any other it is not sent at all, so that "not run" is the truth.
    auto& connection = *lanes_[index_of(length_class::interactive)];
    if (held_.empty() || !schedule_.recently_alive(now, length_class::interactive) || !connection.ready()) {
        return;
    }
    for (auto& call : std::exchange(held_, {})) {
        call.spec.remaining -= now - call.since;
        connection.call_service(call.key, call.operation, call.spec);
    }
    schedule_.set_in_flight(now, length_class::interactive, connection.work());
}

auto sidecar_link::drop_held(instant now) -> std::vector<attempt_key>
{
    std::vector<attempt_key> out;
    std::erase_if(held_, [&](const held_call& call) {
        const auto waited = now - call.since;
        const bool late = waited > times_.silence_timeout() || waited >= call.spec.remaining;
        if (late) {
            out.push_back(call.key);
        }
        return late;
    });
    return out;
}

auto sidecar_link::tick(instant now) -> link_news
{
    take_pulses(now);
    link_news news;
    news.not_sent = drop_held(now);
    send_held(now);
    const auto due = schedule_.tick(now);
    for (const auto size : due.replace) {
        open_lane(size);
    }
    for (const auto size : due.close) {
        lanes_[index_of(size)].reset();
    }
    for (const auto size : due.heartbeat) {
        lanes_[index_of(size)]->send_heartbeat();
    }
    news.state = due.state;
    news.replaced = !due.replace.empty() || !due.close.empty();
    return news;
}

} // namespace dragonflymill::gateway
