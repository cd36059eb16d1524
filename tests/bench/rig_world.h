#pragma once

#include "dragonflymill/gang/gang_candidates.h"
#include "dragonflymill/gang/gang_planner.h"
#include "dragonflymill/route/engine_priority.h"
#include "dragonflymill/route/first_token_prediction.h"
#include "dragonflymill/route/length_lanes.h"
#include "dragonflymill/route/router.h"
#include "dragonflymill/serve/overload_controller.h"
#include "rig_events.h"
#include "rig_gang_shares.h"
#include "rig_outcome.h"
#include "rig_steady.h"
#include "rig_traffic.h"

#include <optional>

namespace dragonflymill::rig {

/// Simulation of one gateway's decision code with simulated engines, on a virtual clock.
template <routing_policy Policy, overload_policy Overload>
class world
{
public:
    world(const world_settings& settings, Policy policy, std::uint64_t seed,
          std::vector<rig_request> requests)
        : settings_(settings)
        , router_(std::move(policy))
        , overload_(router_.table(), overload_settings_for(settings, seed))
        , planner_(1, {.max_gangs = 64})
        , requests_(std::move(requests))
        , states_(requests_.size())
        , outcomes_(requests_.size())
        , engines_(settings.engines, engine(settings.engine))
        , shares_(engines_, settings.engine.one_queue)
        , steady_(requests_)
    {
        std::vector<upstream_description> upstreams;
        for (std::size_t i = 0; i < settings.engines; ++i) {
            upstreams.push_back(describe(settings.engine, i));
            names_.push_back(upstreams.back().id);
        }
        reserve_for_short(settings.reserved, upstreams);
        (void)router_.table().configure(upstreams).has_value();
        bundle in_force;
        in_force.models.push_back({model_id("m"), {}, 0});
        overload_.bundle_adopted(in_force);
    }

    /// Runs until every request has ended and returns their outcomes.
    auto run() -> const std::vector<outcome>&
    {
        for (const auto& request : requests_) {
            events_.push(request.arrival, event_kind::arrival, request.id);
        }
        events_.push(instant(1s), event_kind::tick, 0);
        while (!events_.empty()) {
            const event next = events_.pop();
            now_ = next.at;
            if (next.kind == event_kind::arrival) {
                arrive(next.index);
            }
            else if (next.kind == event_kind::step) {
                end_step(next.index);
            }
            else {
                tick();
            }
        }
        return outcomes_;
    }

    /// Fraction of the engines' time spent in steps that prefill, in the steady phase.
    [[nodiscard]] auto busy() const -> double { return steady_.busy(); }

private:
    struct request_state
    {
        bool ended = false;
        bool paused = false;
        std::uint64_t attempt = 0;
        std::size_t engine = 0;
        length_class size = length_class::interactive;
        token_count prefill = 0;
        std::vector<kv_span> spans; // of a gang
        std::size_t span = 0;
        gang_key gang;
    };

    [[nodiscard]] auto one_way(std::size_t engine) const -> duration
    {
        return engine % 3 == 0 ? 100us : 500us;
    }

    [[nodiscard]] static auto overload_settings_for(const world_settings& settings, std::uint64_t seed)
        -> overload_controller_settings
    {
        overload_controller_settings made;
        made.drain_time = settings.overload_bound;
        made.seed = seed;
        return made;
    }

    void arrive(std::uint32_t id)
    {
        const auto& request = requests_[id];
        outcomes_[id].bucket = request.bucket;
        outcomes_[id].counts = steady_.covers(request.arrival);
        outcomes_[id].priority = request.priority;
        outcomes_[id].large_account = request.large_account;
        const auto answer = overload_.offer(now_, asked(request));
        if (std::holds_alternative<refusal>(answer)) {
            outcomes_[id].refused = true;
            states_[id].ended = true;
            return;
        }
        states_[id].paused = std::holds_alternative<defer_work>(answer);
        outcomes_[id].paused = states_[id].paused;
        live_.push_back(id);
        if (!states_[id].paused) {
            dispatch(id);
        }
    }

    void dispatch(std::uint32_t id)
    {
        const auto& request = requests_[id];
        auto& state = states_[id];
        if (request.prompt + request.output > settings_.engine.memory) {
            const gang_request wanted{request_id(std::to_string(id)), request.prompt, request.output};
            const deadline_budget limit(request.arrival, request.limit);
            handle(planner_.start(now_, wanted, attempt_number(1), limit, gang_room()));
            return;
        }
        const route_request route = routed(request);
        const auto decision = router_.choose(now_, route);
        const auto* choice = std::get_if<route_choice>(&decision);
        ++state.attempt;
        if (choice == nullptr || !router_.sent(now_, route, attempt_number(state.attempt), *choice)) {
            outcomes_[id].refused = true;
            end(id);
            return;
        }
        state.engine = index_of_engine(choice->upstream);
        state.size = choice->size;
        overload_.sent(exchange_number(id));
        submit(id);
    }

