#include "dragonflymill/direct/attempt_rules.h"

#include <criterion/criterion.h>
#include <functional>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

/// Calls `check` for every end of an attempt and every combination of progress.
void for_each_case(const std::function<void(attempt_end, const request_progress&)>& check)
{
    for (const auto end : {attempt_end::not_sent, attempt_end::rejected, attempt_end::misdirected,
                           attempt_end::reader_lost, attempt_end::failed, attempt_end::overtaken,
                           attempt_end::broken, attempt_end::disconnected, attempt_end::invalid}) {
        for (int bits = 0; bits < 16; ++bits) {
            for (int run = 0; run <= 3; ++run) {
                request_progress state;
                state.repeatable = (bits & 1) != 0;
                state.answer_begun = (bits & 2) != 0;
                state.budget_left = (bits & 4) != 0;
                state.time_left = (bits & 8) != 0 ? duration(1s) : duration(1ms);
                state.attempts_run = run;
                state.rejections = end == attempt_end::rejected ? 1 : 0;
                state.may_have_run = run > 0;
                state.max_attempts = 2;
                check(end, state);
            }
        }
    }
}

} // namespace

// Guards against running a call twice: the first upstream stops responding, the call is sent to a second one,
// and both run it. A call that is not repeatable is retried only if it cannot have run.
Test(attempt_rules, retries_a_non_repeatable_call_only_if_it_cannot_have_run)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        if (!state.repeatable && state.may_have_run) {
            const bool again = decide_next_step(end, state) == next_step::try_again;
            cr_assert(!again || end == attempt_end::not_sent,
                      "only an attempt that sent no byte is followed by another");
        }
    });
}

// Guards against a false "not run": the caller then submits the call again although it has run.
Test(attempt_rules, reports_not_run_only_if_no_attempt_can_have_run)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        if (decide_next_step(end, state) == next_step::refuse_not_run) {
            cr_assert(!state.may_have_run);
            cr_assert(!may_have_run(end));
        }
    });
}

// Guards against a failure of an upstream that ran a booking, forwarded with a status that says "not run":
// its caller books again.
Test(attempt_rules, forwards_no_failure_that_says_not_run)
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        cr_assert(says_not_run(status));
    }
    for (const unsigned status : {200U, 400U, 404U, 409U, 500U, 501U, 502U, 504U}) {
        cr_assert(!says_not_run(status));
    }
    for_each_case([](attempt_end end, request_progress state) {
        state.failure_says_not_run = true;
        const next_step step = decide_next_step(end, state);
        cr_assert(step != next_step::pass_failure);
        cr_assert(end != attempt_end::failed || step != next_step::refuse_not_run);
        state.failure_says_not_run = false;
        cr_assert(step == decide_next_step(end, state) || end == attempt_end::failed);
    });
}

// Guards against a partial response that looks complete: once its head has been forwarded, the response is
// continued or the connection is closed.
Test(attempt_rules, continues_or_cuts_a_response_that_has_begun)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        if (state.answer_begun) {
            const next_step step = decide_next_step(end, state);
            cr_assert(step == next_step::try_again || step == next_step::cut);
        }
    });
}

Test(attempt_rules, limits_attempts_by_count_time_and_budget)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        const bool spent = state.attempts_run >= state.max_attempts;
        if (spent && may_have_run(end)) {
            cr_assert(decide_next_step(end, state) != next_step::try_again);
        }
        if (state.time_left < min_attempt_time) {
            cr_assert(decide_next_step(end, state) != next_step::try_again);
        }
        if (!state.budget_left && end != attempt_end::not_sent) {
            cr_assert(decide_next_step(end, state) != next_step::try_again);
        }
    });
}

// Guards against a hopeless call that is held until its deadline: all upstreams that are left are out of
// reach.
Test(attempt_rules, gives_up_a_call_out_of_reach_when_it_may_no_longer_wait)
{
    request_progress state;
    state.time_left = 9s;
    state.wait_left = 100ms;
    state.retry_delay = 80ms;
    cr_assert(decide_next_step(attempt_end::not_sent, state) == next_step::try_again);
    state.retry_delay = 160ms;
    cr_assert(decide_next_step(attempt_end::not_sent, state) == next_step::refuse_not_run);
    state.may_have_run = true;
    cr_assert(decide_next_step(attempt_end::not_sent, state) == next_step::fail_unknown);
    state.answer_begun = true;
    cr_assert(decide_next_step(attempt_end::not_sent, state) == next_step::try_again, "a stream goes on");
    state.answer_begun = false;
    state.wait_left = -3s;
    state.retry_delay = 0s;
    cr_assert(decide_next_step(attempt_end::not_sent, state) == next_step::try_again, "others may be left");
}

Test(attempt_rules, retries_a_rejected_call_up_to_the_maximum_of_rejections)
{
    request_progress state;
    state.budget_left = true;
    state.time_left = 1s;
    state.rejections = 1;
    cr_assert(decide_next_step(attempt_end::rejected, state) == next_step::try_again);
    state.rejections = max_rejections + 1;
    cr_assert(decide_next_step(attempt_end::rejected, state) == next_step::refuse_not_run);
}
