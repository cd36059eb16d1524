#pragma once

#include "dragonflymill/gang/gang_candidates.h"
#include "dragonflymill/gang/gang_planner.h"
#include "dragonflymill/overload/paused_work.h"
#include "dragonflymill/overload/shedding_policies.h"
#include "dragonflymill/route/engine_priority.h"
#include "dragonflymill/route/length_lanes.h"
#include "dragonflymill/route/router.h"
#include "rig_outcome.h"
#include "rig_traffic.h"

#include <optional>
#include <queue>
#include <tuple>

namespace dragonflymill::rig {

/// One gateway's decision parts before some engines, on a virtual clock.
template <routing_policy Policy, overload_policy Overload>
class world
{
public:
    world(const world_settings& settings, Policy policy, Overload overload, std::vector<rig_request> requests)
        : settings_(settings)
        , router_(std::move(policy))
        , overload_(std::move(overload))
        , planner_(1, {.max_gangs = 64})
        , requests_(std::move(requests))
        , states_(requests_.size())
        , outcomes_(requests_.size())
        , engines_(settings.engines, engine(settings.engine))
        , lines_(settings.engines)
    {
        std::vector<upstream_description> upstreams;
        for (std::size_t i = 0; i < settings.engines; ++i) {
            upstreams.push_back(describe(i));
            names_.push_back(upstreams.back().id);
        }
        reserve_for_short(settings.reserved, upstreams);
        (void)router_.table().configure(upstreams).has_value();
    }

