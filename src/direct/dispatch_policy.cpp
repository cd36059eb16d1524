#include "dragonflymill/direct/dispatch_policy.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace dragonflymill::direct {

namespace {

/// Backlogs that differ by less count as equal, so that the order of engines decides.
constexpr duration backlog_step = 30ms;
/// Reading on an engine that writes holds its streams up: worth this much backlog on one that doesn't.
constexpr duration writer_penalty = 60ms;
/// Prompts that an engine has to read for itself at once: each holds up what it writes by its length.
constexpr int max_unread = 2;
/// Engines that hold one prompt at most; the largest prompt needs three, and each holder slows its own
/// writers.
constexpr std::size_t max_holders = 8;

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
                          stable_hash(upstream.id, call.spread));
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
    choice.load = best->load;
    choice.reason = "least work in hand";
    return choice;
}

engine_dispatch::engine_dispatch(const engine_figures& figures, duration tightest_pause)
    : forecast_(figures)
    , tightest_pause_(tightest_pause)
{
}

auto engine_dispatch::is_long(std::int64_t prompt_tokens) const -> bool
{
    return tightest_pause_ > duration::zero() && forecast_.read_alone(prompt_tokens) > tightest_pause_ / 2;
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

auto engine_dispatch::is_tight(const call_shape& call) const -> bool
{
    return call.pause_aim > duration::zero() && call.pause_aim <= tightest_pause_;
}

auto engine_dispatch::choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
    -> std::optional<dispatch_choice>
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t border = short_side(candidates);
    if (is_tight(call) || !is_long(call.prompt_tokens)) {
        return choose_short(call, candidates, border);
    }
    return choose_long(call, candidates, border);
}

