#include "dragonflymill/quarantine/repeated_request.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <vector>

namespace dragonflymill {

namespace {

/// Times in reports are rounded to milliseconds.
constexpr duration report_tolerance = 3ms;

/// A call with the own part and the end of its upstream.
struct ended_call
{
    instant sent_at{};
    instant ended_at{};
    upstream_run upstream = 0;
    bool alone = true; // not with others in the same moment
};

auto has_part(const upstream_crash& crash, prompt_part own) -> bool
{
    return std::any_of(crash.calls.begin(), crash.calls.end(), [&](const suspect_call& call) {
        return std::binary_search(call.parts.begin(), call.parts.end(), own);
    });
}

/// Returns whether any of the own parts is in a call that an upstream ended under.
auto has_any(const upstream_crash& crash, const std::set<prompt_part>& own) -> bool
{
    return std::any_of(own.begin(), own.end(), [&](prompt_part part) { return has_part(crash, part); });
}

/// Returns whether an upstream ended together with several others, each under other requests. Those that
/// ended under one and the same request did so in turn.
auto ended_with_others(const crash_evidence& evidence, const upstream_crash& crash, prompt_part own) -> bool
{
    std::set<prompt_part> requests{own};
    int together = 1;
    for (const upstream_crash& other : evidence.crashes()) {
        const bool same_time = other.at <= crash.at + same_moment && crash.at <= other.at + same_moment;
        if (other.upstream == crash.upstream || !same_time || has_any(other, requests)) {
            continue;
        }
        ++together;
        for (const suspect_call& call : other.calls) {
            std::copy_if(call.parts.begin(), call.parts.end(), std::inserter(requests, requests.end()),
                         is_own_part);
        }
    }
    return together >= min_common_losses;
}

auto ended_calls(const crash_evidence& evidence, prompt_part own, instant now) -> std::vector<ended_call>
{
    std::vector<ended_call> ended;
    for (const upstream_crash& crash : evidence.crashes()) {
        if (crash.survived || now - crash.at > crash_evidence::max_age || evidence.cleared(own, crash.at) ||
            !has_part(crash, own)) {
            continue;
        }
        const bool alone = !ended_with_others(evidence, crash, own);
        for (const suspect_call& call : crash.calls) {
            if (std::binary_search(call.parts.begin(), call.parts.end(), own)) {
                ended.push_back({crash.at - call.in_flight, crash.at, crash.upstream, alone});
            }
        }
    }
    std::sort(ended.begin(), ended.end(),
              [](const ended_call& a, const ended_call& b) { return a.ended_at < b.ended_at; });
    return ended;
}

} // namespace

auto count_consecutive_ends(const crash_evidence& evidence, prompt_part own, instant now) -> consecutive_ends
{
    consecutive_ends ends;
    if (!evidence.is_suspect(own)) {
        return ends;
    }
    std::set<upstream_run> upstreams;
    for (const ended_call& call : ended_calls(evidence, own, now)) {
        const bool overlaps = ends.count > 0 && call.sent_at + report_tolerance < ends.last;
        if (!overlaps && upstreams.insert(call.upstream).second) {
            ++ends.count;
            ends.alone += call.alone ? 1 : 0;
            ends.last = call.ended_at;
        }
    }
    return ends;
}

auto request_blocked_until(const consecutive_ends& ends, prompt_part own, std::string_view gateway)
    -> std::optional<instant>
{
    const int excess = std::max(ends.alone - max_ends, ends.count - max_shared_ends);
    if (excess < 0) {
        return std::nullopt;
    }
    const duration block = excess == 0   ? first_block_time
                           : excess == 1 ? second_block_time
                                         : later_block_time;
    const auto spread_us = static_cast<std::uint64_t>(release_spread.count());
    return ends.last + block + duration(static_cast<duration::rep>(stable_hash(gateway, own) % spread_us));
}

} // namespace dragonflymill
