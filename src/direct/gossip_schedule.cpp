#include "dragonflymill/direct/gossip_schedule.h"

#include <algorithm>

namespace dragonflymill::direct {

auto gossip_schedule::interval_of(const digest_state& state, bool reports_evidence) -> duration
{
    const duration interval = reports_evidence ? evidence_gossip_interval
                              : state.relayed  ? relayed_gossip_interval
                                               : gossip_interval;
    return interval * std::max(1, state.gateways / gateways_at_full_rate);
}

auto gossip_schedule::evidence_due_at(const digest_state& state) const -> std::optional<instant>
{
    return state.evidence_changes == sent_.evidence_changes
               ? std::nullopt
               : std::optional(sent_at_ + interval_of(state, true));
}

auto gossip_schedule::next(const digest_state& state, bool at_once, instant now) -> std::optional<due_digest>
{
    const bool has_evidence = state.evidence_changes != sent_.evidence_changes;
    const bool changed =
        state.load_changes != sent_.load_changes || state.rate_limit_changes != sent_.rate_limit_changes ||
        state.slowdown_changes != sent_.slowdown_changes || has_evidence || state.revision != sent_.revision;
    const duration since = now - sent_at_;
    const bool due = since >= (changed ? interval_of(state, has_evidence) : idle_gossip_interval);
    if (!at_once && !due) {
        return std::nullopt;
    }
    const sent_changes& oldest = previous_changes_.front();
    const due_digest digest{now - full_sent_at_ >= full_digest_interval, oldest.loads, oldest.rate_limits,
                            oldest.slowdowns, oldest.evidence};
    if (digest.whole) {
        full_sent_at_ = now;
    }
    std::rotate(previous_changes_.begin(), previous_changes_.begin() + 1, previous_changes_.end());
    previous_changes_.back() = {state.load_changes, state.rate_limit_changes, state.slowdown_changes,
                                state.evidence_changes};
    sent_ = state;
    sent_at_ = now;
    return digest;
}

} // namespace dragonflymill::direct
