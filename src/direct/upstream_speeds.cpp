#include "dragonflymill/direct/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace dragonflymill::direct {

namespace {

/// Change of a slowdown, as a share of it, that other gateways should learn of.
constexpr double reported_change = 0.25;

auto bounded(double slowdown) -> double
{
    return std::isfinite(slowdown) ? std::clamp(slowdown, 1.0, upstream_speeds::max_slowdown) : 1.0;
}

auto differs(double a, double b) -> bool
{
    return std::abs(a - b) > reported_change * std::min(a, b);
}

auto is_slow_value(double slowdown) -> bool
{
    return slowdown >= upstream_speeds::slow_threshold;
}

/// Measured time as a multiple of the expected one; 0 if there is nothing to compare.
auto ratio_of(duration measured, duration expected) -> double
{
    if (expected <= duration::zero() || measured <= duration::zero()) {
        return 0.0;
    }
    return static_cast<double>(measured.count()) / static_cast<double>(expected.count());
}

} // namespace

auto to_string(speed_source source) -> const char*
{
    switch (source) {
    case speed_source::none:
        return "none";
    case speed_source::observed:
        return "observed";
    case speed_source::stated:
        return "stated";
    case speed_source::peer:
        return "peer";
    }
    return "none";
}

auto upstream_speeds::evidence::faded(instant now) const -> double
{
    const duration age = std::max(now - at, duration::zero());
    if (slowdown <= 1.0 || age > max_age) {
        return 1.0;
    }
    const double half_lives = static_cast<double>(age.count()) / static_cast<double>(half_life.count());
    return 1.0 + (slowdown - 1.0) * std::exp2(-half_lives);
}

void upstream_speeds::observe_interval(upstream_run upstream, duration measured, duration expected,
                                       instant now)
{
    const double ratio = ratio_of(measured, expected);
    if (ratio < min_interval_share) {
        return;
    }
    knowledge& known = known_[upstream];
    known.seen_at = now;
    if (ratio < normal_threshold) {
        known.last_interval.reset();
        known.doubted_at.reset();
        known.normal_at = now;
        set_observed(known, 1.0, now);
        return;
    }
    if (ratio < slow_threshold) {
        known.last_interval.reset();
        return;
    }
    // All streams of an engine advance in the same iterations: if another one did in normal time meanwhile,
    // the delay is the connection's.
    const instant began = now - measured;
    if (known.normal_at && *known.normal_at > began + expected) {
        return;
    }
    const auto& first = known.last_interval;
    if (first && began < first->ended - measured / 2) {
        // The same pause, seen by another stream.
        known.last_interval->ratio = std::min(first->ratio, ratio);
        return;
    }
    const bool in_a_row = first && now - first->ended <= observation_window;
    const double smaller = in_a_row ? std::min(first->ratio, ratio) : 1.0;
    known.last_interval = interval{ratio, now};
    if (in_a_row) {
        known.doubted_at.reset();
        set_observed(known, smaller, now);
    }
    else {
        known.doubted_at = now;
    }
}

void upstream_speeds::observe_silence(upstream_run upstream, duration elapsed, duration expected, instant now)
{
    const double ratio = ratio_of(elapsed, expected);
    if (ratio < slow_threshold) {
        return;
    }
    knowledge& known = known_[upstream];
    const instant began = now - elapsed;
    if (known.normal_at && *known.normal_at > began + expected) {
        return;
    }
    known.seen_at = now;
    const double observed = known.observed ? known.observed->faded(now) : 1.0;
    if (ratio >= slow_threshold * observed) {
        known.doubted_at = now;
    }
    const auto& first = known.last_interval;
    const bool in_a_row =
        first && now - first->ended <= observation_window && began >= first->ended - elapsed / 2;
    const double supported = in_a_row ? std::min(first->ratio, ratio) : ratio / 2;
    // Each interval of a slow upstream begins as a silence that is still short.
    if (supported >= slow_threshold && supported > observed) {
        set_observed(known, supported, now);
    }
}

