#include "dragonflymill/direct/dispatch_policy.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/prefill_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace dragonflymill::direct {

namespace {

auto in_other_domain(const call_requirements& call, const dispatch_candidate& upstream) -> bool
{
    return upstream.failure_domain != call.failure_domain;
}

} // namespace

auto plain_dispatch::choose(const call_requirements& call,
                            std::span<const dispatch_candidate> candidates) const -> dispatch_decision
{
    const auto rank = [&](const dispatch_candidate& upstream) {
        return std::tuple(upstream.suspect, in_flight(upstream), in_other_domain(call, upstream),
                          mix_bits(upstream.id_hash ^ call.tie_breaker));
    };
    const dispatch_candidate* best = nullptr;
    for (const dispatch_candidate& upstream : candidates) {
        if (in_flight(upstream) < upstream.slots && (best == nullptr || rank(upstream) < rank(*best))) {
            best = &upstream;
        }
    }
    if (best == nullptr) {
        return {std::nullopt, wait_reason::full};
    }
    dispatch_choice choice;
    choice.upstream = best->id;
    choice.load = best->load;
    choice.slowdown = best->slowdown;
    choice.reason = "least work in hand";
    return {std::move(choice)};
}

engine_dispatch::engine_dispatch(const engine_profile& profile, duration tightest_tbt_target,
                                 const forecast_corrections& observed)
    : forecast_(profile)
    , tightest_tbt_target_(tightest_tbt_target)
    , observed_(observed)
{
}

auto engine_dispatch::is_long(std::int64_t prompt_tokens) const -> bool
{
    return tightest_tbt_target_ > duration::zero() &&
           forecast_.prefill_time(prompt_tokens) > tightest_tbt_target_ / 2;
}

auto engine_dispatch::short_partition_size(std::span<const dispatch_candidate> candidates) const
    -> std::size_t
{
    int short_calls = 0;
    int long_prompts = 0;
    for (const dispatch_candidate& engine : candidates) {
        short_calls += engine.load.short_calls;
        long_prompts += engine.load.long_calls + engine.load.parts;
    }
    const double calls_per_engine = std::max(1.0, forecast_.profile().slots * short_fill);
    const auto required = static_cast<std::size_t>(std::ceil((short_calls + 1) / calls_per_engine));
    const std::size_t count = candidates.size();
    const std::size_t max_size = long_prompts > 0 && count > 1 ? count - 1 : count;
    const std::size_t wanted = required + spare_for_short(count, required, long_prompts);
    return std::clamp<std::size_t>(wanted + slow_among_first(candidates, wanted), 1,
                                   std::max<std::size_t>(max_size, 1));
}

auto engine_dispatch::slow_among_first(std::span<const dispatch_candidate> candidates, std::size_t wanted)
    -> std::size_t
{
    std::size_t slow = 0;
    for (std::size_t i = 0; i < candidates.size() && i < wanted + slow; ++i) {
        slow += is_slow(candidates[i]) ? 1U : 0U;
    }
    return slow;
}

auto engine_dispatch::spare_for_short(std::size_t count, std::size_t required, int long_prompts)
    -> std::size_t
{
    const std::size_t for_long =
        long_headroom * (static_cast<std::size_t>(long_prompts) + prefill_planner::max_prefill_engines);
    return count <= required + for_long ? 0 : (count - required - for_long) / 2;
}

auto engine_dispatch::is_latency_critical(const call_requirements& call) const -> bool
{
    return call.tbt_target > duration::zero() && call.tbt_target <= tightest_tbt_target_;
}

auto engine_dispatch::choose(const call_requirements& call,
                             std::span<const dispatch_candidate> candidates) const -> dispatch_decision
{
    if (candidates.empty()) {
        return {std::nullopt, wait_reason::no_engine};
    }
    const std::size_t boundary = short_partition_size(candidates);
    if (is_latency_critical(call) || !is_long(call.prompt_tokens)) {
        return choose_short(call, candidates, boundary);
    }
    return choose_long(call, candidates, boundary);
}

auto engine_dispatch::choose_short(const call_requirements& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t boundary) const -> dispatch_decision
{
    const dispatch_candidate* best = nullptr;
    short_rank best_rank;
    const auto consider = [&](std::span<const dispatch_candidate> engines) {
        for (const dispatch_candidate& engine : engines) {
            if (!has_slot(engine) || free_memory(forecast_.profile(), engine) < required_memory(call)) {
                continue;
            }
            const short_rank rank = rank_for_short(call, engine);
            if (best == nullptr || rank < best_rank) {
                best = &engine;
                best_rank = rank;
            }
        }
    };
    consider(ordered.first(boundary));
    const bool in_partition = best != nullptr && best->load.pending_prefill <= prefill_planner::max_backlog &&
                              !best_rank.misses_pause && in_flight(*best) + 1 < best->slots;
    if (!in_partition) {
        consider(ordered.subspan(boundary));
    }
    if (best == nullptr) {
        return {std::nullopt, wait_reason::no_engine};
    }
    dispatch_choice choice;
    choice.upstream = best->id;
    choice.load = best->load;
    choice.slowdown = best->slowdown;
    choice.prefill_time = forecast_.prefill_time(call.prompt_tokens);
    choice.first_token = forecast_at(*best, call.prompt_tokens).first_token;
    choice.memory_tokens = required_memory(call);
    if (is_long(call.prompt_tokens)) {
        prefill_plan plan = prefill_planner(forecast_, target_part_time(), call, ordered).best_for(*best);
        choice.prefill_time = plan.part_time;
        choice.first_token = first_token_of(plan);
        choice.prefill_engines = std::move(plan.prefill_engines);
    }
    choice.reason = in_partition ? "short partition" : "short partition full";
    return {std::move(choice)};
}

