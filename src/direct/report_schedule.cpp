#include "dragonflymill/direct/report_schedule.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflymill::direct {

namespace {

/// Differs from the seeds of other uses of the hash, so that turns are independent of those.
constexpr std::uint64_t phase_seed = 0x5ea7;

} // namespace

report_schedule::report_schedule(std::string self, duration interval)
    : self_(std::move(self))
    , interval_(interval)
{
}

void report_schedule::set_peers(std::vector<std::string> peers)
{
    std::sort(peers.begin(), peers.end());
    if (peers != peers_) {
        peers_ = std::move(peers);
        peers_changed_ = true;
    }
}

auto report_schedule::owns(upstream_run run) const -> bool
{
    const std::pair own(rendezvous_score(run, self_), std::string_view(self_));
    return std::none_of(peers_.begin(), peers_.end(), [&](const std::string& peer) {
        return std::pair(rendezvous_score(run, peer), std::string_view(peer)) > own;
    });
}

auto report_schedule::phase(upstream_run run) const -> duration
{
    const auto parts = static_cast<std::uint64_t>(std::max(interval_.count(), duration::rep{1}));
    return duration(static_cast<duration::rep>(mix_bits(run ^ phase_seed) % parts));
}

void report_schedule::update_owners(instant now)
{
    if (!std::exchange(peers_changed_, false)) {
        return;
    }
    for (auto& [id, state] : upstreams_) {
        const bool was_own = std::exchange(state.is_own, owns(state.run));
        if (state.is_own && !was_own) {
            // A gateway whose digests are late for a moment hasn't gone, and those of a lost one aren't asked
            // all at once.
            state.first_turn = now + interval_ / 2 + phase(state.run);
        }
    }
}

auto report_schedule::update(const reportable_upstream& upstream, std::optional<instant> evidence,
                             instant now) -> known_upstream&
{
    const auto [found, added] = upstreams_.try_emplace(upstream.id);
    known_upstream& state = found->second;
    if (added || state.run != upstream.run) {
        // A request to the earlier run still ends with `finished`.
        const bool in_flight = state.in_flight;
        state = known_upstream{};
        state.run = upstream.run;
        state.in_flight = in_flight;
        state.is_own = owns(upstream.run);
        state.first_turn = std::max(now, *may_take_turns_at_) + phase(upstream.run);
    }
    state.listed_at = now;
    if (std::exchange(state.ended, false)) {
        const bool has_new = evidence && (!state.evidence_at_start || *evidence > *state.evidence_at_start);
        state.unanswered = has_new ? 0 : state.unanswered + 1;
    }
    return state;
}

auto report_schedule::takes_turn(const known_upstream& state, std::optional<instant> evidence,
                                 instant now) const -> bool
{
    return state.is_own && now >= state.first_turn && (!evidence || now - *evidence >= interval_);
}

auto report_schedule::due(std::span<const reportable_upstream> upstreams, const upstream_speeds& speeds,
                          instant now) -> std::vector<std::string>
{
    if (!may_take_turns_at_) {
        // A gateway that has just started doesn't know the others yet and would ask for all of them.
        may_take_turns_at_ = now + 2 * interval_;
    }
    update_owners(now);
    std::vector<candidate> candidates;
    for (const reportable_upstream& upstream : upstreams) {
        const auto evidence = speeds.newest_evidence(upstream.run);
        known_upstream& state = update(upstream, evidence, now);
        const bool in_doubt = speeds.has_doubt(upstream.run, now);
        if (state.in_flight || (!in_doubt && !takes_turn(state, evidence, now))) {
            continue;
        }
        // The first request without an answer may have been lost on the way.
        const int doublings = std::clamp(state.unanswered - 1, 0, max_backoff_doublings);
        const duration wait = (in_doubt ? std::min(doubt_interval, interval_) : interval_) * (1 << doublings);
        if (!state.asked_at || now - *state.asked_at >= wait) {
            candidates.push_back({&upstream, &state, in_doubt});
        }
    }
    const std::size_t allowed = std::min(candidates.size(), max_in_flight - in_flight_);
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(allowed);
    // Those asked longest ago come first, so that none is passed over for good.
    std::partial_sort(candidates.begin(), end, candidates.end(), [](const candidate& a, const candidate& b) {
        return std::tuple(!a.in_doubt, a.state->asked_at, a.state->first_turn, a.upstream->id) <
               std::tuple(!b.in_doubt, b.state->asked_at, b.state->first_turn, b.upstream->id);
    });
    candidates.erase(end, candidates.end());
    std::vector<std::string> asked;
    for (const candidate& chosen : candidates) {
        chosen.state->asked_at = now;
        chosen.state->evidence_at_start = speeds.newest_evidence(chosen.upstream->run);
        chosen.state->in_flight = true;
        asked.push_back(chosen.upstream->id);
    }
    in_flight_ += asked.size();
    // What was asked lately is kept while an upstream can't be asked for a moment, so that it isn't asked
    // more often for that.
    const duration retention = interval_ * (1 << max_backoff_doublings);
    std::erase_if(upstreams_, [&](const auto& item) {
        return !item.second.in_flight && now - item.second.listed_at > retention;
    });
    return asked;
}

void report_schedule::finished(const std::string& upstream)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || !found->second.in_flight) {
        return;
    }
    found->second.in_flight = false;
    found->second.ended = true;
    --in_flight_;
}

} // namespace dragonflymill::direct
