#include "dragonflymill/direct/call_attempts.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

} // namespace

// One engine that crashed takes a third of the fleet out of use for a call.
Test(call_attempts, one_unreachable_upstream_does_not_condemn_its_domain)
{
    call_attempts attempts;
    attempts.ended(attempt_end::reader_lost, {"u1", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u1", "a"}, start);
    cr_assert(attempts.tried("u1"));
    cr_assert(!attempts.avoids("a", start));
    cr_assert(!attempts.avoids_any(start));
}

// A failure domain goes away, and a call finds its engines gone one by one until it is refused.
Test(call_attempts, two_unreachable_upstreams_condemn_their_domain_for_a_time)
{
    call_attempts attempts;
    attempts.ended(attempt_end::reader_lost, {"u1", "a"}, start);
    attempts.ended(attempt_end::not_sent, {"u2", "a"}, start);
    cr_assert(attempts.avoids("a", start));
    cr_assert(!attempts.avoids("b", start));
    cr_assert(!attempts.avoids("a", start + call_attempts::domain_avoidance));
}

// Two answers that were broken off, or two engines without room, say nothing of the others of their domain.
Test(call_attempts, what_answers_is_not_unreachable)
{
    call_attempts attempts;
    attempts.ended(attempt_end::broken, {"u1", "a"}, start);
    attempts.ended(attempt_end::rejected, {"u2", "a"}, start);
    attempts.ended(attempt_end::overtaken, {"u3", "a"}, start);
    cr_assert(!attempts.avoids_any(start));
}

// A document that may be served for ten seconds more is refused after four readers were found gone.
Test(call_attempts, a_lost_reader_is_not_a_rejection)
{
    call_attempts attempts;
    attempts.ended(attempt_end::reader_lost, {"u1", "a"}, start);
    attempts.ended(attempt_end::rejected, {"u2", "b"}, start);
    attempts.ended(attempt_end::misdirected, {"u3", "b"}, start);
    cr_assert(attempts.rejections() == 2);
    cr_assert(attempts.arrivals() == 3);
    cr_assert(attempts.run() == 0);
}

Test(call_attempts, what_left_no_byte_is_not_an_arrival)
{
    call_attempts attempts;
    attempts.dispatched();
    attempts.ended(attempt_end::not_sent, {"u1", "a"}, start);
    cr_assert(attempts.count() == 1);
    cr_assert(attempts.arrivals() == 0);
}
