#include "dragonflymill/direct/call_attempts.h"

#include <criterion/criterion.h>
#include <string>

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

// Guards against a call that is sent hundreds of times a second while the only upstream that is left refuses
// connections.
Test(call_attempts, wait_longer_and_longer_once_the_upstreams_are_tried)
{
    call_attempts attempts;
    const auto fail_at = [&](const char* upstream) {
        attempts.dispatched();
        attempts.ended(attempt_end::not_sent, {upstream, "a"}, start);
        return attempts.retry_delay();
    };
    cr_assert(attempts.retry_delay() == 0s);
    cr_assert(fail_at("u1") == 0s && fail_at("u2") == 0s, "others may be left");
    duration waited{};
    int sent = 2;
    for (duration delay{}; waited < 10s; ++sent) {
        const duration next = fail_at("u1");
        cr_assert(next >= delay && next >= call_attempts::first_retry_delay);
        cr_assert(next <= call_attempts::max_retry_delay);
        delay = next;
        waited += next;
    }
    cr_assert(sent < 64, "%d attempts in ten seconds", sent);
}

// Guards against the same with a single upstream, and against a fleet of which each upstream is tried at
// once.
Test(call_attempts, wait_if_the_same_upstream_fails_again_or_many_failed)
{
    call_attempts single;
    for (int attempt = 0; attempt < 2; ++attempt) {
        single.dispatched();
        single.ended(attempt_end::not_sent, {"u1", "a"}, start);
    }
    cr_assert(single.retry_delay() > 0s);
    call_attempts many;
    for (std::uint64_t attempt = 0; attempt < call_attempts::undelayed_attempts; ++attempt) {
        many.dispatched();
        many.ended(attempt_end::reader_lost, {"u" + std::to_string(attempt), "a"}, start);
    }
    cr_assert(many.retry_delay() > 0s);
}
