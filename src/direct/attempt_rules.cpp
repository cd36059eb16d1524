#include "dragonflymill/direct/attempt_rules.h"

#include <algorithm>
#include <array>

namespace dragonflymill::direct {

namespace {

auto may_retry(attempt_end end, const request_progress& progress) -> bool
{
    if (progress.time_left < min_attempt_time) {
        return false;
    }
    if (end == attempt_end::not_sent) {
        // With a delay, all that can be chosen is out of reach: a caller that learns it at once comes back in
        // time.
        return progress.answer_begun ||
               progress.retry_delay <= std::max(progress.wait_left, duration::zero());
    }
    if (!progress.budget_left || progress.disconnects >= max_disconnects) {
        return false;
    }
    if (may_have_run(end)) {
        return progress.repeatable && progress.attempts_run < progress.max_attempts;
    }
    return (progress.repeatable || !progress.may_have_run) && progress.rejections <= max_rejections;
}

} // namespace

auto may_have_run(attempt_end end) -> bool
{
    return end == attempt_end::failed || end == attempt_end::overtaken || end == attempt_end::broken ||
           end == attempt_end::disconnected || end == attempt_end::invalid;
}

auto is_unreachable(attempt_end end) -> bool
{
    return end == attempt_end::not_sent || end == attempt_end::reader_lost;
}

auto says_not_run(unsigned status) -> bool
{
    constexpr std::array statuses{408U, 421U, 429U, 503U};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

auto decide_next_step(attempt_end end, const request_progress& progress) -> next_step
{
    if (may_retry(end, progress)) {
        return next_step::try_again;
    }
    if (progress.answer_begun) {
        return next_step::cut;
    }
    if (end == attempt_end::failed && !progress.failure_says_not_run) {
        return next_step::pass_failure;
    }
    const bool unknown = progress.may_have_run || may_have_run(end);
    return unknown ? next_step::fail_unknown : next_step::refuse_not_run;
}

auto to_string(attempt_end end) -> const char*
{
    switch (end) {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::rejected:
        return "rejected";
    case attempt_end::misdirected:
        return "misdirected";
    case attempt_end::reader_lost:
        return "reader_lost";
    case attempt_end::failed:
        return "failed";
    case attempt_end::overtaken:
        return "overtaken";
    case attempt_end::broken:
        return "broken";
    case attempt_end::disconnected:
        return "disconnected";
    case attempt_end::invalid:
        return "invalid";
    }
    return "broken";
}

auto to_string(next_step step) -> const char*
{
    switch (step) {
    case next_step::try_again:
        return "try_again";
    case next_step::pass_failure:
        return "pass_failure";
    case next_step::refuse_not_run:
        return "refuse_not_run";
    case next_step::fail_unknown:
        return "fail_unknown";
    case next_step::cut:
        return "cut";
    }
    return "cut";
}

} // namespace dragonflymill::direct
