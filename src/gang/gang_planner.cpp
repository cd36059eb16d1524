#include "dragonflymill/gang/gang_planner.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

constexpr int renewals_a_hold = 3;
constexpr std::uint64_t most_doublings = 16;

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
    outputs out = finish(now, request.request); // an earlier try at the same request gives its shares back
    const gang_key key = key_of(request, first_round);
    if (!could_ever_hold(request, candidates)) {
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
    gang* each = find(granted.gang);
    share* of = each == nullptr ? nullptr : share_of(*each, granted.upstream);
    if (of == nullptr || of->ask == 0) {
        // A grant that comes after its round was given up. Without this it would stand until its hold ends.
        add_release(now, granted.gang, granted.upstream, out);
        return out;
    }
    if (granted.ask != of->ask) {
        return out; // the grant before a renewal, late: the share may have ended since
    }
    if (of->held) {
        of->ends_at = of->asked_at + settings_.hold;
        return out;
    }
    of->held = true;
    of->lease = granted.lease;
    of->ends_at = of->asked_at + settings_.hold;
    ask_next(now, *each, out);
    drop_ended();
    return out;
}

auto gang_planner::step(instant now, const share_refused& refused) -> outputs
{
    outputs out;
    gang* each = find(refused.gang);
    share* of = each == nullptr ? nullptr : share_of(*each, refused.upstream);
    if (of == nullptr || of->ask == 0) {
        return out;
    }
    if (each->state == phase::ready) {
        lost(now, *each, out);
    }
    else if (refused.in_line && !of->held && now < of->first_asked_at + settings_.line_wait) {
        of->in_line = true;
    }
    else {
        // Its word on free memory was old: another gang has it. The next round looks elsewhere first.
        each->avoided.push_back(refused.upstream);
        round_failed(now, *each, refused.retry_after, out);
    }
    drop_ended();
    return out;
}

void gang_planner::step(instant /*now*/, const share_released& released)
{
    std::erase_if(releases_, [&released](const pending_release& each) {
        return each.release.gang == released.gang && each.release.upstream == released.upstream;
    });
}

auto gang_planner::upstream_gone(instant now, const upstream_id& upstream) -> outputs
{
    outputs out;
    for (auto& each : gangs_) {
        const share* of = share_of(each, upstream);
        if (of == nullptr || of->ask == 0) {
            continue;
        }
        if (each.state == phase::ready) {
            lost(now, each, out);
        }
        else {
            round_failed(now, each, duration::zero(), out);
        }
    }
    drop_ended();
    return out;
}

auto gang_planner::finish(instant now, const request_id& request) -> outputs
{
    outputs out;
    for (auto& each : gangs_) {
        if (each.request.request == request) {
            give_back(now, each, out);
            ended_.push_back(key_of(each.request, each.round));
        }
    }
    drop_ended();
    return out;
}

auto gang_planner::wake(instant now, std::span<const gang_candidate> candidates) -> outputs
{
    outputs out;
    repeat_releases(now, out);
    for (auto& each : gangs_) {
        wake_one(now, each, candidates, out);
    }
    drop_ended();
    return out;
}

auto gang_planner::next_wake() const -> std::optional<instant>
{
    std::optional<instant> first;
    const auto consider = [&first](instant at) { first = first ? std::min(*first, at) : at; };
    for (const auto& each : gangs_) {
        consider(wake_of(each));
    }
    for (const auto& each : releases_) {
        consider(each.send_at);
    }
    return first;
}

auto gang_planner::find(const gang_key& key) -> gang*
{
    const auto same = [&key](const gang& each) { return key_of(each.request, each.round) == key; };
    const auto found = std::find_if(gangs_.begin(), gangs_.end(), same);
    return found == gangs_.end() ? nullptr : &*found;
}

auto gang_planner::share_of(gang& of, const upstream_id& upstream) const -> share*
{
    const auto same = [&upstream](const share& each) { return each.wanted.upstream == upstream; };
    const auto found = std::find_if(of.shares.begin(), of.shares.end(), same);
    return found == of.shares.end() ? nullptr : &*found;
}

void gang_planner::begin_round(instant now, gang& each, std::span<const gang_candidate> candidates,
                               outputs& out)
{
    const auto wanted = plan_round(each, candidates);
    if (!wanted) {
        round_failed(now, each, duration::zero(), out);
        return;
    }
    each.shares.clear();
    for (const auto& share_wanted : *wanted) {
        each.shares.push_back({share_wanted, lease_id(), now, now, now, 0, false, false});
    }
    each.next = 0;
    each.state = phase::reserving;
    ask_next(now, each, out);
}

