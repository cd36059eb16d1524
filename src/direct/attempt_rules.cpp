#include "dragonflymill/direct/attempt_rules.h"

namespace dragonflymill::direct {

namespace {

auto may_try_again(attempt_end end, const request_progress& progress) -> bool
{
    if (progress.time_left < least_time_for_attempt) {
        return false;
    }
    if (end == attempt_end::not_sent) {
        return true;
    }
    if (!progress.budget_left) {
        return false;
    }
    if (end == attempt_end::rejected) {
        const bool allowed = progress.repeatable || !progress.may_have_run;
        return allowed && progress.attempts_sent - progress.attempts_run <= max_rejections;
    }
    return progress.repeatable && progress.attempts_run < progress.max_attempts;
}

} // namespace

auto after_attempt(attempt_end end, const request_progress& progress) -> next_step
{
    if (may_try_again(end, progress)) {
        return next_step::try_again;
    }
    if (progress.answer_begun) {
        return next_step::cut;
    }
    if (end == attempt_end::failed) {
        return next_step::pass_failure;
    }
    const bool may_have_run = progress.may_have_run || end == attempt_end::broken;
    return may_have_run ? next_step::fail_unknown : next_step::refuse_not_run;
}

auto to_string(attempt_end end) -> const char*
{
    switch (end) {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::rejected:
        return "rejected";
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
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