    void submit(std::uint32_t id)
    {
        const auto& request = requests_[id];
        auto& state = states_[id];
        auto& target = engines_[state.engine];
        const token_count cached =
            std::min(request.prompt - 1, std::max(target.cache().cached(request.document),
                                                  target.cache().cached(request.prefix)));
        const std::size_t priority = request.priority == work_priority::overnight
                                         ? overnight_engine_priority
                                         : engine_priority(state.size);
        const engine_job job{
            id, priority, state.size, cached, request.prompt, request.output, request.prompt + request.output,
            0,  false};
        engine_job uncached = job;
        uncached.begin = 0;
        const auto [first, whole] = alone(settings_.engine, uncached);
        outcomes_[id].alone_first_token = first + 2 * one_way(state.engine);
        outcomes_[id].alone_whole = whole + 2 * one_way(state.engine);
        target.submit(job);
        start_step(state.engine, one_way(state.engine));
    }

    void start_step(std::size_t i, duration after = duration::zero())
    {
        if (!engines_[i].stepping() && !engines_[i].idle()) {
            events_.push(now_ + after + engines_[i].begin_step(now_), event_kind::step,
                         static_cast<std::uint32_t>(i));
        }
    }

    void end_step(std::uint32_t i)
    {
        for (const auto& done : engines_[i].end_step()) {
            if (!states_[done.id].ended) {
                progress(i, done);
            }
        }
        start_step(i);
    }

    void progress(std::size_t i, const engine_event& step)
    {
        const std::uint32_t id = step.id;
        const auto& request = requests_[id];
        auto& state = states_[id];
        const request_id name(std::to_string(id));
        router_.report(now_, names_[i], engines_[i].report(now_));
        if (step.prefilled) {
            router_.table().first_token(now_, names_[i], name, attempt_number(state.attempt));
            if (!state.spans.empty() && state.span + 1 < state.spans.size()) {
                router_.table().finished(now_, names_[i], name, attempt_number(state.attempt));
                ++state.span;
                submit_span(id);
                return;
            }
            if (state.spans.empty()) {
                engines_[i].cache().store(request.document, request.prompt);
                if (request.prefix != 0) {
                    engines_[i].cache().store(request.prefix, request.prefix_tokens);
                }
            }
            overload_.prefilled(exchange_number(id));
            if (!outcomes_[id].first_token) {
                outcomes_[id].first_token = now_ + one_way(i) - request.arrival;
            }
        }
        if (step.ended) {
            outcomes_[id].whole = now_ + one_way(i) - request.arrival;
            outcomes_[id].in_limit = *outcomes_[id].whole <= request.limit;
            end(id);
        }
    }

    void end(std::uint32_t id)
    {
        auto& state = states_[id];
        const request_id name(std::to_string(id));
        state.ended = true;
        router_.table().finished(now_, names_[state.engine], name, attempt_number(state.attempt));
        overload_.ended(now_, exchange_number(id), outcomes_[id].in_limit);
        handle(planner_.finish(now_, name));
        std::erase(live_, id);
    }

    void tick()
    {
        for (auto& each : engines_) {
            each.note_load(now_);
        }
        for (const auto& name : router_.table().probes_due(now_)) {
            router_.report(now_, name, engines_[index_of_engine(name)].report(now_));
        }
        expire();
        pause_and_resume();
        const auto at = planner_.next_wake();
        if (at && *at <= now_) {
            handle(planner_.wake(now_, gang_room()));
        }
        steady_.note(now_, engines_);
        if (!live_.empty() || now_ < requests_.back().arrival) {
            events_.push(now_ + 50ms, event_kind::tick, 0);
        }
    }

    void expire()
    {
        std::vector<std::uint32_t> late;
        for (const auto id : live_) {
            if (now_ > requests_[id].arrival + requests_[id].limit) {
                late.push_back(id);
            }
        }
        for (const auto id : late) {
            engines_[states_[id].engine].cancel(id);
            end(id);
        }
    }

