#include "dragonflymill/direct/upstream_statements.h"

#include <algorithm>

namespace dragonflymill::direct {

auto upstream_statements::is_of_later_run(const upstream_entry& entry, const notice& stated) -> bool
{
    // An entry that doesn't state its start doesn't show a restart. A run that had started before the call
    // was sent may be the one that responded, although its entry was read only later.
    const bool is_other_run =
        stated.started_ms != 0 && entry.started_ms != 0 && stated.started_ms != entry.started_ms;
    return is_other_run && entry.started_ms > stated.sent_ms;
}

auto upstream_statements::record(const upstream_entry& from, const upstream_statement& statement,
                                 const response_times& times) -> statement_changes
{
    const instant now = times.received_at;
    statement_changes changes;
    changes.unwanted = was_known(pushbacks_, from, times.sent_at) || was_known(drains_, from, times.sent_at);
    const pushback_statement& pushback = statement.pushback;
    if (pushback.readable && pushback.length && *pushback.length > duration::zero()) {
        changes.pushback = extend(pushbacks_, from, now + std::min(*pushback.length, max_pushback), times);
    }
    if (statement.draining) {
        changes.draining = !was_known(drains_, from, now);
        (void)extend(drains_, from, now + max_drain, times);
    }
    return changes;
}

auto upstream_statements::extend(notices& known, const upstream_entry& from, instant until,
                                 const response_times& times) -> bool
{
    const instant now = times.received_at;
    notice& found = known[from.id];
    if (is_of_later_run(from, found)) {
        found = {};
    }
    const bool is_longer = until > found.until;
    const instant since = found.until > now ? found.since : now;
    found = {from.started_ms, times.sent_at_wall.time_since_epoch() / 1ms, since, now,
             std::max(found.until, until)};
    return is_longer;
}

auto upstream_statements::was_known(const notices& known, const upstream_entry& upstream, instant at) -> bool
{
    const auto found = known.find(upstream.id);
    return found != known.end() && !is_of_later_run(upstream, found->second) && found->second.since < at &&
           at < found->second.until;
}

void upstream_statements::expire(instant now)
{
    const auto is_over = [&](const auto& item) { return item.second.until <= now; };
    std::erase_if(pushbacks_, is_over);
    std::erase_if(drains_, is_over);
}

auto upstream_statements::find(const notices& known, const upstream_state& upstream, instant now)
    -> const notice*
{
    const auto found = known.find(upstream.entry.id);
    if (found == known.end() || found->second.until <= now) {
        return nullptr;
    }
    const notice& stated = found->second;
    const bool ended = is_of_later_run(upstream.entry, stated) && now - stated.received_at > min_notice_time;
    return ended ? nullptr : &stated;
}

auto upstream_statements::pushback_until(const upstream_state& upstream, instant now) const
    -> std::optional<instant>
{
    const notice* known = find(pushbacks_, upstream, now);
    return known == nullptr ? std::nullopt : std::optional(known->until);
}

auto upstream_statements::draining(const upstream_state& upstream, instant now) const -> bool
{
    return find(drains_, upstream, now) != nullptr;
}

} // namespace dragonflymill::direct
