#include "dragonflymill/direct/prefill_plan.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
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
/// Engines that are tried as a call's writer: the first that fit from the far end.
constexpr std::size_t max_writers = 4;
/// A plan with another writer, or another number of readers than wanted, has to be better by this share of
/// the call's worth: long answers stay at few engines, and parts keep their length.
constexpr double writer_margin = 0.05;
constexpr double readers_margin = 0.02;
/// Numbers of readers that are tried; between them a part's length changes by less than a fifth.
constexpr std::array<std::size_t, 11> reader_counts{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16};

auto ramp(double value, double begins, double full) -> double
{
    return std::clamp((value - begins) / (full - begins), 0.0, 1.0);
}

auto ratio(duration value, duration whole) -> double
{
    return static_cast<double>(value.count()) /
           static_cast<double>(std::max<duration::rep>(whole.count(), 1));
}

} // namespace

prefill_planner::prefill_planner(const engine_forecast& forecast, duration wanted_part,
                                 const call_shape& call, std::span<const dispatch_candidate> ordered)
    : forecast_(forecast)
    , wanted_part_(wanted_part)
    , call_(call)
    , ordered_(ordered)
{
}

auto prefill_planner::best(std::span<const dispatch_candidate> side) const -> std::optional<prefill_plan>
{
    std::vector<writer_choice> found = writers(side);
    if (found.empty()) {
        found = writers(ordered_);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const std::vector<readers_option> options = readers_options();
    std::optional<plan_choice> chosen;
    const double margin = writer_margin * worth();
    const auto better = [&](const prefill_plan& plan, const prefill_plan& than) {
        return plan.benefit - plan.cost > than.benefit - than.cost + margin;
    };
    for (const writer_choice& writer : found) {
        plan_choice plans = plan_for(writer, options);
        if (!chosen) {
            chosen = std::move(plans);
            continue;
        }
        if (better(plans.best, chosen->best)) {
            chosen->best = std::move(plans.best);
        }
        if (plans.now && (!chosen->now || better(*plans.now, *chosen->now))) {
            chosen->now = std::move(plans.now);
        }
    }
    return chosen_of(std::move(*chosen));
}

auto prefill_planner::best_for(const dispatch_candidate& writer) const -> prefill_plan
{
    return plan_for({&writer, memory_need(call_), {}}, readers_options()).best;
}

auto prefill_planner::acceptable(const prefill_plan& plan) const -> bool
{
    const duration first = plan.first_token();
    const bool on_time = first <= call_.time_to_aim;
    const duration stays = scaled(call_.time_to_leave, stay_share);
    const duration left = (on_time ? call_.time_to_aim : stays) - first;
    const duration whole = on_time ? std::max(call_.aim, call_.time_to_aim) : stays;
    const double patience = std::clamp(ratio(left, whole), 0.0, 1.0);
    return plan.cost <= plan.benefit * (1.0 - patience);
}

auto prefill_planner::obstacle_to(const prefill_plan& plan) const -> wait_reason
{
    const bool on_time = plan.first_token() <= call_.time_to_aim;
    // Engines are busy for moments, but a late reading by the few that are free keeps them for seconds.
    if (!on_time && fastest() <= call_.time_to_aim) {
        return wait_reason::few_readers;
    }
    if (plan.backlog > (on_time ? max_backlog : max_backlog_when_late)) {
        return wait_reason::backlog;
    }
    return acceptable(plan) ? wait_reason::none : wait_reason::cost;
}

auto prefill_planner::chosen_of(plan_choice found) const -> prefill_plan
{
    if (!found.now) {
        return std::move(found.best);
    }
    const double used = 1.0 - ratio(std::max(call_.time_to_aim, duration::zero()), call_.aim);
    const double longer = 1.0 + std::max(used, 0.0) * longer_by_wait;
    const bool sooner = found.now->first_token() <= scaled(found.best.first_token(), longer);
    return sooner ? std::move(*found.now) : std::move(found.best);
}

auto prefill_planner::fastest() const -> duration
{
    return forecast_.read_part(call_.prompt_tokens, static_cast<int>(most_readers()));
}

auto prefill_planner::writers(std::span<const dispatch_candidate> side) const -> std::vector<writer_choice>
{
    const std::int64_t tokens = memory_need(call_);
    std::vector<writer_choice> found;
    const dispatch_candidate* helping = nullptr;
    for (auto engine = side.rbegin(); engine != side.rend() && found.size() < max_writers; ++engine) {
        if (!may_write(*engine, tokens)) {
            continue;
        }
        if (engine->load.parts == 0) {
            found.push_back({&*engine, tokens, {}});
        }
        else if (helping == nullptr || engine->load.pending_prefill < helping->load.pending_prefill) {
            helping = &*engine;
        }
    }
    // One that reads for others would read for them first, so it is taken only if there is no other.
    if (found.empty() && helping != nullptr) {
        found.push_back({helping, tokens, {}});
    }
    if (found.empty()) {
        if (auto gang = memory_gang(side)) {
            found.push_back(std::move(*gang));
        }
    }
    return found;
}

auto prefill_planner::memory_gang(std::span<const dispatch_candidate> side) const
    -> std::optional<writer_choice>
{
    const auto room = [this](const dispatch_candidate* engine) {
        return free_memory(forecast_.figures(), *engine);
    };
    std::vector<const dispatch_candidate*> roomy;
    for (auto engine = side.rbegin(); engine != side.rend(); ++engine) {
        if (!engine->suspect) {
            roomy.push_back(&*engine);
        }
    }
    std::stable_sort(roomy.begin(), roomy.end(),
                     [&](const auto* a, const auto* b) { return room(a) > room(b); });
    const std::size_t most = std::min(roomy.size(), max_holders);
    for (std::size_t count = 2; count <= most; ++count) {
        const std::int64_t share = memory_need(call_) / static_cast<std::int64_t>(count) + 1;
        const auto end = roomy.begin() + static_cast<std::ptrdiff_t>(count);
        const auto writer =
            std::find_if(roomy.begin(), end, [&](const auto* engine) { return may_write(*engine, share); });
        if (room(roomy[count - 1]) < share || writer == end) {
            continue;
        }
        writer_choice gang{*writer, share, {}};
        for (auto engine = roomy.begin(); engine != end; ++engine) {
            if (engine != writer) {
                gang.holders.push_back({(*engine)->id, share});
            }
        }
        return gang;
    }
    return std::nullopt;
}

auto prefill_planner::may_write(const dispatch_candidate& engine, std::int64_t tokens) const -> bool
{
    return has_slot(engine) && free_memory(forecast_.figures(), engine) >= tokens &&
           engine.load.unread_calls < max_unread;
}

auto prefill_planner::plan_for(const writer_choice& writer, const std::vector<readers_option>& options) const
    -> plan_choice
{
    const std::size_t fixed = writer.holders.size() + 1;
    const auto wanted = static_cast<double>(std::max(fixed, wanted_readers()));
    const auto value_of = [&](const prefill_plan& plan) {
        const auto readers = static_cast<double>(plan.helpers.size() + 1);
        return plan.benefit - plan.cost - std::abs(std::log2(readers / wanted)) * readers_margin * worth();
    };
    plan_choice chosen{plan_alone(writer), std::nullopt};
    const auto note_begins = [&](const prefill_plan& plan) {
        const bool better = !chosen.now || value_of(plan) > value_of(*chosen.now);
        if (better && obstacle_to(plan) == wait_reason::none) {
            chosen.now = plan;
        }
    };
    note_begins(chosen.best);
    for (const readers_option& option : options) {
        if (option.readers <= fixed) {
            continue;
        }
        if (auto plan = plan_with(writer, option)) {
            note_begins(*plan);
            if (value_of(*plan) > value_of(chosen.best)) {
                chosen.best = std::move(*plan);
            }
        }
    }
    return chosen;
}

auto prefill_planner::plan_alone(const writer_choice& writer) const -> prefill_plan
{
    const std::size_t readers = writer.holders.size() + 1;
    prefill_plan plan =
        begin_plan(writer, forecast_.read_part(call_.prompt_tokens, static_cast<int>(readers)));
    plan.benefit = benefit_of(plan.first_token());
    return plan;
}

auto prefill_planner::plan_with(const writer_choice& writer, const readers_option& option) const
    -> std::optional<prefill_plan>
{
    prefill_plan plan = begin_plan(writer, option.part);
    for (const ranked_reader& reader : option.able) {
        if (plan.helpers.size() + 1 == option.readers) {
            break;
        }
        if (is_chosen(writer, *reader.engine)) {
            continue;
        }
        plan.helpers.push_back({reader.engine->id, 0});
        plan.backlog = std::max(plan.backlog, reader.engine->load.pending_prefill);
        plan.cost += reader.cost;
    }
    if (plan.helpers.size() + 1 != option.readers) {
        return std::nullopt;
    }
    plan.benefit = benefit_of(plan.first_token());
    return plan;
}

auto prefill_planner::begin_plan(const writer_choice& writer, duration part) const -> prefill_plan
{
    prefill_plan plan;
    plan.writer = writer.engine;
    plan.writer_tokens = writer.tokens;
    plan.helpers = writer.holders;
    plan.part = part;
    plan.backlog = writer.engine->load.pending_prefill;
    plan.cost = cost_at(able_of(*writer.engine), part);
    for (const helper_share& holder : writer.holders) {
        const dispatch_candidate& engine = find(holder.upstream);
        plan.backlog = std::max(plan.backlog, engine.load.pending_prefill);
        plan.cost += cost_at(able_of(engine), part);
    }
    return plan;
}

auto prefill_planner::is_chosen(const writer_choice& writer, const dispatch_candidate& engine) -> bool
{
    const auto holds = [&](const helper_share& share) { return share.upstream == engine.id; };
    return engine.id == writer.engine->id || std::any_of(writer.holders.begin(), writer.holders.end(), holds);
}

auto prefill_planner::readers_options() const -> std::vector<readers_option>
{
    const std::vector<able_reader> able = able_readers();
    std::vector<readers_option> options;
    for (const std::size_t readers : reader_counts) {
        if (readers <= most_readers()) {
            const duration part = forecast_.read_part(call_.prompt_tokens, static_cast<int>(readers));
            options.push_back({readers, part, ranked(able, part)});
        }
    }
    return options;
}

auto prefill_planner::able_readers() const -> std::vector<able_reader>
{
    std::vector<able_reader> able;
    able.reserve(ordered_.size());
    for (const dispatch_candidate& engine : ordered_) {
        // An engine reads parts for others ahead of its own prompts: one that helped on and on would never
        // come to its own, so those with an unread prompt are not asked to help.
        if (!engine.suspect && engine.load.parts < engine.slots && engine.load.unread_calls == 0) {
            able.push_back(able_of(engine));
        }
    }
    return able;
}

auto prefill_planner::able_of(const dispatch_candidate& engine) const -> able_reader
{
    const duration disturbed = in_flight(engine) > 0 ? writer_penalty : duration::zero();
    able_reader reader;
    reader.engine = &engine;
    reader.backlog_steps = (engine.load.pending_prefill + disturbed) / backlog_step;
    reader.spread = mix_bits(engine.place ^ call_.spread);
    if (engine.load.tightest_tbt_target > duration::zero()) {
        const int writers = std::max(in_flight(engine), 1);
        const double streams = writers + static_cast<double>(engine.load.memory_tokens) / tokens_per_worth;
        reader.before =
            engine.load.pending_prefill + forecast_.pass(writers, engine.load.memory_tokens / writers);
        reader.streams_cost = streams * (1.0 - late_worth);
    }
    return reader;
}

auto prefill_planner::ranked(const std::vector<able_reader>& able, duration part)
    -> std::vector<ranked_reader>
{
    std::vector<ranked_reader> found;
    found.reserve(able.size());
    for (const able_reader& reader : able) {
        found.push_back({reader.engine, cost_at(reader, part), reader.backlog_steps, reader.spread});
    }
    // No plan uses more than the first ones: its readers, and the engines that it passes over because they
    // hold a part of its memory already.
    const std::size_t used = std::min(found.size(), max_readers + max_holders + 1);
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(used), found.end(),
                      [](const ranked_reader& a, const ranked_reader& b) {
                          return std::tuple(a.cost, a.backlog_steps, a.spread) <
                                 std::tuple(b.cost, b.backlog_steps, b.spread);
                      });
    found.resize(used);
    return found;
}

