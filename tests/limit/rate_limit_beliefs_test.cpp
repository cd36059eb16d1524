#include "dragonflymill/limit/rate_limit_beliefs.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

namespace {

constexpr instant start(100s);
constexpr upstream_run engine = 7;

/// Beliefs of a gateway that received a limit of 2 calls per second at `start`.
auto limited_to_two() -> rate_limit_beliefs
{
    rate_limit_beliefs beliefs;
    cr_assert(beliefs.record(engine, {true, 2.0}, start - 50ms, start));
    return beliefs;
}

} // namespace

Test(rate_limit_beliefs, limit_is_known_with_its_age)
{
    auto beliefs = limited_to_two();
    cr_assert(beliefs.find(engine)->calls_per_s == 2.0 && beliefs.find(engine)->stated_at == start);
    cr_assert(!beliefs.record(engine, {true, 2.0}, start, start + 1s), "the same limit is no change");
    cr_assert(beliefs.find(engine)->stated_at == start + 1s);
    cr_assert(beliefs.record(engine, {true, 0.5}, start, start + 2s));
    cr_assert(beliefs.find(engine)->calls_per_s == 0.5);
}

// Guards against lifting a limit too early: responses to calls that were sent before the limit was stated
// arrive after it.
Test(rate_limit_beliefs, only_a_call_sent_after_the_statement_ends_a_limit)
{
    auto beliefs = limited_to_two();
    cr_assert(!beliefs.record(engine, {true, std::nullopt}, start - 10ms, start + 10ms));
    cr_assert(beliefs.find(engine) != nullptr);
    cr_assert(beliefs.record(engine, {true, std::nullopt}, start + 10ms, start + 20ms));
    cr_assert(beliefs.find(engine) == nullptr);
}

Test(rate_limit_beliefs, unreadable_statement_changes_nothing)
{
    auto beliefs = limited_to_two();
    cr_assert(!beliefs.record(engine, {false, std::nullopt}, start + 1s, start + 2s));
    cr_assert(beliefs.find(engine)->stated_at == start);
}

// Guards against an ended limit that comes back: another gateway reports an older statement, or one that it
// has at second hand.
Test(rate_limit_beliefs, newest_first_hand_statement_wins)
{
    auto beliefs = limited_to_two();
    cr_assert(beliefs.record(engine, {true, std::nullopt}, start + 1s, start + 2s));
    cr_assert(!beliefs.apply(engine, {2.0, start + 1s, true}), "older than the end of the limit");
    cr_assert(!beliefs.apply(engine, {2.0, start + 3s, false}), "second-hand, and there is no gap to fill");
    cr_assert(beliefs.apply(engine, {3.0, start + 3s, true}));
    cr_assert(beliefs.find(engine)->calls_per_s == 3.0 && !beliefs.find(engine)->first_hand);
}

// A gateway that has just started has sent nothing yet; the gateway that received the limit may be gone.
Test(rate_limit_beliefs, second_hand_limit_fills_a_gap)
{
    rate_limit_beliefs beliefs;
    cr_assert(beliefs.apply(engine, {2.0, start, false}));
    cr_assert(beliefs.find(engine)->calls_per_s == 2.0);
    cr_assert(!beliefs.apply(8, {std::nullopt, start, true}), "an end of an unknown limit is no news");
}

Test(rate_limit_beliefs, beliefs_about_upstreams_that_are_gone_end)
{
    auto beliefs = limited_to_two();
    beliefs.retain({engine}, start + 1h);
    cr_assert(beliefs.limited() == 1, "a limit of a running upstream doesn't expire");
    beliefs.retain({}, start + rate_limit_beliefs::retention);
    cr_assert(beliefs.limited() == 1);
    beliefs.retain({}, start + rate_limit_beliefs::retention + 1ms);
    cr_assert(beliefs.all().empty());
}
