#include "dragonflymill/serve/link_schedule.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// Heartbeat intervals between two probes of a dead upstream, each on a new connection. It limits the control
/// traffic when about a hundred upstreams are dead.
constexpr std::int64_t dead_probe_intervals = 4;

} // namespace

link_schedule::link_schedule(instant now, heartbeat_options options)
    : options_(options)
    , suspect_since_(now)
{
    opened(now, length_class::interactive);
}

void link_schedule::opened(instant now, length_class size)
{
    at(size) = connection{};
    at(size).open = true;
    request_heartbeat(now, size);
}

void link_schedule::set_in_flight(instant now, length_class size, std::size_t count, bool sent)
{
    auto& it = at(size);
    it.in_flight = count;
    if (count > 0 && !it.waiting_since) {
        it.waiting_since = now;
    }
    if (count == 0 && !it.unanswered) {
        it.waiting_since.reset();
    }
    if (sent) {
        it.sent_at = now;
        it.unanswered = true;
    }
}

void link_schedule::received(instant now, length_class size)
{
    auto& it = at(size);
    it.received_at = now;
    if (std::exchange(it.unanswered, false) && it.sent_at) {
        renewed_at_ = std::max(renewed_at_, it.sent_at);
    }
    it.waiting_since.reset();
    if (it.in_flight > 0) {
        it.waiting_since = now;
    }
    received_at_ = now;
    suspect_since_.reset();
}

void link_schedule::disconnected(instant now, length_class size)
{
    if (!at(size).open) {
        return;
    }
    mark_suspect(now);
    renewed_at_.reset();
    if (size != length_class::interactive) {
        at(size) = connection{};
    }
    at(length_class::interactive).received_at.reset();
    request_heartbeat(now, length_class::interactive);
}

void link_schedule::request_heartbeat(instant now, length_class size)
{
    auto& it = at(size);
    if (it.unanswered) {
        return; // a message is awaiting its answer already
    }
    it.unanswered = true;
    it.heartbeat_due = true;
    it.waiting_since = it.waiting_since.value_or(now);
}

auto link_schedule::recently_alive(instant now, length_class size) const -> bool
{
    const auto& it = connections_[index_of(size)];
    return it.received_at && now - *it.received_at <= options_.silence_timeout();
}

void link_schedule::mark_suspect(instant now)
{
    if (!suspect_since_) {
        suspect_since_ = now;
    }
}

auto link_schedule::max_silence() const -> duration
{
    return state_ == upstream_state::dead
               ? std::max(options_.silence_timeout(), options_.interval * dead_probe_intervals)
               : options_.silence_timeout();
}

void link_schedule::close_silent(instant now, length_class size, link_actions& out)
{
    if (!received_at_ || now - *received_at_ > options_.silence_timeout()) {
        mark_suspect(now);
    }
    renewed_at_.reset(); // messages sent on it may be lost
    if (size == length_class::interactive) {
        out.replace.push_back(size);
        opened(now, size);
        return;
    }
    out.close.push_back(size);
    at(size) = connection{};
    request_heartbeat(now, length_class::interactive);
}

void link_schedule::send_due_heartbeats(instant now, link_actions& out)
{
    for (const auto size : all_length_classes) {
        auto& it = at(size);
        const bool silent = state_ != upstream_state::dead && it.waiting_since &&
                            now - *it.waiting_since >= options_.interval;
        const bool interval_passed = !it.sent_at || now - *it.sent_at >= options_.interval;
        if (!it.open || !(it.heartbeat_due || silent) || !interval_passed) {
            continue;
        }
        it.heartbeat_due = false;
        it.unanswered = true;
        it.sent_at = now;
        out.heartbeat.push_back(size);
    }
}

void link_schedule::renew_if_due(instant now, link_actions& out)
{
    if (renewed_at_ && now - *renewed_at_ < options_.renewal_interval) {
        return;
    }
    const auto busy = std::find_if(connections_.begin(), connections_.end(), [&](const auto& it) {
        return it.in_flight > 0 && (!it.sent_at || now - *it.sent_at >= options_.interval);
    });
    if (busy == connections_.end()) {
        return;
    }
    busy->sent_at = now;
    busy->unanswered = true;
    out.heartbeat.push_back(all_length_classes[static_cast<std::size_t>(busy - connections_.begin())]);
}

auto link_schedule::present_state(instant now) const -> upstream_state
{
    if (!suspect_since_) {
        return upstream_state::alive;
    }
    return now - *suspect_since_ > options_.silence_timeout() ? upstream_state::dead
                                                              : upstream_state::suspect;
}

auto link_schedule::tick(instant now) -> link_actions
{
    link_actions out;
    for (const auto size : all_length_classes) {
        const auto& it = at(size);
        if (it.open && it.waiting_since && now - *it.waiting_since > max_silence()) {
            close_silent(now, size, out);
        }
    }
    send_due_heartbeats(now, out);
    renew_if_due(now, out);
    const auto state = present_state(now);
    if (state != state_) {
        state_ = state;
        out.state = state;
    }
    return out;
}

} // namespace dragonflymill
