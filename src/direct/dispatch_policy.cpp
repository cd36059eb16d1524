#include "dragonflymill/direct/dispatch_policy.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/prefill_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace dragonflymill::direct {

namespace {

auto is_far(const call_shape& call, const dispatch_candidate& upstream) -> bool
{
    return upstream.failure_domain != call.failure_domain;
}

} // namespace

auto plain_dispatch::choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
    -> dispatch_decision
{
    const auto rank = [&](const dispatch_candidate& upstream) {
        return std::tuple(upstream.suspect, in_flight(upstream), is_far(call, upstream),
                          mix_bits(upstream.place ^ call.spread));
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
    choice.reason = "least work in hand";
    return {std::move(choice)};
}

engine_dispatch::engine_dispatch(const engine_profile& figures, duration tightest_tbt_target)
    : forecast_(figures)
    , tightest_pause_(tightest_tbt_target)
{
}

auto engine_dispatch::is_long(std::int64_t prompt_tokens) const -> bool
{
    return tightest_pause_ > duration::zero() && forecast_.read_alone(prompt_tokens) > tightest_pause_ / 2;
}

auto engine_dispatch::short_partition(std::span<const dispatch_candidate> candidates) const -> std::size_t
{
    int short_calls = 0;
    int long_work = 0;
    for (const dispatch_candidate& engine : candidates) {
        short_calls += engine.load.short_calls;
        long_work += engine.load.long_calls + engine.load.parts;
    }
    const double each = std::max(1.0, forecast_.figures().slots * short_fill);
    const auto needed = static_cast<std::size_t>(std::ceil((short_calls + 1) / each));
    const std::size_t count = candidates.size();
    const std::size_t most = long_work > 0 && count > 1 ? count - 1 : count;
    return std::clamp<std::size_t>(needed, 1, std::max<std::size_t>(most, 1));
}

auto engine_dispatch::is_tight(const call_shape& call) const -> bool
{
    return call.tbt_target > duration::zero() && call.tbt_target <= tightest_pause_;
}

auto engine_dispatch::choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
    -> dispatch_decision
{
    if (candidates.empty()) {
        return {std::nullopt, wait_reason::no_engine};
    }
    const std::size_t boundary = short_partition(candidates);
    if (is_tight(call) || !is_long(call.prompt_tokens)) {
        return choose_short(call, candidates, boundary);
    }
    return choose_long(call, candidates, boundary);
}

auto engine_dispatch::choose_short(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t boundary) const -> dispatch_decision
{
    const auto rank = [&](const dispatch_candidate& engine) {
        return std::tuple(engine.load.pending_prefill / 25ms, in_flight(engine) / 2, is_far(call, engine),
                          mix_bits(engine.place ^ call.spread));
    };
    const dispatch_candidate* best = nullptr;
    const auto consider = [&](std::span<const dispatch_candidate> engines) {
        for (const dispatch_candidate& engine : engines) {
            const bool usable =
                has_slot(engine) && free_memory(forecast_.figures(), engine) >= memory_need(call);
            if (usable && (best == nullptr || rank(engine) < rank(*best))) {
                best = &engine;
            }
        }
    };
    consider(ordered.first(boundary));
    const bool inside = best != nullptr && best->load.pending_prefill <= prefill_planner::max_backlog;
    if (!inside) {
        consider(ordered.subspan(boundary));
    }
    if (best == nullptr) {
        return {std::nullopt, wait_reason::no_engine};
    }
    dispatch_choice choice;
    choice.upstream = best->id;
    choice.load = best->load;
    choice.reading = forecast_.read_alone(call.prompt_tokens);
    choice.first_token = best->load.pending_prefill + choice.reading;
    choice.memory_tokens = memory_need(call);
    if (is_long(call.prompt_tokens)) {
        prefill_plan plan = prefill_planner(forecast_, wanted_part(), call, ordered).best_for(*best);
        choice.reading = plan.part;
        choice.first_token = plan.first_token();
        choice.prefill_engines = std::move(plan.helpers);
    }
    choice.first_token += forecast_.pass(in_flight(*best), call.prompt_tokens);
    choice.reason = inside ? "short partition" : "short partition full";
    return {std::move(choice)};
}

auto engine_dispatch::choose_long(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                  std::size_t boundary) const -> dispatch_decision
{
    const std::size_t first = std::min(boundary, ordered.size() - 1);
    const prefill_planner planner(forecast_, wanted_part(), call, ordered);
    auto plan = planner.best(ordered.subspan(first));
    const wait_reason obstacle = plan ? planner.obstacle_to(*plan) : wait_reason::no_engine;
    if (obstacle != wait_reason::none) {
        return {std::nullopt, obstacle};
    }
    const bool on_time = plan->first_token() <= call.time_to_aim;
    dispatch_choice choice;
    choice.upstream = plan->writer->id;
    choice.load = plan->writer->load;
    choice.is_long = true;
    choice.memory_tokens = plan->writer_tokens;
    choice.reading = plan->part;
    choice.first_token = plan->first_token();
    choice.prefill_engines = std::move(plan->helpers);
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
    case wait_reason::few_readers:
        return "too few engines are free to read the prompt in time";
    case wait_reason::backlog:
        return "engines have too much to read";
    case wait_reason::cost:
        return "reading the prompt now would make too many answers late";
    case wait_reason::behind_others:
        return "calls of its kind that go before it found no room";
    }
    return "unknown";
}

auto engine_dispatch::wanted_part() const -> duration
{
    return scaled(tightest_pause_, part_share);
}

auto memory_need(const call_shape& call) -> std::int64_t
{
    return call.prompt_tokens + call.answer_tokens;
}

auto free_memory(const engine_profile& figures, const dispatch_candidate& engine) -> std::int64_t
{
    if (figures.memory_tokens <= 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return static_cast<std::int64_t>(static_cast<double>(figures.memory_tokens) * memory_fill) -
           engine.load.memory_tokens;
}

void sort_for_partition(std::vector<dispatch_candidate>& candidates)
{
    for (dispatch_candidate& candidate : candidates) {
        candidate.place = stable_hash(candidate.id);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const dispatch_candidate& a, const dispatch_candidate& b) {
                  return std::tie(a.place, a.id) < std::tie(b.place, b.id);
              });
}

} // namespace dragonflymill::direct