auto prefill_planner::cost_at(const able_reader& reader, duration part) -> double
{
    if (reader.streams_cost == 0.0) {
        return 0.0;
    }
    const double pause = ratio(reader.before + part, reader.engine->load.tightest_tbt_target);
    return reader.streams_cost * ramp(pause, cost_begins, cost_full);
}

auto prefill_planner::benefit_of(duration first_token) const -> double
{
    if (first_token > scaled(call_.time_to_leave, stay_share)) {
        return 0.0;
    }
    const double late = call_.time_to_aim <= duration::zero()
                            ? 1.0
                            : ramp(ratio(first_token, call_.time_to_aim), late_begins, late_full);
    return worth() * (1.0 - (1.0 - late_worth) * late);
}

auto prefill_planner::worth() const -> double
{
    return 1.0 + static_cast<double>(call_.prompt_tokens) / tokens_per_worth;
}

auto prefill_planner::wanted_readers() const -> std::size_t
{
    const duration whole = forecast_.read_alone(call_.prompt_tokens);
    const bool late = fastest() > call_.time_to_aim;
    // Late is late: a call that can't begin in time gets only as many engines as let it begin while its
    // caller stays, and the others make no other call late.
    const duration part = late ? scaled(call_.time_to_leave, stay_share) : wanted_part_;
    const double parts = std::ceil(ratio(whole, part));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(parts, 1.0)), 1, most_readers());
}

auto prefill_planner::most_readers() const -> std::size_t
{
    const auto share = static_cast<std::size_t>(static_cast<double>(ordered_.size()) * reader_share);
    return std::clamp<std::size_t>(share, 1, max_readers);
}

auto prefill_planner::find(const std::string& id) const -> const dispatch_candidate&
{
    return *std::find_if(ordered_.begin(), ordered_.end(),
                         [&](const dispatch_candidate& engine) { return engine.id == id; });
}

} // namespace dragonflymill::direct
