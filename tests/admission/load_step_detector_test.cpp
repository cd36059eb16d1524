#include "dragonflymill/admission/load_step_detector.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

Test(load_step_detector, short_queue_of_own_work_is_no_cold_sign)
{
    // Guards against a false cold sign. An engine that prefills short prompts has no queue most of the time;
    // then one longer prompt is queued while the outstanding work is unchanged.
    load_step_detector detector({});
    constexpr work_cost own = 25'356;
    constexpr work_cost one_prompt = 6'908;
    auto now = instant(100s);
    for (int i = 0; i < 40; ++i) {
        now += 250ms;
        detector.set_outstanding(now, own);
        cr_assert_not(detector.report(now, 0, 100ms));
    }
    cr_assert_not(detector.report(now + 250ms, one_prompt, 100ms));
    cr_assert(detector.report(now + 500ms, own - 1'000, 100ms), "nearly all of the own work is queued");
}