auto engine_dispatch::choose_short(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t border) const -> std::optional<dispatch_choice>
{
    const auto rank = [&](const dispatch_candidate& engine) {
        return std::tuple(engine.load.reading / 25ms, in_hand(engine) / 2, is_far(call, engine),
                          stable_hash(engine.id, call.spread));
    };
    const dispatch_candidate* best = nullptr;
    const auto consider = [&](std::span<const dispatch_candidate> engines) {
        for (const dispatch_candidate& engine : engines) {
            const bool usable = has_slot(engine) && free_memory(engine) >= memory_need(call);
            if (usable && (best == nullptr || rank(engine) < rank(*best))) {
                best = &engine;
            }
        }
    };
    consider(ordered.first(border));
    const bool inside = best != nullptr && best->load.reading <= max_backlog;
    if (!inside) {
        consider(ordered.subspan(border));
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    dispatch_choice choice;
    choice.upstream = best->id;
    choice.load = best->load;
    choice.reading = forecast_.read_alone(call.prompt_tokens);
    choice.first_token = best->load.reading + choice.reading;
    choice.memory_tokens = memory_need(call);
    if (is_long(call.prompt_tokens)) {
        add_readers(call, ordered, choice);
    }
    choice.first_token += forecast_.pass(in_hand(*best), call.prompt_tokens);
    choice.reason = inside ? "short side" : "short side full";
    return choice;
}

auto engine_dispatch::choose_long(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                  std::size_t border) const -> std::optional<dispatch_choice>
{
    const std::size_t first = std::min(border, ordered.size() - 1);
    const auto writer = choose_writer(ordered.subspan(first), memory_need(call));
    if (!writer) {
        return std::nullopt;
    }
    dispatch_choice choice;
    choice.upstream = writer->engine->id;
    choice.load = writer->engine->load;
    choice.is_long = true;
    choice.memory_tokens = writer->tokens;
    choice.helpers = writer->holders;
    add_readers(call, ordered, choice);
    const bool on_time = choice.first_token <= call.time_to_aim;
    const duration backlog = choice.first_token - choice.reading;
    if (backlog > (on_time ? max_backlog : max_backlog_when_late)) {
        return std::nullopt;
    }
    choice.reason = on_time ? "parts behind the border" : "late, parts behind the border";
    return choice;
}

auto engine_dispatch::may_hold_up(const dispatch_candidate& engine) const -> duration
{
    if (engine.load.tightest_pause <= duration::zero()) {
        return duration::max();
    }
    const duration spare = engine.load.tightest_pause - forecast_.pass(in_hand(engine), 0);
    return duration(static_cast<duration::rep>(static_cast<double>(spare.count()) * hold_share));
}

auto engine_dispatch::choose_writer(std::span<const dispatch_candidate> side, std::int64_t tokens) const
    -> std::optional<writer_choice>
{
    const auto may_write = [&](const dispatch_candidate& engine, std::int64_t needed) {
        return has_slot(engine) && free_memory(engine) >= needed && engine.load.unread_calls < max_unread;
    };
    // The first that fits from the far end: long answers are written by as few engines as can hold them. One
    // that reads for others would read for them first, so it is taken only if there is no other.
    const dispatch_candidate* helping = nullptr;
    for (auto engine = side.rbegin(); engine != side.rend(); ++engine) {
        if (!may_write(*engine, tokens)) {
            continue;
        }
        if (engine->load.parts == 0) {
            return writer_choice{&*engine, tokens, {}};
        }
        if (helping == nullptr || engine->load.reading < helping->load.reading) {
            helping = &*engine;
        }
    }
    if (helping != nullptr) {
        return writer_choice{helping, tokens, {}};
    }
    std::vector<const dispatch_candidate*> roomy;
    for (auto engine = side.rbegin(); engine != side.rend(); ++engine) {
        if (!engine->suspect) {
            roomy.push_back(&*engine);
        }
    }
    std::stable_sort(roomy.begin(), roomy.end(),
                     [this](const auto* a, const auto* b) { return free_memory(*a) > free_memory(*b); });
    const std::size_t most = std::min(roomy.size(), max_holders);
    for (std::size_t count = 2; count <= most; ++count) {
        const std::int64_t share = tokens / static_cast<std::int64_t>(count) + 1;
        const auto writer = std::find_if(roomy.begin(), roomy.begin() + static_cast<std::ptrdiff_t>(count),
                                         [&](const auto* engine) { return may_write(*engine, share); });
        if (free_memory(*roomy[count - 1]) < share ||
            writer == roomy.begin() + static_cast<std::ptrdiff_t>(count)) {
            continue;
        }
        writer_choice gang{*writer, share, {}};
        for (std::size_t i = 0; i < count; ++i) {
            if (roomy[i] != gang.engine) {
                gang.holders.push_back({roomy[i]->id, share});
            }
        }
        return gang;
    }
    return std::nullopt;
}

auto engine_dispatch::able_readers(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                   const dispatch_choice& choice) const
    -> std::vector<const dispatch_candidate*>
{
    std::vector<const dispatch_candidate*> able;
    for (const dispatch_candidate& engine : ordered) {
        const auto holds = [&](const helper_share& share) { return share.upstream == engine.id; };
        const bool chosen =
            engine.id == choice.upstream || std::any_of(choice.helpers.begin(), choice.helpers.end(), holds);
        // An engine reads parts for others ahead of its own prompts: one that helped on and on would never
        // come to its own, so those with an unread prompt are not asked to help.
        const bool free =
            !engine.suspect && engine.load.parts < engine.slots && engine.load.unread_calls == 0;
        if (free && !chosen) {
            able.push_back(&engine);
        }
    }
    const auto rank = [&](const dispatch_candidate* engine) {
        const duration disturbed = in_hand(*engine) > 0 ? writer_penalty : duration::zero();
        return std::pair((engine->load.reading + disturbed) / backlog_step,
                         stable_hash(engine->id, call.spread));
    };
    std::stable_sort(able.begin(), able.end(),
                     [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    return able;
}

void engine_dispatch::add_readers(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                  dispatch_choice& choice) const
{
    const std::vector<helper_share> holders = choice.helpers;
    const auto able = able_readers(call, ordered, choice);
    duration backlog = choice.load.reading;
    for (const dispatch_candidate& engine : ordered) {
        const auto holds = [&](const helper_share& share) { return share.upstream == engine.id; };
        if (std::any_of(holders.begin(), holders.end(), holds)) {
            backlog = std::max(backlog, engine.load.reading);
        }
    }
    const std::size_t fixed = holders.size() + 1;
    const auto share = static_cast<std::size_t>(static_cast<double>(ordered.size()) * reader_share);
    const std::size_t most = std::max(fixed, std::min(max_readers, share));
    const std::size_t wanted = std::clamp(parts_for(call.prompt_tokens), fixed, most);
    const bool late = forecast_.read_part(call.prompt_tokens, static_cast<int>(most)) > call.time_to_aim;
    const auto stays =
        duration(static_cast<duration::rep>(static_cast<double>(call.time_to_leave.count()) * late_share));
    choice.reading = forecast_.read_part(call.prompt_tokens, static_cast<int>(fixed));
    choice.first_token = backlog + choice.reading;
    // More parts than wanted only where no fewer ones are short enough for what the engines write.
    for (std::size_t count = fixed + 1; count <= most; ++count) {
        const bool found = choice.helpers.size() > holders.size();
        if ((count > wanted && found) || (late && choice.first_token <= stays)) {
            break;
        }
        const duration part = forecast_.read_part(call.prompt_tokens, static_cast<int>(count));
        std::vector<helper_share> helpers = holders;
        duration longest = backlog;
        for (const dispatch_candidate* engine : able) {
            if (helpers.size() + 1 < count && engine->load.reading + part <= may_hold_up(*engine)) {
                helpers.push_back({engine->id, 0});
                longest = std::max(longest, engine->load.reading);
            }
        }
        if (helpers.size() + 1 == count && longest + part < choice.first_token) {
            choice.first_token = longest + part;
            choice.reading = part;
            choice.helpers = std::move(helpers);
        }
    }
}

auto engine_dispatch::parts_for(std::int64_t prompt_tokens) const -> std::size_t
{
    const double part = part_share * static_cast<double>(tightest_pause_.count());
    const double whole = static_cast<double>(forecast_.read_alone(prompt_tokens).count());
    return static_cast<std::size_t>(std::max(1.0, std::ceil(whole / std::max(part, 1.0))));
}

auto engine_dispatch::memory_need(const call_shape& call) const -> std::int64_t
{
    return call.prompt_tokens + call.answer_tokens;
}

auto engine_dispatch::free_memory(const dispatch_candidate& engine) const -> std::int64_t
{
    const std::int64_t whole = forecast_.figures().memory_tokens;
    if (whole <= 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return static_cast<std::int64_t>(static_cast<double>(whole) * memory_fill) - engine.load.memory_tokens;
}

void sort_for_border(std::vector<dispatch_candidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const dispatch_candidate& a, const dispatch_candidate& b) {
                  return std::pair(stable_hash(a.id), a.id) < std::pair(stable_hash(b.id), b.id);
              });
}

} // namespace dragonflymill::direct
