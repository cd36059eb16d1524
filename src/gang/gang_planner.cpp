#include "dragonflymill/gang/gang_planner.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

constexpr int renewals_per_hold = 3;
constexpr std::uint64_t max_doublings = 16;

auto key_of(const gang_request& request, attempt_number round) -> gang_key
{
    return {request.request, round};
}

} // namespace

gang_planner::gang_planner(std::uint64_t seed, gang_planner_options settings)
    : settings_(settings)
    , random_(seed)
{
}

auto gang_planner::start(instant now, const gang_request& request, attempt_number first_round,
                         const deadline_budget& limit, std::span<const gang_candidate> candidates) -> outputs
{
    outputs out = finish(now, request.request); // releases the shares of an earlier attempt at the request
    const gang_key key = key_of(request, first_round);
    if (!fits_when_idle(request, candidates)) {
        const refusal why{refusal_code::too_large, ran_state::no, duration::zero(), "send a shorter prompt"};
        out.emplace_back(gang_failed{key, why});
        return out;
    }
    if (gangs_.size() >= settings_.max_gangs || releases_.size() >= settings_.max_releases) {
        const refusal why{refusal_code::overloaded, ran_state::no, settings_.max_backoff,
                          "send it again after the time given"};
        out.emplace_back(gang_failed{key, why});
        return out;
    }
    gangs_.push_back({request, first_round, limit, phase::waiting, now, 0, 0, {}, {}});
    begin_round(now, gangs_.back(), candidates, out);
    drop_ended();
    return out;
}

auto gang_planner::step(instant now, const share_granted& granted) -> outputs
{
    outputs out;
    gang* entry = find(granted.gang);
    share* member = entry == nullptr ? nullptr : share_of(*entry, granted.upstream);
    if (member == nullptr || member->ask == 0) {
        // A grant that arrives after its round ended. Without a release the share would be held until
        // it expires.
        add_release(now, granted.gang, granted.upstream, out);
        return out;
    }
    if (granted.ask != member->ask) {
        return out; // a late grant from before a renewal: the share may have ended since
    }
    if (member->held) {
        member->ends_at = member->asked_at + settings_.hold;
        return out;
    }
    member->held = true;
    member->lease = granted.lease;
    member->ends_at = member->asked_at + settings_.hold;
    reserve_next(now, *entry, out);
    drop_ended();
    return out;
}

auto gang_planner::step(instant now, const share_refused& refused) -> outputs
{
    outputs out;
    gang* entry = find(refused.gang);
    share* member = entry == nullptr ? nullptr : share_of(*entry, refused.upstream);
    if (member == nullptr || member->ask == 0) {
        return out;
    }
    if (entry->state == phase::ready) {
        fail_lost_gang(now, *entry, out);
    }
    else if (refused.in_line && !member->held && now < member->first_asked_at + settings_.queue_timeout) {
        member->in_line = true;
    }
    else {
        // The load report was outdated: another gang holds the memory. The next round tries other upstreams.
        entry->excluded.push_back(refused.upstream);
        round_failed(now, *entry, refused.retry_after, out);
    }
    drop_ended();
    return out;
}

void gang_planner::step(instant /*now*/, const share_released& released)
{
    std::erase_if(releases_, [&released](const pending_release& entry) {
        return entry.release.gang == released.gang && entry.release.upstream == released.upstream;
    });
}

auto gang_planner::upstream_gone(instant now, const upstream_id& upstream) -> outputs
{
    outputs out;
    for (auto& entry : gangs_) {
        const share* member = share_of(entry, upstream);
        if (member == nullptr || member->ask == 0) {
            continue;
        }
        if (entry.state == phase::ready) {
            fail_lost_gang(now, entry, out);
        }
        else {
            round_failed(now, entry, duration::zero(), out);
        }
    }
    drop_ended();
    return out;
}

auto gang_planner::finish(instant now, const request_id& request) -> outputs
{
    outputs out;
    for (auto& entry : gangs_) {
        if (entry.request.request == request) {
            release_shares(now, entry, out);
            ended_.push_back(key_of(entry.request, entry.round));
        }
    }
    drop_ended();
    return out;
}

auto gang_planner::wake(instant now, std::span<const gang_candidate> candidates) -> outputs
{
    outputs out;
    repeat_releases(now, out);
    for (auto& entry : gangs_) {
        wake_one(now, entry, candidates, out);
    }
    drop_ended();
    return out;
}

auto gang_planner::next_wake() const -> std::optional<instant>
{
    std::optional<instant> first;
    const auto consider = [&first](instant at) { first = first ? std::min(*first, at) : at; };
    for (const auto& entry : gangs_) {
        consider(wake_of(entry));
    }
    for (const auto& entry : releases_) {
        consider(entry.send_at);
    }
    return first;
}

auto gang_planner::find(const gang_key& key) -> gang*
{
    const auto same = [&key](const gang& entry) { return key_of(entry.request, entry.round) == key; };
    const auto found = std::find_if(gangs_.begin(), gangs_.end(), same);
    return found == gangs_.end() ? nullptr : &*found;
}

