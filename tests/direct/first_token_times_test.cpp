#include "dragonflymill/direct/first_token_times.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant now(100s);

auto drafts() -> call_class
{
    return {"model", 250ms};
}

} // namespace

Test(first_token_times, first_time_is_used_directly_and_later_ones_are_averaged)
{
    first_token_times times;
    cr_assert(times.expected(drafts()) == 0s);
    times.dispatched(1, drafts(), now);
    times.first_token(1, now + 100ms);
    cr_assert(times.expected(drafts()) == 100ms);
    times.dispatched(2, drafts(), now);
    times.first_token(2, now + 300ms);
    cr_assert(times.expected(drafts()) > 100ms && times.expected(drafts()) < 150ms);
}

Test(first_token_times, ignores_all_but_the_first_token_of_a_call)
{
    first_token_times times;
    times.dispatched(1, drafts(), now);
    times.first_token(1, now + 100ms);
    times.first_token(1, now + 5s);
    cr_assert(times.expected(drafts()) == 100ms);
}

Test(first_token_times, ignores_calls_without_a_token_and_other_classes)
{
    first_token_times times;
    times.dispatched(1, drafts(), now);
    times.finished(1);
    times.first_token(1, now + 5s);
    times.dispatched(2, {"model", 1s}, now);
    times.first_token(2, now + 3s);
    cr_assert(times.expected(drafts()) == 0s);
}
