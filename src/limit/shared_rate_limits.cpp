#include "dragonflymill/limit/shared_rate_limits.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace dragonflymill {

auto shared_rate_limits::record(upstream_run upstream, const rate_statement& statement, instant sent_at,
                                instant now) -> bool
{
    const bool changed = beliefs_.record(upstream, statement, sent_at, now);
    if (changed) {
        calls_[upstream].changed_version = ++version_;
    }
    return changed;
}

auto shared_rate_limits::apply_report(const std::string& gateway, const rate_limit_report& report,
                                      instant now) -> bool
{
    const bool changed =
        beliefs_.apply(report.upstream, {report.calls_per_s, now - report.age, report.first_hand});
    if (changed) {
        calls_[report.upstream].changed_version = ++version_;
    }
    if (const auto known = calls_.find(report.upstream); known != calls_.end()) {
        // A lower count belongs to an older report.
        std::uint64_t& count = known->second.by_peer[gateway];
        count = std::max(count, report.calls);
    }
    return changed;
}

void shared_rate_limits::count_call(upstream_run upstream)
{
    if (find(upstream) != nullptr) {
        upstream_calls& calls = calls_[upstream];
        ++calls.own;
        calls.changed_version = ++version_;
    }
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
                           [](std::uint64_t sum, const auto& peer) { return sum + peer.second; });
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