auto engine_dispatch::forecast_at(const dispatch_candidate& engine, std::int64_t prompt_tokens) const
    -> call_times
{
    return observed_.whole.times(forecast_, condition_of(engine), forecast_.prefill_time(prompt_tokens));
}

auto engine_dispatch::rank_for_short(const call_requirements& call, const dispatch_candidate& engine) const
    -> short_rank
{
    const call_times expected = forecast_at(engine, call.prompt_tokens);
    // Only a slow engine is avoided for its pauses: on others, the load that makes them long passes.
    const bool misses_pause =
        is_slow(engine) && call.tbt_target > duration::zero() &&
        expected.longest_pause > scaled(call.tbt_target, prefill_planner::tbt_cost_begins);
    return {misses_pause, expected.first_token / forecast_step, in_other_domain(call, engine),
            mix_bits(engine.id_hash ^ call.tie_breaker)};
}

auto engine_dispatch::first_token_of(const prefill_plan& plan) const -> duration
{
    engine_condition condition = condition_of(*plan.decode_engine);
    condition.pending_prefill = plan.backlog;
    condition.slowdown = plan.slowdown;
    const call_forecast& observed = plan.prefill_engines.empty() ? observed_.whole : observed_.divided;
    return observed.times(forecast_, condition, plan.part_time).first_token;
}

auto engine_dispatch::choose_long(const call_requirements& call, std::span<const dispatch_candidate> ordered,
                                  std::size_t boundary) const -> dispatch_decision
{
    const std::size_t first = std::min(boundary, ordered.size() - 1);
    const prefill_planner planner(forecast_, target_part_time(), call, ordered);
    auto plan = planner.best(ordered.subspan(first));
    const wait_reason blocked_by = plan ? planner.reason_to_wait(*plan) : wait_reason::no_engine;
    if (blocked_by != wait_reason::none) {
        return {std::nullopt, blocked_by};
    }
    const bool on_time = plan->first_token() <= call.time_to_target;
    dispatch_choice choice;
    choice.upstream = plan->decode_engine->id;
    choice.load = plan->decode_engine->load;
    choice.slowdown = plan->decode_engine->slowdown;
    choice.is_long = true;
    choice.memory_tokens = plan->decode_memory_tokens;
    choice.prefill_time = plan->part_time;
    choice.first_token = first_token_of(*plan);
    choice.prefill_engines = std::move(plan->prefill_engines);
    choice.reason = on_time ? "long partition" : "late, long partition";
    return {std::move(choice)};
}

auto to_string(wait_reason reason) -> const char*
{
    switch (reason) {
    case wait_reason::none:
        return "upstreams have room";
    case wait_reason::full:
        return "all upstreams are full";
    case wait_reason::no_engine:
        return "no engine has a free slot and memory";
    case wait_reason::few_prefill_engines:
        return "too few engines are free to read the prompt in time";
    case wait_reason::backlog:
        return "engines have too much to read";
    case wait_reason::cost:
        return "reading the prompt now would make too many answers late";
    case wait_reason::behind_queued_calls:
        return "calls of its kind that go before it found no room";
    case wait_reason::rate_limit:
        return "all upstreams are at the rate of calls that they state";
    case wait_reason::pushback:
        return "all upstreams have asked for a pause";
    }
    return "unknown";
}

auto engine_dispatch::target_part_time() const -> duration
{
    return scaled(tightest_tbt_target_, part_time_share);
}

auto required_memory(const call_requirements& call) -> std::int64_t
{
    return call.prompt_tokens + call.answer_tokens;
}

auto free_memory(const engine_profile& profile, const dispatch_candidate& engine) -> std::int64_t
{
    if (profile.memory_tokens <= 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return static_cast<std::int64_t>(static_cast<double>(profile.memory_tokens) * usable_memory_share) -
           engine.load.memory_tokens;
}

void sort_for_partition(std::vector<dispatch_candidate>& candidates)
{
    for (dispatch_candidate& candidate : candidates) {
        candidate.id_hash = stable_hash(candidate.id);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const dispatch_candidate& a, const dispatch_candidate& b) {
                  return std::tie(a.id_hash, a.id) < std::tie(b.id_hash, b.id);
              });
}

} // namespace dragonflymill::direct
