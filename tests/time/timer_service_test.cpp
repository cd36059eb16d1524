#include "dragonflymill/time/timer_service.h"

#include "dragonflymill/core/random_source.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string>

namespace dragonflymill {

namespace {

auto at(duration since_start) -> instant
{
    return instant(since_start);
}

auto keys_of(const std::vector<expired_timer<int>>& expired) -> std::vector<int>
{
    std::vector<int> keys;
    keys.reserve(expired.size());
    for (const auto& timer : expired) {
        keys.push_back(timer.key);
    }
    return keys;
}

/// Runs random subscriptions, cancellations and advances; returns the expired keys in order.
auto random_run(std::uint64_t seed) -> std::vector<int>
{
    random_source random(seed);
    timer_service<int> timers(64);
    std::vector<int> expired;
    std::vector<timer_id> ids;
    instant now;
    for (int i = 0; i < 1000; ++i) {
        now += duration(random.below(50));
        if (random.chance(0.7)) {
            const auto id = timers.subscribe(now + duration(random.below(500)), i);
            if (id) {
                ids.push_back(id.value());
            }
        }
        else if (!ids.empty()) {
            timers.cancel(ids[random.below(ids.size())]);
        }
        for (const auto& timer : timers.advance(now)) {
            cr_assert(timer.id.at() <= now);
            expired.push_back(timer.key);
        }
        cr_assert(!timers.next() || *timers.next() > now);
        cr_assert(timers.size() <= 64);
    }
    return expired;
}

} // namespace

Test(timer_service, expires_in_order_of_time_then_of_subscription)
{
    timer_service<int> timers(8);
    cr_assert(timers.subscribe(at(30ms), 1).has_value());
    cr_assert(timers.subscribe(at(10ms), 2).has_value());
    cr_assert(timers.subscribe(at(30ms), 3).has_value());
    cr_assert(timers.next() == at(10ms));
    cr_assert(timers.advance(at(9ms)).empty());
    cr_assert(keys_of(timers.advance(at(30ms))) == std::vector({2, 1, 3}));
    cr_assert(!timers.next().has_value());
}

Test(timer_service, a_cancelled_timer_never_expires)
{
    timer_service<int> timers(8);
    const auto id = timers.subscribe(at(10ms), 1).value();
    cr_assert(timers.cancel(id));
    cr_assert(!timers.cancel(id));
    cr_assert(timers.advance(at(1s)).empty());
}

Test(timer_service, refuses_subscriptions_at_its_capacity_and_recovers)
{
    timer_service<int> timers(2);
    cr_assert(timers.subscribe(at(10ms), 1).has_value());
    cr_assert(timers.subscribe(at(20ms), 2).has_value());
    cr_assert(timers.subscribe(at(5ms), 3).error().kind() == error_kind::limit_reached);
    cr_assert(timers.advance(at(10ms)).size() == 1);
    cr_assert(timers.subscribe(at(5ms), 3).has_value());
    cr_assert(keys_of(timers.advance(at(10ms))) == std::vector({3}), "a time in the past expires at once");
}

Test(timer_service, returns_expiries_in_order_after_a_pause)
{
    // A process is paused for an hour with a retry at 1 s, a heartbeat at 2 s and a request's time limit at 3
    // s. When it resumes, all three have expired and must be returned in the order of their times.
    timer_service<std::string> timers(8);
    cr_assert(timers.subscribe(at(3s), "limit").has_value());
    cr_assert(timers.subscribe(at(1s), "retry").has_value());
    cr_assert(timers.subscribe(at(2s), "heartbeat").has_value());
    const instant resumed = at(std::chrono::hours(1));
    for (const char* expected : {"retry", "heartbeat", "limit"}) {
        const auto expired = timers.advance(resumed, 1);
        cr_assert(expired.size() == 1);
        cr_assert(expired[0].key == expected);
    }
}

Test(timer_service, the_same_calls_give_the_same_expiries)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto first = random_run(seed);
        cr_assert(!first.empty());
        cr_assert(first == random_run(seed), "seed %lu", static_cast<unsigned long>(seed));
    }
}

} // namespace dragonflymill