auto gang_planner::plan_round(gang& each, std::span<const gang_candidate> candidates) const
    -> std::optional<std::vector<wanted_share>>
{
    std::vector<gang_candidate> open(candidates.begin(), candidates.end());
    std::erase_if(open, [&each](const gang_candidate& candidate) {
        return std::find(each.avoided.begin(), each.avoided.end(), candidate.upstream) != each.avoided.end();
    });
    auto now_free = plan_shares(each.request, open);
    auto in_line = plan_shares(each.request, open, share_basis::capacity);
    // Many small shares keep many engines' memory for one prompt; a few that are waited for keep few. Every
    // other round takes what is free all the same, since a sidecar may keep no line.
    const bool many = now_free && in_line && now_free->size() > in_line->size();
    if (in_line && (!now_free || (many && each.failures % 2 == 0))) {
        return in_line;
    }
    if (now_free) {
        return now_free;
    }
    each.avoided.clear();
    return plan_shares(each.request, candidates);
}

void gang_planner::ask(instant now, gang& each, outputs& out) const
{
    share& of = each.shares[each.next];
    ++of.ask;
    of.asked_at = now;
    of.in_line = false;
    const gang_key key = key_of(each.request, each.round);
    out.emplace_back(reserve_share{key, of.wanted.upstream, of.wanted.tokens, settings_.hold, of.ask});
}

void gang_planner::ask_next(instant now, gang& each, outputs& out)
{
    const auto ended = [now](const share& of) { return of.held && of.ends_at <= now; };
    if (std::any_of(each.shares.begin(), each.shares.end(), ended)) {
        round_failed(now, each, duration::zero(), out); // this process was paused while its shares ended
        return;
    }
    while (each.next < each.shares.size() && each.shares[each.next].held) {
        ++each.next;
    }
    if (each.next < each.shares.size()) {
        each.shares[each.next].first_asked_at = now;
        ask(now, each, out);
        return;
    }
    std::vector<wanted_share> wanted;
    wanted.reserve(each.shares.size());
    for (const auto& of : each.shares) {
        wanted.push_back(of.wanted);
    }
    gang_ready ready{key_of(each.request, each.round), spans_on(each.request, wanted)};
    for (std::size_t i = 0; i < ready.spans.size(); ++i) {
        ready.spans[i].lease = each.shares[i].lease;
    }
    DRAGONFLYMILL_ASSERT(ready.spans.back().end == each.request.prompt_tokens, "spans must cover the prompt");
    each.state = phase::ready;
    out.emplace_back(std::move(ready));
}

void gang_planner::give_back(instant now, gang& each, outputs& out)
{
    // Guards against memory that stays taken when a gang can't be had whole: other long prompts would be
    // refused by engines that hold nothing of use. It holds because every share ever asked for is released,
    // also one whose answer is still under way, and the release is repeated until it is confirmed or the hold
    // has ended.
    if (guard_holds(guard::gang_release)) {
        for (const auto& of : each.shares) {
            if (of.ask != 0) {
                add_release(now, key_of(each.request, each.round), of.wanted.upstream, out);
            }
        }
    }
    each.shares.clear();
    each.state = phase::waiting;
}

void gang_planner::add_release(instant now, const gang_key& key, const upstream_id& upstream, outputs& out)
{
    const release_share release{key, upstream};
    if (!guard_holds(guard::gang_release)) {
        return;
    }
    out.emplace_back(release);
    const auto same = [&release](const pending_release& each) { return each.release == release; };
    const auto found = std::find_if(releases_.begin(), releases_.end(), same);
    const instant ended_at = now + settings_.hold + settings_.answer_wait;
    if (found != releases_.end()) {
        found->ended_at = ended_at;
    }
    else if (releases_.size() < settings_.max_releases + settings_.max_gangs) {
        releases_.push_back({release, now + settings_.release_interval, ended_at});
    }
}

