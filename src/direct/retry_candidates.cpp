#include "dragonflymill/direct/retry_candidates.h"

#include <algorithm>
#include <functional>

namespace dragonflymill::direct {

auto candidates_for_retry(const std::vector<dispatch_candidate>& all, const call_attempts& attempts,
                          bool avoid_domains, instant now) -> std::vector<dispatch_candidate>
{
    std::vector<dispatch_candidate> candidates = all;
    for (dispatch_candidate& candidate : candidates) {
        const bool avoided = avoid_domains && attempts.avoids(candidate.failure_domain, now);
        candidate.suspect = candidate.suspect || avoided || attempts.tried(candidate.id);
    }
    const auto is_suspect = [](const dispatch_candidate& candidate) { return candidate.suspect; };
    const auto is_reachable = [&](const dispatch_candidate& candidate) {
        return !attempts.is_unreachable(candidate.id, now);
    };
    if (std::all_of(candidates.begin(), candidates.end(), is_suspect) &&
        std::any_of(candidates.begin(), candidates.end(), is_reachable)) {
        std::erase_if(candidates, std::not_fn(is_reachable));
    }
    return candidates;
}

} // namespace dragonflymill::direct