    void pause_and_resume()
    {
        const auto due = overload_.review(now_);
        for (const auto exchange : due.pause) {
            pause(static_cast<std::uint32_t>(exchange.value()));
        }
        for (const auto exchange : due.resume) {
            const auto id = static_cast<std::uint32_t>(exchange.value());
            states_[id].paused = false;
            dispatch(id);
        }
    }

    void pause(std::uint32_t id)
    {
        auto& state = states_[id];
        const token_count done = engines_[state.engine].cancel(id);
        if (done > 0) {
            engines_[state.engine].cache().store(requests_[id].document, done);
        }
        router_.table().finished(now_, names_[state.engine], request_id(std::to_string(id)),
                                 attempt_number(state.attempt));
        state.paused = true;
        outcomes_[id].paused = true;
    }

    [[nodiscard]] auto gang_room() const -> std::vector<gang_candidate>
    {
        auto room = gang_candidates(router_.table(), model_id("m"), adapter_id(), settings_.gang_share);
        return room;
    }

    void handle(std::vector<gang_output> outputs)
    {
        while (!outputs.empty()) {
            std::vector<gang_output> next;
            for (const auto& output : outputs) {
                handle_one(output, next);
            }
            outputs = std::move(next);
        }
    }

    void handle_one(const gang_output& output, std::vector<gang_output>& next)
    {
        const auto append = [&next](std::vector<gang_output> more) {
            next.insert(next.end(), more.begin(), more.end());
        };
        if (const auto* reserve = std::get_if<reserve_share>(&output)) {
            const auto word = shares_.reserve(now_, index_of_engine(reserve->upstream), *reserve);
            append(std::visit([this](const auto& each) { return planner_.step(now_, each); }, word));
        }
        else if (const auto* renew = std::get_if<renew_share>(&output)) {
            append(
                planner_.step(now_, share_granted{renew->gang, renew->upstream, renew->lease, renew->ask}));
        }
        else if (const auto* release = std::get_if<release_share>(&output)) {
            shares_.release(now_, index_of_engine(release->upstream), *release);
            planner_.step(now_, share_released{release->gang, release->upstream});
        }
        else if (const auto* ready = std::get_if<gang_ready>(&output)) {
            const auto id = static_cast<std::uint32_t>(std::stoul(ready->gang.request.text()));
            states_[id].spans = ready->spans;
            states_[id].span = 0;
            const auto& request = requests_[id];
            const auto [first, whole] = alone(settings_.engine, {id, 0, length_class::gang, 0, request.prompt,
                                                                 request.output, 0, 0, false});
            outcomes_[id].alone_first_token = first;
            outcomes_[id].alone_whole = whole;
            submit_span(id);
        }
        else {
            const auto& failed = std::get<gang_failed>(output);
            const auto id = static_cast<std::uint32_t>(std::stoul(failed.gang.request.text()));
            if (!states_[id].ended) {
                outcomes_[id].refused =
                    failed.why.ran == ran_state::no && failed.why.code != refusal_code::deadline;
                engines_[states_[id].engine].cancel(id);
                end(id);
            }
        }
    }

    void submit_span(std::uint32_t id)
    {
        const auto& request = requests_[id];
        auto& state = states_[id];
        const auto& span = state.spans[state.span];
        const bool last = state.span + 1 == state.spans.size();
        ++state.attempt;
        state.engine = index_of_engine(span.upstream);
        state.size = length_class::gang;
        const token_count tokens = span.end - span.begin;
        (void)router_.table().sent(now_, span.upstream,
                                   {request_id(std::to_string(id)), attempt_number(state.attempt), state.size,
                                    tokens, tokens,
                                    prefill_time(describe(settings_.engine, state.engine), tokens)});
        engines_[state.engine].submit({id, engine_priority(state.size), state.size, span.begin, span.end,
                                       last ? request.output : 0, 0, 0, false});
        start_step(state.engine);
    }

    [[nodiscard]] auto index_of_engine(const upstream_id& name) const -> std::size_t
    {
        return static_cast<std::size_t>(std::lower_bound(names_.begin(), names_.end(), name) -
                                        names_.begin());
    }

    world_settings settings_;
    router<Policy> router_;
    overload_controller<Overload> overload_;
    gang_planner planner_;
    std::vector<rig_request> requests_;
    std::vector<request_state> states_;
    std::vector<outcome> outcomes_;
    std::vector<std::uint32_t> live_;
    std::vector<engine> engines_;
    std::vector<upstream_id> names_;
    gang_shares shares_;
    event_queue events_;
    steady_part steady_;
    instant now_;
};

} // namespace dragonflymill::rig