void gang_planner::round_failed(instant now, gang& each, duration retry_after, outputs& out)
{
    give_back(now, each, out);
    ++each.failures;
    const duration wait = std::max(retry_after, backoff(each));
    if (each.limit.remaining(now) <= wait) {
        fail(now, each, {refusal_code::overloaded, ran_state::no, wait, "send it again after the time given"},
             out);
        return;
    }
    each.round = attempt_number(each.round.value() + 1);
    each.wake_at = now + wait;
}

void gang_planner::fail(instant now, gang& each, refusal why, outputs& out)
{
    give_back(now, each, out);
    const gang_key key = key_of(each.request, each.round);
    out.emplace_back(gang_failed{key, std::move(why)});
    ended_.push_back(key);
}

void gang_planner::lost(instant now, gang& each, outputs& out)
{
    fail(now, each,
         {refusal_code::upstream_gone, ran_state::unknown, settings_.initial_backoff,
          "the request can be resumed"},
         out);
}

void gang_planner::wake_one(instant now, gang& each, std::span<const gang_candidate> candidates, outputs& out)
{
    if (now < wake_of(each)) {
        return;
    }
    if (each.limit.expired(now)) {
        const ran_state ran = each.state == phase::ready ? ran_state::unknown : ran_state::no;
        fail(now, each, {refusal_code::deadline, ran, duration::zero(), "allow more time"}, out);
        return;
    }
    switch (each.state) {
    case phase::waiting:
        begin_round(now, each, candidates, out);
        break;
    case phase::reserving:
        wake_reserving(now, each, out);
        break;
    case phase::ready:
        renew(now, each, out);
        break;
    }
    const auto ended = [now](const share& of) { return of.held && of.ends_at <= now; };
    if (each.state == phase::ready && std::any_of(each.shares.begin(), each.shares.end(), ended)) {
        lost(now, each, out);
    }
}

void gang_planner::wake_reserving(instant now, gang& each, outputs& out)
{
    const share& of = each.shares[each.next];
    const auto ended = [now](const share& other) { return other.held && other.ends_at <= now; };
    const bool unanswered = !of.in_line && now >= of.asked_at + settings_.answer_wait;
    if (unanswered || std::any_of(each.shares.begin(), each.shares.end(), ended)) {
        round_failed(now, each, duration::zero(),
                     out); // the unanswered one may have been granted all the same
        return;
    }
    renew(now, each, out);
    if (of.in_line && now >= of.asked_at + settings_.answer_wait) {
        ask(now, each, out);
    }
}

void gang_planner::renew(instant now, gang& each, outputs& out) const
{
    for (auto& of : each.shares) {
        if (of.held && now - of.asked_at >= settings_.hold / renewals_a_hold && of.ends_at > now) {
            of.asked_at = now;
            ++of.ask;
            const gang_key key = key_of(each.request, each.round);
            out.emplace_back(renew_share{key, of.wanted.upstream, of.lease, settings_.hold, of.ask});
        }
    }
}

void gang_planner::repeat_releases(instant now, outputs& out)
{
    std::erase_if(releases_, [now](const pending_release& each) { return each.ended_at <= now; });
    for (auto& each : releases_) {
        if (each.send_at <= now) {
            each.send_at = now + settings_.release_interval;
            out.emplace_back(each.release);
        }
    }
}

auto gang_planner::wake_of(const gang& each) const -> instant
{
    instant at = each.limit.end();
    if (each.state == phase::waiting) {
        at = std::min(at, each.wake_at);
    }
    else if (each.state == phase::reserving) {
        at = std::min(at, each.shares[each.next].asked_at + settings_.answer_wait);
    }
    for (const auto& of : each.shares) {
        if (of.held) {
            at = std::min({at, of.asked_at + settings_.hold / renewals_a_hold, of.ends_at});
        }
    }
    return at;
}

auto gang_planner::backoff(const gang& each) -> duration
{
    const std::uint64_t doublings = std::min(each.failures - 1, most_doublings);
    const auto longest = static_cast<double>(settings_.max_backoff.count());
    const double grown =
        static_cast<double>(settings_.initial_backoff.count()) * static_cast<double>(1ULL << doublings);
    // A random half keeps planners that refused each other from meeting again.
    return duration(static_cast<duration::rep>(std::min(grown, longest) * (0.5 + 0.5 * random_.unit())));
}

void gang_planner::drop_ended()
{
    for (const auto& key : ended_) {
        std::erase_if(gangs_, [&key](const gang& each) { return key_of(each.request, each.round) == key; });
    }
    ended_.clear();
}

} // namespace dragonflymill
