#include "dragonflymill/direct/upstream_statements.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// An entry that doesn't state its start doesn't show a restart.
auto is_other_run(std::int64_t started_ms, std::int64_t other_started_ms) -> bool
{
    return started_ms != 0 && other_started_ms != 0 && started_ms != other_started_ms;
}

} // namespace

auto upstream_statements::record(const upstream_entry& from, const upstream_statement& statement,
                                 instant sent_at, instant now) -> statement_changes
{
    statement_changes changes;
    changes.unwanted = was_known(pushbacks_, from, sent_at) || was_known(drains_, from, sent_at);
    const pushback_statement& pushback = statement.pushback;
    if (pushback.readable && pushback.length && *pushback.length > duration::zero()) {
        changes.pushback = extend(pushbacks_, from, now + std::min(*pushback.length, max_pushback), now);
    }
    if (statement.draining) {
        changes.draining = !was_known(drains_, from, now);
        (void)extend(drains_, from, now + max_drain, now);
    }
    return changes;
}

auto upstream_statements::extend(notices& known, const upstream_entry& from, instant until, instant now)
    -> bool
{
    notice& found = known[from.id];
    if (is_other_run(found.started_ms, from.started_ms)) {
        found = {};
    }
    const bool is_longer = until > found.until;
    const instant since = found.until > now ? found.since : now;
    found = {from.started_ms, since, now, std::max(found.until, until)};
    return is_longer;
}

auto upstream_statements::was_known(const notices& known, const upstream_entry& upstream, instant at) -> bool
{
    const auto found = known.find(upstream.id);
    return found != known.end() && !is_other_run(found->second.started_ms, upstream.started_ms) &&
           found->second.since < at && at < found->second.until;
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
    const bool ended = is_other_run(stated.started_ms, upstream.entry.started_ms) &&
                       now - stated.received_at > publication_delay;
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