void upstream_speeds::set_observed(knowledge& known, double slowdown, instant now)
{
    const bool was_slow = known.observed && is_slow_value(known.observed->faded(now));
    known.observed = evidence{bounded(slowdown), now};
    if (was_slow != is_slow_value(known.observed->slowdown)) {
        update_common_cause(now);
    }
    announce_if_news(known, now);
}

void upstream_speeds::observe_stated(upstream_run upstream, double slowdown, instant as_of)
{
    knowledge& known = known_[upstream];
    if (known.stated && as_of < known.stated->at) {
        return;
    }
    known.stated = evidence{bounded(slowdown), as_of};
    if (known.last_interval && known.last_interval->ended <= as_of) {
        known.last_interval.reset();
    }
    if (known.doubted_at && *known.doubted_at <= as_of) {
        known.doubted_at.reset();
    }
    announce_if_news(known, as_of);
}

auto upstream_speeds::apply_report(const std::string& gateway, const slowdown_report& report, instant now)
    -> bool
{
    if (report.age < duration::zero() || report.age > max_age) {
        return false;
    }
    knowledge& known = known_[report.upstream];
    const evidence fresh{bounded(report.slowdown), now - report.age};
    const auto [entry, is_new] = known.by_gateway.try_emplace(gateway, fresh);
    if (!is_new && fresh.at < entry->second.at) {
        return false;
    }
    const double before = slowdown_of(known, now);
    entry->second = fresh;
    if (!known.reported || fresh.at >= known.reported->at) {
        known.reported = fresh;
    }
    const double after = slowdown_of(known, now);
    return is_slow_value(before) != is_slow_value(after) || differs(before, after);
}

void upstream_speeds::select_newest_report(knowledge& known)
{
    known.reported.reset();
    for (const auto& [gateway, report] : known.by_gateway) {
        if (!known.reported || report.at > known.reported->at) {
            known.reported = report;
        }
    }
}

void upstream_speeds::remove_gateway(const std::string& gateway)
{
    for (auto& [upstream, known] : known_) {
        if (known.by_gateway.erase(gateway) > 0) {
            select_newest_report(known);
        }
    }
}

void upstream_speeds::expire(const std::set<upstream_run>& running, instant now)
{
    const auto is_old = [now](const std::optional<evidence>& item) {
        return item && now - item->at > max_age;
    };
    for (auto item = known_.begin(); item != known_.end();) {
        knowledge& known = item->second;
        if (is_old(known.observed)) {
            known.observed.reset();
        }
        if (is_old(known.stated)) {
            known.stated.reset();
        }
        if (is_old(known.announced)) {
            known.announced.reset();
        }
        const auto removed = std::erase_if(
            known.by_gateway, [now](const auto& report) { return now - report.second.at > max_age; });
        if (removed > 0) {
            select_newest_report(known);
        }
        const bool nothing_known = !known.observed && !known.stated && !known.reported && !known.doubted_at;
        item = nothing_known || !running.contains(item->first) ? known_.erase(item) : std::next(item);
    }
    update_common_cause(now);
}

void upstream_speeds::update_common_cause(instant now)
{
    std::size_t seen = 0;
    std::size_t slow = 0;
    for (const auto& [upstream, known] : known_) {
        if (known.seen_at && now - *known.seen_at <= observation_window) {
            ++seen;
            slow += known.observed && is_slow_value(known.observed->faded(now)) ? 1 : 0;
        }
    }
    common_cause_ = seen >= min_observed_for_share &&
                    static_cast<double>(slow) >= max_slow_share * static_cast<double>(seen);
}

auto upstream_speeds::newest_own(const knowledge& known) const -> sourced_evidence
{
    sourced_evidence found;
    if (known.observed && (!common_cause_ || !is_slow_value(known.observed->slowdown))) {
        found = {speed_source::observed, *known.observed};
    }
    if (known.stated && (found.source == speed_source::none || known.stated->at >= found.newest.at)) {
        found = {speed_source::stated, *known.stated};
    }
    return found;
}

auto upstream_speeds::newest(const knowledge& known) const -> sourced_evidence
{
    const sourced_evidence own = newest_own(known);
    const bool peer_is_newer = known.reported && (own.source == speed_source::none ||
                                                  known.reported->at > own.newest.at + transfer_tolerance);
    return peer_is_newer ? sourced_evidence{speed_source::peer, *known.reported} : own;
}

