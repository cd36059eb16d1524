#include "dragonflymill/direct/prefill_plan.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <tuple>

namespace dragonflymill::direct {

namespace {

/// Backlogs are compared in steps of this length; within a step the order of engines decides.
constexpr duration backlog_step = 30ms;
/// Prefill on an engine with active streams delays them; ranked as this much additional backlog.
constexpr duration decode_penalty = 60ms;
/// Maximum number of an engine's own prompts that are not yet prefilled: each delays the engine's streams by
/// its whole prefill time.
constexpr int max_pending_prefills = 2;
/// Maximum number of engines that share one prompt's KV cache; the largest prompt needs three, and each such
/// engine delays the streams that it decodes.
constexpr std::size_t max_memory_engines = 8;
/// Engines that are considered as decode engine of a call: the first that fit, from the end of the order.
constexpr std::size_t max_decode_candidates = 4;
/// A plan with another decode engine, or with another number of engines than the target, must be better by
/// this share of the call's utility. This keeps long answers on few engines and the parts' length constant.
constexpr double decode_engine_margin = 0.05;
constexpr double engine_count_margin = 0.02;
/// Engine counts that are considered; counts in between would change a part's time by less than a fifth.
constexpr std::array<std::size_t, 11> engine_counts{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16};

/// Rises linearly from 0 at `begins` to 1 at `full`.
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

prefill_planner::prefill_planner(const engine_forecast& forecast, duration target_part_time,
                                 const call_requirements& call, std::span<const dispatch_candidate> ordered)
    : forecast_(forecast)
    , target_part_time_(target_part_time)
    , call_(call)
    , ordered_(ordered)
{
}

auto prefill_planner::best(std::span<const dispatch_candidate> side) const -> std::optional<prefill_plan>
{
    std::vector<decode_choice> found = decode_choices(side);
    if (found.empty()) {
        found = decode_choices(ordered_);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const std::vector<prefill_option> options = prefill_options();
    std::optional<plan_choice> chosen;
    const double margin = decode_engine_margin * call_utility();
    const auto better = [&](const prefill_plan& plan, const prefill_plan& than) {
        return plan.utility - plan.cost > than.utility - than.cost + margin;
    };
    for (const decode_choice& decode : found) {
        plan_choice plans = plan_for(decode, options);
        if (!chosen) {
            chosen = std::move(plans);
            continue;
        }
        if (better(plans.best, chosen->best)) {
            chosen->best = std::move(plans.best);
        }
        if (plans.immediate && (!chosen->immediate || better(*plans.immediate, *chosen->immediate))) {
            chosen->immediate = std::move(plans.immediate);
        }
    }
    return choose_plan(std::move(*chosen));
}

auto prefill_planner::best_for(const dispatch_candidate& decode_engine) const -> prefill_plan
{
    return plan_for({&decode_engine, required_memory(call_), {}}, prefill_options()).best;
}

auto prefill_planner::acceptable(const prefill_plan& plan) const -> bool
{
    const duration first = plan.first_token();
    const bool on_time = first <= call_.time_to_target;
    const duration latest = scaled(call_.time_to_client_timeout, client_timeout_share);
    const duration left = (on_time ? call_.time_to_target : latest) - first;
    const duration whole = on_time ? std::max(call_.latency_target, call_.time_to_target) : latest;
    const double share_left = std::clamp(ratio(left, whole), 0.0, 1.0);
    return plan.cost <= plan.utility * (1.0 - share_left);
}

auto prefill_planner::reason_to_wait(const prefill_plan& plan) const -> wait_reason
{
    const bool on_time = plan.first_token() <= call_.time_to_target;
    // Waiting frees engines within moments, while a late prefill on the few free ones occupies them for
    // seconds.
    if (!on_time && fastest_prefill_time() <= call_.time_to_target) {
        return wait_reason::few_prefill_engines;
    }
    if (plan.backlog > (on_time ? max_backlog : max_backlog_when_late)) {
        return wait_reason::backlog;
    }
    return acceptable(plan) ? wait_reason::none : wait_reason::cost;
}

auto prefill_planner::choose_plan(plan_choice found) const -> prefill_plan
{
    if (!found.immediate) {
        return std::move(found.best);
    }
    const double used = 1.0 - ratio(std::max(call_.time_to_target, duration::zero()), call_.latency_target);
    const double longer = 1.0 + std::max(used, 0.0) * slowdown_per_waited_share;
    const bool sooner = found.immediate->first_token() <= scaled(found.best.first_token(), longer);
    return sooner ? std::move(*found.immediate) : std::move(found.best);
}

auto prefill_planner::fastest_prefill_time() const -> duration
{
    return forecast_.split_prefill_time(call_.prompt_tokens, static_cast<int>(max_engine_count()));
}

auto prefill_planner::decode_choices(std::span<const dispatch_candidate> side) const
    -> std::vector<decode_choice>
{
    const std::int64_t tokens = required_memory(call_);
    std::vector<decode_choice> found;
    const dispatch_candidate* shared = nullptr;
    const dispatch_candidate* slow = nullptr;
    for (auto engine = side.rbegin(); engine != side.rend() && found.size() < max_decode_candidates;
         ++engine) {
        if (!can_decode(*engine, tokens)) {
            continue;
        }
        if (is_slow(*engine)) {
            slow = slow == nullptr || engine->slowdown < slow->slowdown ? &*engine : slow;
            continue;
        }
        if (engine->load.parts == 0) {
            found.push_back({&*engine, tokens, {}});
        }
        else if (shared == nullptr || engine->load.pending_prefill < shared->load.pending_prefill) {
            shared = &*engine;
        }
    }
    // An engine with prefill parts of other calls runs those first and is used only if there is no other.
    if (found.empty() && shared != nullptr) {
        found.push_back({shared, tokens, {}});
    }
    if (found.empty()) {
        if (auto gang = memory_gang(side)) {
            found.push_back(std::move(*gang));
        }
    }
    if (found.empty() && slow != nullptr) {
        found.push_back({slow, tokens, {}});
    }
    return found;
}

auto prefill_planner::memory_gang(std::span<const dispatch_candidate> side) const
    -> std::optional<decode_choice>
{
    const auto capacity = [this](const dispatch_candidate* engine) {
        return free_memory(forecast_.profile(), *engine);
    };
    std::vector<const dispatch_candidate*> by_capacity;
    for (auto engine = side.rbegin(); engine != side.rend(); ++engine) {
        if (!engine->suspect && !engine->rate_limited && !is_slow(*engine)) {
            by_capacity.push_back(&*engine);
        }
    }
    std::stable_sort(by_capacity.begin(), by_capacity.end(),
                     [&](const auto* a, const auto* b) { return capacity(a) > capacity(b); });
    const std::size_t max_count = std::min(by_capacity.size(), max_memory_engines);
    for (std::size_t count = 2; count <= max_count; ++count) {
        const std::int64_t share = required_memory(call_) / static_cast<std::int64_t>(count) + 1;
        const auto end = by_capacity.begin() + static_cast<std::ptrdiff_t>(count);
        const auto decode = std::find_if(by_capacity.begin(), end,
                                         [&](const auto* engine) { return can_decode(*engine, share); });
        if (capacity(by_capacity[count - 1]) < share || decode == end) {
            continue;
        }
        decode_choice gang{*decode, share, {}};
        for (auto engine = by_capacity.begin(); engine != end; ++engine) {
            if (engine != decode) {
                gang.reserved_shares.push_back({(*engine)->id, share});
            }
        }
        return gang;
    }
    return std::nullopt;
}

auto prefill_planner::can_decode(const dispatch_candidate& engine, std::int64_t tokens) const -> bool
{
    return has_slot(engine) && free_memory(forecast_.profile(), engine) >= tokens &&
           engine.load.unread_calls < max_pending_prefills;
}

auto prefill_planner::plan_for(const decode_choice& decode, const std::vector<prefill_option>& options) const
    -> plan_choice
{
    const std::size_t min_engines = decode.reserved_shares.size() + 1;
    const auto target = static_cast<double>(std::max(min_engines, target_engine_count()));
    const auto score_of = [&](const prefill_plan& plan) {
        const auto engines = static_cast<double>(plan.prefill_engines.size() + 1);
        return plan.utility - plan.cost -
               std::abs(std::log2(engines / target)) * engine_count_margin * call_utility();
    };
    plan_choice chosen{smallest_plan(decode), std::nullopt};
    const auto consider_immediate = [&](const prefill_plan& plan) {
        const bool better = !chosen.immediate || score_of(plan) > score_of(*chosen.immediate);
        if (better && reason_to_wait(plan) == wait_reason::none) {
            chosen.immediate = plan;
        }
    };
    consider_immediate(chosen.best);
    for (const prefill_option& option : options) {
        if (option.engines <= min_engines) {
            continue;
        }
        if (auto plan = plan_with(decode, option)) {
            consider_immediate(*plan);
            if (score_of(*plan) > score_of(chosen.best)) {
                chosen.best = std::move(*plan);
            }
        }
    }
    return chosen;
}

auto prefill_planner::smallest_plan(const decode_choice& decode) const -> prefill_plan
{
    const std::size_t engines = decode.reserved_shares.size() + 1;
    prefill_plan plan =
        base_plan(decode, forecast_.split_prefill_time(call_.prompt_tokens, static_cast<int>(engines)));
    plan.utility = utility_of(plan.first_token());
    return plan;
}

auto prefill_planner::plan_with(const decode_choice& decode, const prefill_option& option) const
    -> std::optional<prefill_plan>
{
    prefill_plan plan = base_plan(decode, option.part_time);
    for (const ranked_candidate& candidate : option.candidates) {
        if (plan.prefill_engines.size() + 1 == option.engines) {
            break;
        }
        if (is_chosen(decode, *candidate.engine)) {
            continue;
        }
        plan.prefill_engines.push_back({candidate.engine->id, 0});
        add_engine(plan, *candidate.engine);
        plan.cost += candidate.cost;
    }
    if (plan.prefill_engines.size() + 1 != option.engines) {
        return std::nullopt;
    }
    plan.utility = utility_of(plan.first_token());
    return plan;
}

auto prefill_planner::base_plan(const decode_choice& decode, duration part_time) const -> prefill_plan
{
    prefill_plan plan;
    plan.decode_engine = decode.engine;
    plan.decode_memory_tokens = decode.tokens;
    plan.prefill_engines = decode.reserved_shares;
    plan.part_time = part_time;
    add_engine(plan, *decode.engine);
    plan.cost = cost_at(to_prefill_candidate(*decode.engine), part_time);
    for (const prefill_share& share : decode.reserved_shares) {
        const dispatch_candidate& engine = find(share.upstream);
        add_engine(plan, engine);
        plan.cost += cost_at(to_prefill_candidate(engine), part_time);
    }
    return plan;
}

void prefill_planner::add_engine(prefill_plan& plan, const dispatch_candidate& engine)
{
    plan.backlog = std::max(plan.backlog, engine.load.pending_prefill);
    plan.slowdown = std::max(plan.slowdown, engine.slowdown);
}

auto prefill_planner::is_chosen(const decode_choice& decode, const dispatch_candidate& engine) -> bool
{
    const auto is_share_of = [&](const prefill_share& share) { return share.upstream == engine.id; };
    return engine.id == decode.engine->id ||
           std::any_of(decode.reserved_shares.begin(), decode.reserved_shares.end(), is_share_of);
}

auto prefill_planner::prefill_options() const -> std::vector<prefill_option>
{
    const std::vector<prefill_candidate> candidates = prefill_candidates();
    std::vector<prefill_option> options;
    for (const std::size_t engines : engine_counts) {
        if (engines <= max_engine_count()) {
            const duration part_time =
                forecast_.split_prefill_time(call_.prompt_tokens, static_cast<int>(engines));
            options.push_back({engines, part_time, ranked(candidates, part_time)});
        }
    }
    return options;
}

auto prefill_planner::prefill_candidates() const -> std::vector<prefill_candidate>
{
    std::vector<prefill_candidate> candidates;
    candidates.reserve(ordered_.size());
    for (const dispatch_candidate& engine : ordered_) {
        // Engines run prefill parts of other calls before their own prompts. An engine that kept receiving
        // parts would starve its own, so engines with a pending prefill of their own get none. The first
        // token waits for the slowest part, so slow engines get none either.
        if (!engine.suspect && !engine.rate_limited && !is_slow(engine) && engine.load.parts < engine.slots &&
            engine.load.unread_calls == 0) {
            candidates.push_back(to_prefill_candidate(engine));
        }
    }
    return candidates;
}

auto prefill_planner::to_prefill_candidate(const dispatch_candidate& engine) const -> prefill_candidate
{
    const duration delay = in_flight(engine) > 0 ? decode_penalty : duration::zero();
    prefill_candidate candidate;
    candidate.engine = &engine;
    candidate.backlog_steps = scaled(engine.load.pending_prefill + delay, engine.slowdown) / backlog_step;
    candidate.tie_breaker = mix_bits(engine.id_hash ^ call_.tie_breaker);
    if (engine.load.tightest_tbt_target > duration::zero()) {
        const int streams = std::max(in_flight(engine), 1);
        const double utility = streams + static_cast<double>(engine.load.memory_tokens) / tokens_per_utility;
        candidate.time_before_part =
            scaled(engine.load.pending_prefill +
                       forecast_.iteration_time(streams, engine.load.memory_tokens / streams),
                   engine.slowdown);
        candidate.streams_cost = utility * (1.0 - late_utility_share);
    }
    return candidate;
}

auto prefill_planner::ranked(const std::vector<prefill_candidate>& candidates, duration part_time)
    -> std::vector<ranked_candidate>
{
    std::vector<ranked_candidate> found;
    found.reserve(candidates.size());
    for (const prefill_candidate& candidate : candidates) {
        found.push_back({candidate.engine, cost_at(candidate, part_time), candidate.backlog_steps,
                         candidate.tie_breaker});
    }
    // A plan uses only the first of these: its prefill engines, and the engines that it skips because they
    // reserve a share of its KV cache already.
    const std::size_t used = std::min(found.size(), max_prefill_engines + max_memory_engines + 1);
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(used), found.end(),
                      [](const ranked_candidate& a, const ranked_candidate& b) {
                          return std::tuple(a.cost, a.backlog_steps, a.tie_breaker) <
                                 std::tuple(b.cost, b.backlog_steps, b.tie_breaker);
                      });
    found.resize(used);
    return found;
}

auto prefill_planner::cost_at(const prefill_candidate& candidate, duration part_time) -> double
{
    if (candidate.streams_cost == 0.0) {
        return 0.0;
    }
    const double tbt = ratio(candidate.time_before_part + scaled(part_time, candidate.engine->slowdown),
                             candidate.engine->load.tightest_tbt_target);
    return candidate.streams_cost * ramp(tbt, tbt_cost_begins, tbt_cost_full);
}

auto prefill_planner::utility_of(duration first_token) const -> double
{
    if (first_token > scaled(call_.time_to_client_timeout, client_timeout_share)) {
        return 0.0;
    }
    const double late =
        call_.time_to_target <= duration::zero()
            ? 1.0
            : ramp(ratio(first_token, call_.time_to_target), ttft_late_begins, ttft_late_full);
    return call_utility() * (1.0 - (1.0 - late_utility_share) * late);
}

auto prefill_planner::call_utility() const -> double
{
    return 1.0 + static_cast<double>(call_.prompt_tokens) / tokens_per_utility;
}

auto prefill_planner::target_engine_count() const -> std::size_t
{
    const duration total = forecast_.prefill_time(call_.prompt_tokens);
    const bool late = fastest_prefill_time() > call_.time_to_target;
    // A call that can't meet its target gets only as many engines as its first token needs to arrive before
    // the client disconnects, which leaves the other engines to calls that can.
    const duration part_time =
        late ? scaled(call_.time_to_client_timeout, client_timeout_share) : target_part_time_;
    const double parts = std::ceil(ratio(total, part_time));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(parts, 1.0)), 1, max_engine_count());
}

auto prefill_planner::max_engine_count() const -> std::size_t
{
    const auto share =
        static_cast<std::size_t>(static_cast<double>(ordered_.size()) * max_prefill_engine_share);
    return std::clamp<std::size_t>(share, 1, max_prefill_engines);
}

auto prefill_planner::find(const std::string& id) const -> const dispatch_candidate&
{
    return *std::find_if(ordered_.begin(), ordered_.end(),
                         [&](const dispatch_candidate& engine) { return engine.id == id; });
}

} // namespace dragonflymill::direct