    /// Runs until every request has ended; what became of them.
    auto run() -> const std::vector<outcome>&
    {
        for (const auto& request : requests_) {
            push(request.arrival, event_kind::arrival, request.id);
        }
        push(instant(1s), event_kind::tick, 0);
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
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

    /// Part of the engines' time that was spent in steps that prefill, while requests came.
    [[nodiscard]] auto busy() const -> double { return busy_; }

private:
    enum class event_kind
    {
        arrival,
        step,
        tick,
    };

    struct event
    {
        instant at;
        std::uint64_t number = 0;
        event_kind kind = event_kind::tick;
        std::uint32_t index = 0;
    };

    struct later
    {
        auto operator()(const event& a, const event& b) const -> bool
        {
            return std::tie(a.at, a.number) > std::tie(b.at, b.number);
        }
    };

    struct request_state
    {
        bool admitted = false;
        bool ended = false;
        bool paused = false;
        std::uint64_t attempt = 0;
        std::size_t engine = 0;
        length_class size = length_class::interactive;
        token_count prefill = 0;
        bool prefilled = false;
        std::vector<kv_span> spans; // of a gang
        std::size_t span = 0;
        gang_key gang;
    };

    [[nodiscard]] auto describe(std::size_t i) const -> upstream_description
    {
        upstream_description made;
        made.id = upstream_id((i < 10 ? "u0" : "u") + std::to_string(i));
        made.failure_domain = failure_domain_id(std::string(1, static_cast<char>('a' + i % 3)));
        made.region = region_id("r");
        made.models = {model_id("m")};
        made.memory = settings_.engine.memory;
        made.prefill_rate = settings_.engine.prefill_rate;
        made.prefill_chunk = settings_.engine.chunk;
        made.decode_step = settings_.engine.step;
        made.decode_step_growth = settings_.engine.step_per_request;
        return made;
    }

    void push(instant at, event_kind kind, std::uint32_t index)
    {
        events_.push({at, number_++, kind, index});
    }

    [[nodiscard]] auto one_way(std::size_t engine) const -> duration
    {
        return engine % 3 == 0 ? 100us : 500us;
    }

    [[nodiscard]] auto cost_of(token_count tokens) const -> duration
    {
        const auto& engine = settings_.engine;
        const double steps = static_cast<double>(tokens) / static_cast<double>(engine.chunk);
        return duration(static_cast<duration::rep>(steps * static_cast<double>(engine.step.count()) +
                                                   static_cast<double>(tokens) / engine.prefill_rate * 1e6));
    }

    [[nodiscard]] auto signal() const -> load_signal
    {
        token_count queued = 0;
        for (const auto& record : router_.table().records()) {
            queued += record.queue_ahead(length_class::gang);
        }
        return {cost_of(queued / static_cast<token_count>(engines_.size())), settings_.overload_bound};
    }

    [[nodiscard]] auto work_of(const rig_request& request) const -> offered_work
    {
        const length_class size =
            classify(request.prompt, request.prompt + request.output, settings_.engine.memory);
        return {request_id(std::to_string(request.id)),
                request.account,
                request.priority,
                size,
                cost_of(request.prompt),
                deadline_budget(request.arrival, request.limit)};
    }

    void arrive(std::uint32_t id)
    {
        const auto& request = requests_[id];
        outcomes_[id].bucket = request.bucket;
        outcomes_[id].counts = is_steady(request.arrival);
        outcomes_[id].priority = request.priority;
        if (std::holds_alternative<refusal>(overload_.offer(now_, work_of(request), signal()))) {
            outcomes_[id].refused = true;
            states_[id].ended = true;
            return;
        }
        states_[id].admitted = true;
        live_.push_back(id);
        dispatch(id);
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
        state.prefilled = false;
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
            push(now_ + after + engines_[i].begin_step(now_), event_kind::step,
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
            state.prefilled = true;
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
        overload_.ended(now_, work_of(requests_[id]), outcomes_[id].in_limit);
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
        note_busy();
        if (!live_.empty() || now_ < requests_.back().arrival) {
            push(now_ + 50ms, event_kind::tick, 0);
        }
    }

    /// Whether a moment lies in the middle three fifths of the traffic: neither warm-up nor run-out.
    [[nodiscard]] auto is_steady(instant at) const -> bool
    {
        const duration all = requests_.back().arrival - requests_.front().arrival;
        const duration part = at - requests_.front().arrival;
        return part >= all / 5 && part < all / 5 * 4;
    }

    void note_busy()
    {
        double sum = 0.0;
        for (const auto& each : engines_) {
            sum += static_cast<double>(each.busy().count());
        }
        if (is_steady(now_) && steady_from_ == instant{}) {
            steady_from_ = now_;
            busy_before_ = sum;
        }
        if (is_steady(now_) && now_ > steady_from_) {
            const auto time = static_cast<double>((now_ - steady_from_).count());
            busy_ = (sum - busy_before_) / time / static_cast<double>(engines_.size());
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
        const load_signal load = signal();
        std::vector<running_work> running;
        for (const auto id : live_) {
            const auto& state = states_[id];
            if (!state.paused && !state.prefilled && state.spans.empty() && state.attempt > 0) {
                running.push_back({work_of(requests_[id]), cost_of(requests_[id].prompt)});
            }
        }
        for (const auto& name : overload_.pause(now_, load, running)) {
            const auto id = static_cast<std::uint32_t>(std::stoul(name.text()));
            if (paused_.add({work_of(requests_[id]), cost_of(requests_[id].prompt)})) {
                pause(id);
            }
        }
        for (const auto& name : paused_.due(now_, load).resume) {
            const auto id = static_cast<std::uint32_t>(std::stoul(name.text()));
            if (!states_[id].ended) {
                states_[id].paused = false;
                dispatch(id);
            }
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

    /// Refuses a share; puts it in line if only other prompts are in its way and no other gang waits there.
    auto refuse(const reserve_share& wanted) -> share_refused
    {
        const std::size_t i = index_of_engine(wanted.upstream);
        auto& line = lines_[i];
        const bool others_turn = line && line->first != wanted.gang && line->second > now_;
        const bool in_line =
            !settings_.engine.one_queue && !others_turn && engines_[i].gang_room() >= wanted.tokens;
        if (in_line) {
            line = {wanted.gang, now_ + wanted.hold};
            engines_[i].keep_out_bulk(now_ + wanted.hold);
        }
        return {wanted.gang, wanted.upstream, 100ms, in_line};
    }

    void handle_one(const gang_output& output, std::vector<gang_output>& next)
    {
        const auto append = [&next](std::vector<gang_output> more) {
            next.insert(next.end(), more.begin(), more.end());
        };
        if (const auto* reserve = std::get_if<reserve_share>(&output)) {
            auto& target = engines_[index_of_engine(reserve->upstream)];
            if (target.memory_for(length_class::gang) < reserve->tokens) {
                append(planner_.step(now_, refuse(*reserve)));
                return;
            }
            auto& line = lines_[index_of_engine(reserve->upstream)];
            if (line && line->first == reserve->gang) {
                line.reset();
                target.keep_out_bulk(now_);
            }
            target.reserve(reserve->tokens);
            shares_[{reserve->gang, reserve->upstream}] = reserve->tokens;
            append(planner_.step(now_,
                                 share_granted{reserve->gang, reserve->upstream, lease_id(1), reserve->ask}));
        }
        else if (const auto* renew = std::get_if<renew_share>(&output)) {
            append(
                planner_.step(now_, share_granted{renew->gang, renew->upstream, renew->lease, renew->ask}));
        }
        else if (const auto* release = std::get_if<release_share>(&output)) {
            auto& line = lines_[index_of_engine(release->upstream)];
            if (line && line->first == release->gang) {
                line.reset();
                engines_[index_of_engine(release->upstream)].keep_out_bulk(now_);
            }
            const auto found = shares_.find({release->gang, release->upstream});
            if (found != shares_.end()) {
                engines_[index_of_engine(release->upstream)].reserve(-found->second);
                shares_.erase(found);
            }
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
                                    tokens, tokens, cost_of(tokens)});
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
    Overload overload_;
    gang_planner planner_;
    paused_work paused_;
    std::vector<rig_request> requests_;
    std::vector<request_state> states_;
    std::vector<outcome> outcomes_;
    std::vector<std::uint32_t> live_;
    std::vector<engine> engines_;
    std::vector<upstream_id> names_;
    std::map<std::pair<gang_key, upstream_id>, token_count> shares_;
    std::vector<std::optional<std::pair<gang_key, instant>>>
        lines_; // gang in line at each engine, until when
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t number_ = 0;
    instant now_;
    instant steady_from_;
    double busy_before_ = 0.0;
    double busy_ = 0.0;
};

} // namespace dragonflymill::rig
