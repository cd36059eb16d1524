#include "dragonflymill/direct/queue_order.h"

#include "dragonflymill/direct/engine_forecast.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace dragonflymill::direct {

namespace {

/// Whether a call is late, its priority, whether it wasn't attempted before, its aged prefill, and its id.
using queue_rank = std::tuple<bool, int, bool, instant, std::uint64_t>;

struct ranked_call
{
    queue_rank rank;
    waiting_call call;
};

auto is_late(const waiting_call& call, const first_token_times& measured, instant now) -> bool
{
    const duration first_token =
        std::clamp(measured.expected(class_of(call)), call.aim / 3, call.aim * 2 / 3);
    return now + first_token >= call.latency_target_at;
}

auto prefill_time(const waiting_call& call, const upstream_list& fleet) -> duration
{
    const service_rule* service = fleet.config()->find_service(call.service);
    const bool has_prefill = service != nullptr && service->engine;
    return has_prefill ? engine_forecast(*service->engine).prefill_time(call.prompt_tokens)
                       : duration::zero();
}

} // namespace

void sort_queue(std::vector<waiting_call>& calls, const upstream_list& fleet,
                const std::set<std::string>& rate_limited_services, const first_token_times& measured,
                instant now)
{
    std::vector<ranked_call> ranked;
    ranked.reserve(calls.size());
    for (waiting_call& call : calls) {
        const bool goes_first =
            rate_limited_services.contains(call.service) && (call.returning || call.attempts.count() > 0);
        const queue_rank rank(!goes_first && is_late(call, measured, now), call.priority, !goes_first,
                              call.latency_target_at + prefill_time(call, fleet), call.id);
        ranked.push_back({rank, std::move(call)});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_call& a, const ranked_call& b) { return a.rank < b.rank; });
    std::transform(ranked.begin(), ranked.end(), calls.begin(),
                   [](ranked_call& item) { return std::move(item.call); });
}

} // namespace dragonflymill::direct
