#include "dragonflymill/direct/retry_candidates.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

auto candidates(bool suspect) -> std::vector<dispatch_candidate>
{
    std::vector<dispatch_candidate> all;
    for (const char* id : {"u0", "u1", "u2"}) {
        dispatch_candidate& made = all.emplace_back();
        made.id = id;
        made.failure_domain = "a";
        made.suspect = suspect;
    }
    return all;
}

} // namespace

// Guards against a call that is sent again and again to an idle upstream that refuses connections, while the
// one that answered with a failure would take it.
Test(retry_candidates, prefer_an_upstream_that_answered_to_those_out_of_reach)
{
    call_attempts attempts;
    attempts.ended(attempt_end::failed, {"u0", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u1", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u2", "a"}, start);
    const auto left = candidates_for_retry(candidates(false), attempts, false, start + 10ms);
    cr_assert(left.size() == 1 && left[0].id == "u0" && left[0].suspect);
    cr_assert(candidates_for_retry(candidates(false), attempts, false, start + 2s).size() == 3, "for a time");
}

Test(retry_candidates, are_all_kept_while_one_was_not_tried_or_none_is_in_reach)
{
    call_attempts attempts;
    attempts.ended(attempt_end::not_sent, {"u1", "a"}, start);
    const auto left = candidates_for_retry(candidates(false), attempts, false, start);
    cr_assert(left.size() == 3 && !left[0].suspect && left[1].suspect);
    attempts.ended(attempt_end::not_sent, {"u0", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u2", "a"}, start);
    cr_assert(candidates_for_retry(candidates(true), attempts, false, start).size() == 3);
    cr_assert(candidates_for_retry({}, attempts, false, start).empty());
}
