#include "dragonflymill/direct/queue_order.h"
#include "engine_samples.h"

#include <criterion/criterion.h>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

using ids = std::vector<std::uint64_t>;

constexpr instant start = instant(100s);

auto fleet_with_engines() -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    parts.services = {{"answers", 400, 3s, 0.0, sample_profile()}};
    fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
    return fleet;
}

auto call(std::uint64_t id, std::int64_t prompt_tokens = 5'000) -> waiting_call
{
    waiting_call made;
    made.id = id;
    made.service = "answers";
    made.prompt_tokens = prompt_tokens;
    made.aim = 3s;
    made.latency_target_at = start + made.aim;
    return made;
}

auto sorted(std::vector<waiting_call> calls, const std::set<std::string>& rate_limited = {}) -> ids
{
    sort_queue(calls, fleet_with_engines(), rate_limited, first_token_times(), start);
    ids order;
    for (const waiting_call& item : calls) {
        order.push_back(item.id);
    }
    return order;
}

} // namespace

// Guards against calls that are late already, and served late in any case, ahead of calls that can be on
// time.
Test(queue_order, late_calls_go_last_whatever_their_priority)
{
    waiting_call late = call(1);
    late.latency_target_at = start;
    waiting_call urgent = call(2);
    urgent.priority = 0;
    waiting_call usual = call(3);
    usual.priority = 1;
    cr_assert((sorted({late, usual, urgent}) == ids{2, 3, 1}));
}

// Guards against one prompt of a million tokens ahead of many long ones, and against its waiting for ever.
Test(queue_order, shortest_prefill_goes_first_with_aging)
{
    cr_assert((sorted({call(1, 1'000'000), call(2, 200'000)}) == ids{2, 1}));
    waiting_call newer = call(2, 200'000);
    newer.latency_target_at += 2min;
    cr_assert((sorted({newer, call(1, 1'000'000)}) == ids{1, 2}));
}

// Guards against a second refusal, which loses the caller, while upstreams state rate limits.
Test(queue_order, returning_caller_goes_first_under_a_rate_limit)
{
    waiting_call returning = call(2);
    returning.returning = true;
    cr_assert((sorted({call(1), returning}) == ids{1, 2}));
    cr_assert((sorted({call(1), returning}, {"answers"}) == ids{2, 1}));
}