auto gang_planner::share_of(gang& owner, const upstream_id& upstream) const -> share*
{
    const auto same = [&upstream](const share& entry) { return entry.wanted.upstream == upstream; };
    const auto found = std::find_if(owner.shares.begin(), owner.shares.end(), same);
    return found == owner.shares.end() ? nullptr : &*found;
}

void gang_planner::begin_round(instant now, gang& entry, std::span<const gang_candidate> candidates,
                               outputs& out)
{
    const auto wanted = plan_round(entry, candidates);
    if (!wanted) {
        round_failed(now, entry, duration::zero(), out);
        return;
    }
    entry.shares.clear();
    for (const auto& share_wanted : *wanted) {
        entry.shares.push_back({share_wanted, lease_id(), now, now, now, 0, false, false});
    }
    entry.next = 0;
    entry.state = phase::reserving;
    reserve_next(now, entry, out);
}

auto gang_planner::plan_round(gang& entry, std::span<const gang_candidate> candidates) const
    -> std::optional<std::vector<planned_share>>
{
    std::vector<gang_candidate> eligible(candidates.begin(), candidates.end());
    std::erase_if(eligible, [&entry](const gang_candidate& candidate) {
        return std::find(entry.excluded.begin(), entry.excluded.end(), candidate.upstream) !=
               entry.excluded.end();
    });
    auto now_free = plan_shares(entry.request, eligible);
    auto queued = plan_shares(entry.request, eligible, share_basis::capacity);
    // Many small shares occupy memory of many engines for one prompt; a few queued ones occupy few engines.
    // Every other round uses the free memory all the same, since a sidecar may not reserve memory for a
    // queued share.
    const bool more_shares = now_free && queued && now_free->size() > queued->size();
    if (queued && (!now_free || (more_shares && entry.failures % 2 == 0))) {
        return queued;
    }
    if (now_free) {
        return now_free;
    }
    entry.excluded.clear();
    return plan_shares(entry.request, candidates);
}

void gang_planner::reserve(instant now, gang& entry, outputs& out) const
{
    share& member = entry.shares[entry.next];
    ++member.ask;
    member.asked_at = now;
    member.in_line = false;
    const gang_key key = key_of(entry.request, entry.round);
    out.emplace_back(
        reserve_share{key, member.wanted.upstream, member.wanted.tokens, settings_.hold, member.ask});
}

void gang_planner::reserve_next(instant now, gang& entry, outputs& out)
{
    const auto ended = [now](const share& member) { return member.held && member.ends_at <= now; };
    if (std::any_of(entry.shares.begin(), entry.shares.end(), ended)) {
        round_failed(now, entry, duration::zero(), out); // this process was paused while its shares expired
        return;
    }
    while (entry.next < entry.shares.size() && entry.shares[entry.next].held) {
        ++entry.next;
    }
    if (entry.next < entry.shares.size()) {
        entry.shares[entry.next].first_asked_at = now;
        reserve(now, entry, out);
        return;
    }
    std::vector<planned_share> wanted;
    wanted.reserve(entry.shares.size());
    for (const auto& member : entry.shares) {
        wanted.push_back(member.wanted);
    }
    gang_ready ready{key_of(entry.request, entry.round), assign_spans(entry.request, wanted)};
    for (std::size_t i = 0; i < ready.spans.size(); ++i) {
        ready.spans[i].lease = entry.shares[i].lease;
    }
    DRAGONFLYMILL_ASSERT(ready.spans.back().end == entry.request.prompt_tokens,
                         "spans must cover the prompt");
    entry.state = phase::ready;
    out.emplace_back(std::move(ready));
}

void gang_planner::release_shares(instant now, gang& entry, outputs& out)
{
    // Guards against memory that stays reserved when not all shares of a gang are granted: engines would
    // refuse other long prompts for unused memory. Every requested share is released, including those with an
    // answer outstanding, and the release is repeated until it is confirmed or the hold has expired.
    if (guard_holds(guard::gang_release)) {
        for (const auto& member : entry.shares) {
            if (member.ask != 0) {
                add_release(now, key_of(entry.request, entry.round), member.wanted.upstream, out);
            }
        }
    }
    entry.shares.clear();
    entry.state = phase::waiting;
}

void gang_planner::add_release(instant now, const gang_key& key, const upstream_id& upstream, outputs& out)
{
    const release_share release{key, upstream};
    if (!guard_holds(guard::gang_release)) {
        return;
    }
    out.emplace_back(release);
    const auto same = [&release](const pending_release& entry) { return entry.release == release; };
    const auto found = std::find_if(releases_.begin(), releases_.end(), same);
    const instant ended_at = now + settings_.hold + settings_.answer_timeout;
    if (found != releases_.end()) {
        found->ended_at = ended_at;
    }
    else if (releases_.size() < settings_.max_releases + settings_.max_gangs) {
        releases_.push_back({release, now + settings_.release_interval, ended_at});
    }
}

