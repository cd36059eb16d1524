#include "dragonflymill/gang/span_plan.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace dragonflymill {

namespace {

auto usable_memory(const gang_candidate& candidate, share_basis basis) -> token_count
{
    // An upstream that accepts no work reserves no memory for a queued share.
    const bool queued = basis == share_basis::capacity && candidate.free > 0;
    return queued ? candidate.capacity : candidate.free;
}

auto total_of(const gang_request& request) -> token_count
{
    return request.prompt_tokens + request.max_tokens;
}

/// Returns the fewest of `members` that hold the request; empty if all together can't. Members with most free
/// memory come first, and a hash of the request breaks ties, so that gangs are spread.
auto fewest_that_hold(const gang_request& request, std::vector<gang_candidate> members, share_basis basis)
    -> std::vector<gang_candidate>
{
    const std::uint64_t key = stable_hash(request.request.text());
    const auto rank = [key](const gang_candidate& each) {
        return std::tuple(-each.free, rendezvous_score(key, each.upstream.text()));
    };
    std::sort(members.begin(), members.end(),
              [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    token_count sum = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        sum += usable_memory(members[i], basis);
        if (sum >= total_of(request)) {
            members.resize(i + 1);
            return members;
        }
    }
    return {};
}

auto choose_members(const gang_request& request, std::span<const gang_candidate> candidates,
                    share_basis basis) -> std::vector<gang_candidate>
{
    std::map<failure_domain_id, std::vector<gang_candidate>> domains;
    for (const auto& each : candidates) {
        domains[each.failure_domain].push_back(each);
    }
    const std::uint64_t key = stable_hash(request.request.text());
    std::vector<gang_candidate> best;
    std::uint64_t best_score = 0;
    for (const auto& [domain, members] : domains) {
        auto found = fewest_that_hold(request, members, basis);
        const std::uint64_t score = rendezvous_score(key, domain.text());
        const bool smaller = best.empty() || found.size() < best.size();
        const bool as_small = found.size() == best.size() && score > best_score;
        if (!found.empty() && (smaller || as_small)) {
            best = std::move(found);
            best_score = score;
        }
    }
    return best.empty() ? fewest_that_hold(request, {candidates.begin(), candidates.end()}, basis) : best;
}

/// Splits `total` into nearly equal parts that each fit the member.
auto split(token_count total, std::vector<gang_candidate> members, share_basis basis)
    -> std::vector<planned_share>
{
    std::sort(members.begin(), members.end(), [basis](const auto& a, const auto& b) {
        return usable_memory(a, basis) < usable_memory(b, basis);
    });
    std::vector<planned_share> shares;
    shares.reserve(members.size());
    token_count left = total;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto others = static_cast<token_count>(members.size() - i);
        const token_count part = std::min(usable_memory(members[i], basis), (left + others - 1) / others);
        shares.push_back({members[i].upstream, part});
        left -= part;
    }
    return shares;
}

} // namespace

auto plan_shares(const gang_request& request, std::span<const gang_candidate> candidates, share_basis basis)
    -> std::optional<std::vector<planned_share>>
{
    const auto members = choose_members(request, candidates, basis);
    if (members.empty()) {
        return std::nullopt;
    }
    auto shares = split(total_of(request), members, basis);
    std::sort(shares.begin(), shares.end(),
              [](const auto& a, const auto& b) { return a.upstream < b.upstream; });
    return shares;
}

auto fits_when_idle(const gang_request& request, std::span<const gang_candidate> candidates) -> bool
{
    token_count sum = 0;
    for (const auto& each : candidates) {
        sum += each.capacity;
    }
    return sum >= total_of(request);
}

auto assign_spans(const gang_request& request, std::span<const planned_share> shares) -> std::vector<kv_span>
{
    std::vector<kv_span> spans;
    spans.reserve(shares.size());
    token_count begin = 0;
    for (const auto& share : shares) {
        const token_count end = std::min(begin + share.tokens, request.prompt_tokens);
        spans.push_back({share.upstream, lease_id(), begin, end});
        begin = end;
    }
    return spans;
}

} // namespace dragonflymill
