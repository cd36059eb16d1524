#include "dragonflymill/direct/call_attempts.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

} // namespace

// Guards against a single crashed engine that excludes its whole failure domain for a call.
Test(call_attempts, does_not_avoid_a_domain_for_one_unreachable_upstream)
{
    call_attempts attempts;
    attempts.ended(attempt_end::reader_lost, {"u1", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u1", "a"}, start);
    cr_assert(attempts.tried("u1"));
    cr_assert(!attempts.avoids("a", start));
    cr_assert(!attempts.avoids_any(start));
}

// Guards against a call that uses up its attempts on the engines of a failed domain one by one.
Test(call_attempts, avoids_a_domain_with_two_unreachable_upstreams_for_a_time)
{
    call_attempts attempts;
    attempts.ended(attempt_end::reader_lost, {"u1", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u2", "a"}, start);
    cr_assert(attempts.avoids("a", start));
    cr_assert(!attempts.avoids("b", start));
    cr_assert(!attempts.avoids("a", start + call_attempts::domain_avoidance));
}

// Broken responses and full engines are no evidence about other upstreams of their failure domain.
Test(call_attempts, does_not_count_responding_upstreams_as_unreachable)
{
    call_attempts attempts;
    attempts.ended(attempt_end::broken, {"u1", "a"}, start);
    attempts.ended(attempt_end::rejected, {"u2", "a"}, start);
    attempts.ended(attempt_end::overtaken, {"u3", "a"}, start);
    cr_assert(!attempts.avoids_any(start));
}

// Guards against refusing a call seconds before its deadline because four prefill engines were lost: a lost
// prefill engine does not count towards the maximum of rejections.
Test(call_attempts, does_not_count_a_lost_prefill_engine_as_a_rejection)
{
    call_attempts attempts;
    attempts.ended(attempt_end::reader_lost, {"u1", "a"}, start);
    attempts.ended(attempt_end::rejected, {"u2", "b"}, start);
    attempts.ended(attempt_end::misdirected, {"u3", "b"}, start);
    cr_assert(attempts.rejections() == 2);
    cr_assert(attempts.arrivals() == 3);
    cr_assert(attempts.run() == 0);
}

Test(call_attempts, does_not_count_an_unsent_attempt_as_an_arrival)
{
    call_attempts attempts;
    attempts.dispatched();
    attempts.ended(attempt_end::not_sent, {"u1", "a"}, start);
    cr_assert(attempts.count() == 1);
    cr_assert(attempts.arrivals() == 0);
}