void gang_planner::round_failed(instant now, gang& entry, duration retry_after, outputs& out)
{
    release_shares(now, entry, out);
    ++entry.failures;
    const duration wait = std::max(retry_after, backoff(entry));
    if (entry.limit.remaining(now) <= wait) {
        fail(now, entry,
             {refusal_code::overloaded, ran_state::no, wait, "send it again after the time given"}, out);
        return;
    }
    entry.round = attempt_number(entry.round.value() + 1);
    entry.wake_at = now + wait;
}

void gang_planner::fail(instant now, gang& entry, refusal why, outputs& out)
{
    release_shares(now, entry, out);
    const gang_key key = key_of(entry.request, entry.round);
    out.emplace_back(gang_failed{key, std::move(why)});
    ended_.push_back(key);
}

void gang_planner::fail_lost_gang(instant now, gang& entry, outputs& out)
{
    fail(now, entry,
         {refusal_code::upstream_gone, ran_state::unknown, settings_.initial_backoff,
          "the request can be resumed"},
         out);
}

void gang_planner::wake_one(instant now, gang& entry, std::span<const gang_candidate> candidates,
                            outputs& out)
{
    if (now < wake_of(entry)) {
        return;
    }
    if (entry.limit.expired(now)) {
        const ran_state ran = entry.state == phase::ready ? ran_state::unknown : ran_state::no;
        fail(now, entry, {refusal_code::deadline, ran, duration::zero(), "allow more time"}, out);
        return;
    }
    switch (entry.state) {
    case phase::waiting:
        begin_round(now, entry, candidates, out);
        break;
    case phase::reserving:
        wake_reserving(now, entry, out);
        break;
    case phase::ready:
        renew(now, entry, out);
        break;
    }
    const auto ended = [now](const share& member) { return member.held && member.ends_at <= now; };
    if (entry.state == phase::ready && std::any_of(entry.shares.begin(), entry.shares.end(), ended)) {
        fail_lost_gang(now, entry, out);
    }
}

void gang_planner::wake_reserving(instant now, gang& entry, outputs& out)
{
    const share& member = entry.shares[entry.next];
    const auto ended = [now](const share& other) { return other.held && other.ends_at <= now; };
    const bool unanswered = !member.in_line && now >= member.asked_at + settings_.answer_timeout;
    if (unanswered || std::any_of(entry.shares.begin(), entry.shares.end(), ended)) {
        // The unanswered share may have been granted, so it is released as well.
        round_failed(now, entry, duration::zero(), out);
        return;
    }
    renew(now, entry, out);
    if (member.in_line && now >= member.asked_at + settings_.answer_timeout) {
        reserve(now, entry, out);
    }
}

void gang_planner::renew(instant now, gang& entry, outputs& out) const
{
    for (auto& member : entry.shares) {
        if (member.held && now - member.asked_at >= settings_.hold / renewals_per_hold &&
            member.ends_at > now) {
            member.asked_at = now;
            ++member.ask;
            const gang_key key = key_of(entry.request, entry.round);
            out.emplace_back(
                renew_share{key, member.wanted.upstream, member.lease, settings_.hold, member.ask});
        }
    }
}

void gang_planner::repeat_releases(instant now, outputs& out)
{
    std::erase_if(releases_, [now](const pending_release& entry) { return entry.ended_at <= now; });
    for (auto& entry : releases_) {
        if (entry.send_at <= now) {
            entry.send_at = now + settings_.release_interval;
            out.emplace_back(entry.release);
        }
    }
}

auto gang_planner::wake_of(const gang& entry) const -> instant
{
    instant at = entry.limit.end();
    if (entry.state == phase::waiting) {
        at = std::min(at, entry.wake_at);
    }
    else if (entry.state == phase::reserving) {
        at = std::min(at, entry.shares[entry.next].asked_at + settings_.answer_timeout);
    }
    for (const auto& member : entry.shares) {
        if (member.held) {
            at = std::min({at, member.asked_at + settings_.hold / renewals_per_hold, member.ends_at});
        }
    }
    return at;
}

auto gang_planner::backoff(const gang& entry) -> duration
{
    const std::uint64_t doublings = std::min(entry.failures - 1, max_doublings);
    const auto longest = static_cast<double>(settings_.max_backoff.count());
    const double grown =
        static_cast<double>(settings_.initial_backoff.count()) * static_cast<double>(1ULL << doublings);
    // A random half keeps planners that blocked each other from colliding again.
    return duration(static_cast<duration::rep>(std::min(grown, longest) * (0.5 + 0.5 * random_.unit())));
}

void gang_planner::drop_ended()
{
    for (const auto& key : ended_) {
        std::erase_if(gangs_,
                      [&key](const gang& entry) { return key_of(entry.request, entry.round) == key; });
    }
    ended_.clear();
}

} // namespace dragonflymill
