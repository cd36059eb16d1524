#include "dragonflymill/overload/overload_policy.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr duration min_retry_after{1'000'000};
constexpr duration max_retry_after{30'000'000};

} // namespace

auto refuse_overloaded(const load_signal& load) -> refusal
{
    const duration until_bound = std::clamp(load.drain_time - load.bound, min_retry_after, max_retry_after);
    return {refusal_code::overloaded, ran_state::no, until_bound, "send it again after the time given"};
}

auto may_pause(instant now, const running_work& running) -> bool
{
    return running.work.priority == work_priority::overnight &&
           running.work.limit.remaining(now) > 2 * running.cost_left;
}

} // namespace dragonflymill
