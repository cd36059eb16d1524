#include "gateway/sidecar_link.h"

#include <utility>

namespace dragonflymill::gateway {

sidecar_link::sidecar_link(instant now, const upstream_entry& upstream, process_id self,
                           heartbeat_times times, link_sink sink, rpc::call_tracker& calls)
    : upstream_(upstream.id)
    , address_(upstream.sidecar_address)
    , self_(std::move(self))
    , times_(times)
    , sink_(std::move(sink))
    , calls_(calls)
    , heard_at_(now)
{
    open_lane(now, length_class::interactive);
}

void sidecar_link::open_lane(instant now, length_class size)
{
    lanes_[index_of(size)] = std::make_unique<lane_connection>(
        now, address_, heartbeat_call::identity{upstream_, size, ++connections_, self_}, times_, sink_,
        calls_);
}

auto sidecar_link::lane(instant now, length_class size) -> lane_connection&
{
    if (!lanes_[index_of(size)]) {
        open_lane(now, size);
    }
    return *lanes_[index_of(size)];
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

void sidecar_link::heard(instant now, const heartbeat_answered& answer)
{
    const auto& held = lanes_[index_of(answer.lane)];
    if (held && held->number() == answer.connection) {
        held->heard(now);
        heard_at_ = now;
    }
}

auto sidecar_link::tick(instant now) -> std::optional<upstream_state>
{
    for (const auto size : all_length_classes) {
        auto& held = lanes_[index_of(size)];
        if (!held) {
            continue;
        }
        // Guards against a connection that something on the way has forgotten: it stays open and silent for
        // good while new ones work. It shows as heartbeats without answer; the tries on it are resumed
        // elsewhere.
        if (held->silent(now)) {
            ++replaced_;
            open_lane(now, size);
        }
        held->tick(now);
    }
    const auto patience = times_.interval * static_cast<std::int64_t>(times_.misses);
    auto state = now - heard_at_ > patience ? upstream_state::dead : upstream_state::alive;
    const bool never_heard = state_ == upstream_state::suspect && !lanes_[0]->proven();
    if (never_heard && state == upstream_state::alive) {
        state = upstream_state::suspect;
    }
    if (state == state_) {
        return std::nullopt;
    }
    state_ = state;
    return state;
}

} // namespace dragonflymill::gateway
