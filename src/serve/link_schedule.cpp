#include "dragonflymill/serve/link_schedule.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// A dead upstream is asked this many intervals apart, each time on a new connection: there may be a hundred.
constexpr std::int64_t dead_spacing = 4;

} // namespace

link_schedule::link_schedule(instant now, heartbeat_options times)
    : times_(times)
    , doubt_since_(now)
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
    it.work = count;
    if (count > 0 && !it.waits_since) {
        it.waits_since = now;
    }
    if (count == 0 && !it.unanswered) {
        it.waits_since.reset();
    }
    if (sent) {
        it.asked_at = now;
        it.unanswered = true;
    }
}

void link_schedule::received(instant now, length_class size)
{
    auto& it = at(size);
    it.heard_at = now;
    if (std::exchange(it.unanswered, false) && it.asked_at) {
        told_at_ = std::max(told_at_, it.asked_at);
    }
    it.waits_since.reset();
    if (it.work > 0) {
        it.waits_since = now;
    }
    heard_at_ = now;
    doubt_since_.reset();
}

void link_schedule::disconnected(instant now, length_class size)
{
    if (!at(size).open) {
        return;
    }
    doubt(now);
    told_at_.reset();
    if (size != length_class::interactive) {
        at(size) = connection{};
    }
    at(length_class::interactive).heard_at.reset();
    request_heartbeat(now, length_class::interactive);
}

void link_schedule::request_heartbeat(instant now, length_class size)
{
    auto& it = at(size);
    if (it.unanswered) {
        return; // one is under way
    }
    it.unanswered = true;
    it.ask_now = true;
    it.waits_since = it.waits_since.value_or(now);
}

auto link_schedule::recently_alive(instant now, length_class size) const -> bool
{
    const auto& it = connections_[index_of(size)];
    return it.heard_at && now - *it.heard_at <= times_.silence_timeout();
}

void link_schedule::doubt(instant now)
{
    if (!doubt_since_) {
        doubt_since_ = now;
    }
}

auto link_schedule::longest_quiet() const -> duration
{
    return state_ == upstream_state::dead ? std::max(times_.silence_timeout(), times_.interval * dead_spacing)
                                          : times_.silence_timeout();
}

void link_schedule::give_up(instant now, length_class size, link_actions& out)
{
    if (!heard_at_ || now - *heard_at_ > times_.silence_timeout()) {
        doubt(now);
    }
    told_at_.reset(); // what was said on it may be lost
    if (size == length_class::interactive) {
        out.replace.push_back(size);
        opened(now, size);
        return;
    }
    out.close.push_back(size);
    at(size) = connection{};
    request_heartbeat(now, length_class::interactive);
}

void link_schedule::ask_where_due(instant now, link_actions& out)
{
    for (const auto size : all_length_classes) {
        auto& it = at(size);
        const bool quiet =
            state_ != upstream_state::dead && it.waits_since && now - *it.waits_since >= times_.interval;
        const bool spaced = !it.asked_at || now - *it.asked_at >= times_.interval;
        if (!it.open || !(it.ask_now || quiet) || !spaced) {
            continue;
        }
        it.ask_now = false;
        it.unanswered = true;
        it.asked_at = now;
        out.heartbeat.push_back(size);
    }
}

void link_schedule::renew_if_due(instant now, link_actions& out)
{
    if (told_at_ && now - *told_at_ < times_.renewal_interval) {
        return;
    }
    const auto busy = std::find_if(connections_.begin(), connections_.end(), [&](const auto& it) {
        return it.work > 0 && (!it.asked_at || now - *it.asked_at >= times_.interval);
    });
    if (busy == connections_.end()) {
        return;
    }
    busy->asked_at = now;
    busy->unanswered = true;
    out.heartbeat.push_back(all_length_classes[static_cast<std::size_t>(busy - connections_.begin())]);
}

auto link_schedule::present_state(instant now) const -> upstream_state
{
    if (!doubt_since_) {
        return upstream_state::alive;
    }
    return now - *doubt_since_ > times_.silence_timeout() ? upstream_state::dead : upstream_state::suspect;
}

auto link_schedule::tick(instant now) -> link_actions
{
    link_actions out;
    for (const auto size : all_length_classes) {
        const auto& it = at(size);
        if (it.open && it.waits_since && now - *it.waits_since > longest_quiet()) {
            give_up(now, size, out);
        }
    }
    ask_where_due(now, out);
    renew_if_due(now, out);
    const auto state = present_state(now);
    if (state != state_) {
        state_ = state;
        out.state = state;
    }
    return out;
}

} // namespace dragonflymill
