#include "dragonflymill/direct/attempt_rules.h"

#include <criterion/criterion.h>
#include <functional>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

/// Calls `check` for every end and every combination of what can be known.
void for_each_case(const std::function<void(attempt_end, const request_progress&)>& check)
{
    for (const auto end :
         {attempt_end::not_sent, attempt_end::rejected, attempt_end::misdirected, attempt_end::reader_lost,
          attempt_end::failed, attempt_end::overtaken, attempt_end::broken}) {
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

// A household is billed twice: a booking was sent to a second upstream after the first one had fallen silent,
// and both ran it. Whatever else is known, what can't be repeated is sent again only if it can't have run.
Test(attempt_rules, what_may_have_run_is_not_sent_again_unless_it_may_be_repeated)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        if (!state.repeatable && state.may_have_run) {
            const bool again = decide_next_step(end, state) == next_step::try_again;
            cr_assert(!again || end == attempt_end::not_sent,
                      "only an attempt that left no byte leads to another");
        }
    });
}

// A caller is told that its booking was not run and makes it again; it had run. "Not run" is said only when
// no attempt can have run.
Test(attempt_rules, not_run_is_said_only_when_it_is_certain)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        if (decide_next_step(end, state) == next_step::refuse_not_run) {
            cr_assert(!state.may_have_run);
            cr_assert(!may_have_run(end));
        }
    });
}

// A caller takes half an answer for the whole: after its head has been passed on, no other answer may follow.
Test(attempt_rules, a_begun_answer_goes_on_or_is_cut)
{
    for_each_case([](attempt_end end, const request_progress& state) {
        if (state.answer_begun) {
            const next_step step = decide_next_step(end, state);
            cr_assert(step == next_step::try_again || step == next_step::cut);
        }
    });
}

Test(attempt_rules, attempts_are_bounded)
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

Test(attempt_rules, a_rejected_booking_is_tried_elsewhere)
{
    request_progress state;
    state.budget_left = true;
    state.time_left = 1s;
    state.rejections = 1;
    cr_assert(decide_next_step(attempt_end::rejected, state) == next_step::try_again);
    state.rejections = max_rejections + 1;
    cr_assert(decide_next_step(attempt_end::rejected, state) == next_step::refuse_not_run);
}
