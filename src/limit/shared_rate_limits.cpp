#include "dragonflymill/limit/shared_rate_limits.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace dragonflymill {

auto shared_rate_limits::record(upstream_run upstream, const rate_statement& statement, instant sent_at,
                                instant now) -> bool
{
    const bool changed = beliefs_.record(upstream, statement, sent_at, now);
    if (changed) {
        limit_changed(upstream, now);
        calls_[upstream].changed_version = ++version_;
    }
    return changed;
}

auto shared_rate_limits::apply_report(const std::string& gateway, const rate_limit_report& report,
                                      instant now) -> bool
{
    const bool changed =
        beliefs_.apply(report.upstream,
                       {report.calls_per_s, now - std::max(report.age, duration::zero()), report.first_hand});
    if (changed) {
        // Leaves the version as it is: if each gateway passed on reported limits, a limit that changes with
        // every response would cost digests by the square of their number.
        limit_changed(report.upstream, now);
    }
    if (const auto known = calls_.find(report.upstream); known != calls_.end()) {
        count_peer_calls(known->second, gateway, report.calls, now);
    }
    return changed;
}

void shared_rate_limits::limit_changed(upstream_run upstream, instant now)
{
    upstream_calls& calls = calls_[upstream];
    const rate_limit_belief* limit = find(upstream);
    if (limit == nullptr) {
        calls.schedule.reset();
    }
    else if (calls.schedule) {
        calls.schedule->set_rate(*limit->calls_per_s, reach_, now);
    }
    else {
        calls.schedule.emplace(*limit->calls_per_s, reach_, now);
    }
}

void shared_rate_limits::count_peer_calls(upstream_calls& calls, const std::string& gateway,
                                          std::uint64_t count, instant now)
{
    const auto [peer, is_new] = calls.by_peer.try_emplace(gateway);
    peer_calls& known = peer->second;
    // When the calls of a first count were sent is unknown. A lower count belongs to an older report.
    const std::uint64_t added =
        is_new ? std::min<std::uint64_t>(count, 1) : std::max(count, known.count) - known.count;
    known.count = std::max(count, known.count);
    if (added == 0) {
        return;
    }
    known.last_at = now;
    if (calls.schedule) {
        calls.schedule->advance(added, reach_, now);
    }
}

void shared_rate_limits::count_call(upstream_run upstream, instant now)
{
    const auto found = calls_.find(upstream);
    if (found == calls_.end() || !found->second.schedule) {
        return;
    }
    ++found->second.own;
    found->second.changed_version = ++version_;
    found->second.schedule->advance(1, reach_, now);
}

void shared_rate_limits::retain(const std::set<upstream_run>& known, instant now)
{
    beliefs_.retain(known, now);
    std::erase_if(calls_, [&](const auto& item) { return !beliefs_.all().contains(item.first); });
}

void shared_rate_limits::remove_gateway(const std::string& gateway)
{
    for (auto& [upstream, calls] : calls_) {
        calls.by_peer.erase(gateway);
    }
}

auto shared_rate_limits::find(upstream_run upstream) const -> const rate_limit_belief*
{
    return beliefs_.find(upstream);
}

auto shared_rate_limits::available_at(upstream_run upstream) const -> instant
{
    const auto found = calls_.find(upstream);
    const bool limited = found != calls_.end() && found->second.schedule;
    return limited ? found->second.schedule->available_at(reach_, seed_ ^ mix_bits(upstream)) : instant{};
}

auto shared_rate_limits::expected_rate(upstream_run upstream, instant now) const -> double
{
    const auto found = calls_.find(upstream);
    if (found == calls_.end() || !found->second.schedule) {
        return 0.0;
    }
    const auto& peers = found->second.by_peer;
    const auto users = 1 + std::count_if(peers.begin(), peers.end(), [&](const auto& peer) {
                           return peer.second.last_at && now - *peer.second.last_at <= user_timeout;
                       });
    return found->second.schedule->rate(reach_) / static_cast<double>(users);
}

auto shared_rate_limits::own_calls(upstream_run upstream) const -> std::uint64_t
{
    const auto found = calls_.find(upstream);
    return found == calls_.end() ? 0 : found->second.own;
}

auto shared_rate_limits::all_calls(upstream_run upstream) const -> std::uint64_t
{
    const auto found = calls_.find(upstream);
    if (found == calls_.end()) {
        return 0;
    }
    const auto& by_peer = found->second.by_peer;
    return std::accumulate(by_peer.begin(), by_peer.end(), found->second.own,
                           [](std::uint64_t sum, const auto& peer) { return sum + peer.second.count; });
}

auto shared_rate_limits::reports(instant now, std::uint64_t round, std::optional<std::uint64_t> since) const
    -> std::vector<rate_limit_report>
{
    std::vector<rate_limit_report> found;
    for (const auto& [upstream, belief] : beliefs_.all()) {
        const upstream_calls& calls = calls_.at(upstream);
        if (!since || calls.changed_version > *since) {
            found.push_back(
                {upstream, belief.calls_per_s, now - belief.stated_at, belief.first_hand, calls.own});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const rate_limit_report& a, const rate_limit_report& b) { return a.upstream < b.upstream; });
    if (found.size() > max_reports) {
        const auto first = static_cast<std::ptrdiff_t>((round * max_reports) % found.size());
        std::rotate(found.begin(), found.begin() + first, found.end());
        found.resize(max_reports);
    }
    return found;
}

} // namespace dragonflymill
