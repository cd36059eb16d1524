#include "dragonflymill/direct/dispatch_policy.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dragonflymill::direct {

namespace {

auto in_hand(const dispatch_candidate& upstream) -> int
{
    return upstream.load.short_calls + upstream.load.long_calls;
}

auto has_slot(const dispatch_candidate& upstream) -> bool
{
    return !upstream.suspect && in_hand(upstream) < upstream.slots;
}

auto is_far(const call_shape& call, const dispatch_candidate& upstream) -> bool
{
    return upstream.failure_domain != call.failure_domain;
}

} // namespace

auto plain_dispatch::choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
    -> std::optional<dispatch_choice>
{
    const auto rank = [&](const dispatch_candidate& upstream) {
        return std::tuple(upstream.suspect, in_hand(upstream), is_far(call, upstream),
                          stable_hash(upstream.id));
    };
    const dispatch_candidate* best = nullptr;
    for (const dispatch_candidate& upstream : candidates) {
        if (in_hand(upstream) < upstream.slots && (best == nullptr || rank(upstream) < rank(*best))) {
            best = &upstream;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    dispatch_choice choice;
    choice.upstream = best->id;
    choice.reason = "least work in hand";
    return choice;
}

engine_dispatch::engine_dispatch(const engine_figures& figures, duration tightest_pause)
    : forecast_(figures)
    , long_from_(tightest_pause / 2)
{
}

auto engine_dispatch::is_long(std::int64_t prompt_tokens) const -> bool
{
    return long_from_ > duration::zero() && forecast_.read_alone(prompt_tokens) > long_from_;
}

auto engine_dispatch::short_side(std::span<const dispatch_candidate> candidates) const -> std::size_t
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

auto engine_dispatch::choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
    -> std::optional<dispatch_choice>
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t border = short_side(candidates);
    if (!is_long(call.prompt_tokens)) {
        return choose_short(call, candidates, border);
    }
    if (border < candidates.size()) {
        return choose_long(call, candidates.subspan(border));
    }
    return choose_long(call, candidates.subspan(candidates.size() - 1));
}

auto engine_dispatch::choose_short(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t border) const -> std::optional<dispatch_choice>
{
    const auto rank = [&](const dispatch_candidate& engine) {
        return std::tuple(engine.load.reading / 25ms, in_hand(engine), is_far(call, engine),
                          stable_hash(engine.id));
    };
    const dispatch_candidate* best = nullptr;
    const auto consider = [&](std::span<const dispatch_candidate> engines) {
        for (const dispatch_candidate& engine : engines) {
            const bool usable = has_slot(engine) && fits(engine, memory_need(call));
            if (usable && (best == nullptr || rank(engine) < rank(*best))) {
                best = &engine;
            }
        }
    };
    consider(ordered.first(border));
    const bool inside = best != nullptr;
    if (!inside) {
        consider(ordered.subspan(border));
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    dispatch_choice choice;
    choice.upstream = best->id;
    choice.reading = forecast_.read_alone(call.prompt_tokens);
    choice.first_token =
        best->load.reading + choice.reading + forecast_.pass(in_hand(*best), call.prompt_tokens);
    choice.memory_tokens = memory_need(call);
    choice.reason = inside ? "short side" : "short side full";
    return choice;
}

auto engine_dispatch::choose_long(const call_shape& call, std::span<const dispatch_candidate> side) const
    -> std::optional<dispatch_choice>
{
    std::vector<const dispatch_candidate*> readers;
    for (const dispatch_candidate& engine : side) {
        if (!engine.suspect && engine.load.parts < engine.slots) {
            readers.push_back(&engine);
        }
    }
    std::stable_sort(readers.begin(), readers.end(),
                     [](const auto* a, const auto* b) { return a->load.reading < b->load.reading; });
    const std::int64_t need = memory_need(call);
    const auto first = std::find_if(readers.begin(), readers.end(), [&](const dispatch_candidate* engine) {
        return has_slot(*engine) && fits(*engine, need);
    });
    if (first == readers.end()) {
        return std::nullopt;
    }
    std::rotate(readers.begin(), first, first + 1);
    dispatch_choice choice;
    choice.upstream = readers.front()->id;
    choice.is_long = true;
    choice.memory_tokens = need;
    choice.first_token = duration::max();
    const std::size_t most = std::min(readers.size(), max_readers);
    duration backlog{};
    std::size_t parts = 1;
    for (std::size_t count = 1; count <= most; ++count) {
        backlog = std::max(backlog, readers[count - 1]->load.reading);
        const duration part = forecast_.read_part(call.prompt_tokens, static_cast<int>(count));
        if (backlog + part < choice.first_token) {
            choice.first_token = backlog + part;
            choice.reading = part;
            parts = count;
        }
    }
    for (std::size_t i = 1; i < parts; ++i) {
        choice.helpers.push_back(readers[i]->id);
    }
    const bool on_time = choice.first_token <= call.time_to_aim;
    const duration bound = on_time ? max_backlog : max_backlog_when_late;
    if (choice.first_token - choice.reading > bound) {
        return std::nullopt;
    }
    choice.reason = on_time ? "parts behind the border" : "late, parts behind the border";
    return choice;
}

auto engine_dispatch::memory_need(const call_shape& call) const -> std::int64_t
{
    return call.prompt_tokens + call.answer_tokens;
}

auto engine_dispatch::fits(const dispatch_candidate& engine, std::int64_t tokens) const -> bool
{
    const std::int64_t whole = forecast_.figures().memory_tokens;
    return whole <= 0 || engine.load.memory_tokens + tokens <= whole;
}

void sort_for_border(std::vector<dispatch_candidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const dispatch_candidate& a, const dispatch_candidate& b) {
                  return std::pair(stable_hash(a.id), a.id) < std::pair(stable_hash(b.id), b.id);
              });
}

} // namespace dragonflymill::direct