auto upstream_speeds::slowdown_of(const knowledge& known, instant now) const -> double
{
    const sourced_evidence found = newest(known);
    return found.source == speed_source::none ? 1.0 : found.newest.faded(now);
}

void upstream_speeds::announce_if_news(knowledge& known, instant now)
{
    const sourced_evidence own = newest(known);
    if (own.source == speed_source::none || own.source == speed_source::peer) {
        return;
    }
    const bool is_slow_now = is_slow_value(own.newest.slowdown);
    // What the other gateways believe: the newer one of this gateway's announcement and their reports.
    const bool peers_know_better =
        known.reported && (!known.announced || known.reported->at > known.announced->at);
    const auto& believed = peers_know_better ? known.reported : known.announced;
    const bool believed_slow = believed && is_slow_value(believed->faded(now));
    const bool persists = is_slow_now && believed_slow && now - believed->at >= refresh_interval;
    const bool value_changed =
        is_slow_now && !peers_know_better && believed && differs(believed->slowdown, own.newest.slowdown);
    // A peer that repeats a wrong report is contradicted at this interval at most.
    const bool just_contradicted = peers_know_better && known.announced &&
                                   is_slow_value(known.announced->slowdown) == is_slow_now &&
                                   now - known.announced->at < refresh_interval;
    if (persists || value_changed || (is_slow_now != believed_slow && !just_contradicted)) {
        known.announced = own.newest;
        known.announced_version = ++version_;
    }
}

auto upstream_speeds::slowdown(upstream_run upstream, instant now) const -> double
{
    const auto found = known_.find(upstream);
    return found == known_.end() ? 1.0 : slowdown_of(found->second, now);
}

auto upstream_speeds::is_slow(upstream_run upstream, instant now) const -> bool
{
    return is_slow_value(slowdown(upstream, now));
}

auto upstream_speeds::source_of(upstream_run upstream, instant now) const -> speed_source
{
    const auto found = known_.find(upstream);
    if (found == known_.end()) {
        return speed_source::none;
    }
    const sourced_evidence belief = newest(found->second);
    return now - belief.newest.at > max_age ? speed_source::none : belief.source;
}

auto upstream_speeds::newest_evidence(upstream_run upstream) const -> std::optional<instant>
{
    const auto found = known_.find(upstream);
    if (found == known_.end()) {
        return std::nullopt;
    }
    const sourced_evidence belief = newest(found->second);
    return belief.source == speed_source::none ? std::nullopt : std::optional(belief.newest.at);
}

auto upstream_speeds::has_doubt(upstream_run upstream, instant now) const -> bool
{
    const auto found = known_.find(upstream);
    return found != known_.end() && found->second.doubted_at &&
           now - *found->second.doubted_at <= observation_window;
}

auto upstream_speeds::reports(instant now, std::optional<std::uint64_t> since) const
    -> std::vector<slowdown_report>
{
    std::vector<slowdown_report> found;
    for (const auto& [upstream, known] : known_) {
        const sourced_evidence own = newest_own(known);
        if (!known.announced || now - known.announced->at > max_age || own.source == speed_source::none ||
            (since && known.announced_version <= *since)) {
            continue;
        }
        const bool known_to_peers =
            known.reported && known.reported->at > own.newest.at &&
            is_slow_value(known.reported->slowdown) == is_slow_value(own.newest.slowdown);
        if (!known_to_peers) {
            found.push_back({upstream, own.newest.slowdown, std::max(now - own.newest.at, duration::zero())});
        }
    }
    std::sort(found.begin(), found.end(), [](const slowdown_report& a, const slowdown_report& b) {
        return a.age != b.age ? a.age < b.age : a.upstream < b.upstream;
    });
    found.resize(std::min(found.size(), max_reports));
    return found;
}

auto upstream_speeds::slow_upstreams(instant now) const -> std::vector<upstream_run>
{
    std::vector<upstream_run> found;
    for (const auto& [upstream, known] : known_) {
        if (is_slow_value(slowdown_of(known, now))) {
            found.push_back(upstream);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace dragonflymill::direct
