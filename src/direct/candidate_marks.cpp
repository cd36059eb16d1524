#include "dragonflymill/direct/candidate_marks.h"

namespace dragonflymill::direct {

auto mark_tried_suspect(const std::vector<dispatch_candidate>& all, const call_attempts& attempts,
                        bool avoid_domains, instant now) -> std::vector<dispatch_candidate>
{
    std::vector<dispatch_candidate> marked = all;
    for (dispatch_candidate& candidate : marked) {
        const bool avoided = avoid_domains && attempts.avoids(candidate.failure_domain, now);
        candidate.suspect = candidate.suspect || avoided || attempts.tried(candidate.id);
    }
    return marked;
}

} // namespace dragonflymill::direct
