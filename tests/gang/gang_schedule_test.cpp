#include "dragonflymill/gang/gang_planner.h"
#include "gang/fake_share_holder.h"
#include "support/fault_cell.h"
#include "support/message_bag.h"
#include "support/schedule_seeds.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr std::size_t planner_count = 3;
constexpr std::size_t engine_count = 6;
constexpr token_count engine_capacity = 400'000;
constexpr duration run_time = 120s;
constexpr duration decode_time = 3s;

/// Message to an engine or to a planner.
struct envelope
{
    std::size_t planner = 0;
    std::size_t engine = 0;
    bool to_engine = false;
    gang_output ask;
    share_answer answer;
};

/// Fault rates and load of a run.
struct schedule_rules
{
    message_bag_rules network;
    double death = 0.0;     // probability per step, for an engine and for a planner
    double pause = 0.0;     // probability per step that a planner is paused
    double prompts = 0.0;   // share of the time that other prompts occupy memory of an engine
    double arrivals = 0.01; // probability per step of a new gang at a planner
};

/// Simulates planners that share engines over a network that loses, delays, duplicates and reorders messages.
class gang_simulation
{
public:
    gang_simulation(std::uint64_t seed, const schedule_rules& rules)
        : random_(seed)
        , rules_(rules)
        , network_(seed, rules.network)
        , engines_(engine_count, fake_share_holder(engine_capacity))
    {
        for (std::size_t i = 0; i < planner_count; ++i) {
            planners_.emplace_back(seed * 10 + i);
        }
    }

    /// Runs to the end and until every hold has expired; returns the violated property, if any.
    auto run() -> std::optional<std::string>
    {
        for (now_ = instant(1s); now_ < instant(run_time) && !broken_; now_ += 50ms) {
            start_gangs();
            change_load();
            inject_faults();
            deliver_and_wake();
        }
        for (; now_ < instant(run_time + 100s) && !broken_; now_ += 50ms) {
            deliver_and_wake();
        }
        for (auto& engine : engines_) {
            engine.expire(now_);
            broken_ = !broken_ && engine.used() != 0
                          ? std::optional<std::string>("an engine still holds memory after the run")
                          : broken_;
        }
        return broken_;
    }

    [[nodiscard]] auto started() const -> int { return started_; }
    [[nodiscard]] auto ready_count() const -> int { return ready_count_; }
    [[nodiscard]] auto settled() const -> int { return static_cast<int>(settled_.size()); }

private:
    struct decoding
    {
        std::size_t planner;
        request_id request;
        instant ends_at;
    };

    static auto name_of(std::size_t engine) -> upstream_id
    {
        return upstream_id(std::string(1, char('a' + engine)));
    }

    [[nodiscard]] auto candidates() const -> std::vector<gang_candidate>
    {
        std::vector<gang_candidate> all;
        for (std::size_t i = 0; i < engine_count; ++i) {
            // All engines appear free to the planners, which maximizes conflicts.
            all.push_back({name_of(i), failure_domain_id("d"), engine_capacity, engine_capacity});
        }
        return all;
    }

    void start_gangs()
    {
        for (std::size_t i = 0; i < planner_count; ++i) {
            if (random_.chance(rules_.arrivals) && planners_[i].gangs() < 4 &&
                now_ < instant(run_time - 61s)) {
                const gang_request request{request_id(std::to_string(++started_)), 1'000'000, 2'000};
                const deadline_budget limit(now_, 60s);
                handle(i, planners_[i].start(now_, request, attempt_number(1), limit, candidates()));
            }
        }
    }

    void change_load()
    {
        for (auto& engine : engines_) {
            if (rules_.prompts > 0.0 && random_.chance(0.05)) {
                engine.set_prompt_memory(random_.chance(rules_.prompts) ? engine_capacity / 4 : 0);
            }
        }
    }

    void inject_faults()
    {
        if (random_.chance(rules_.death)) {
            const std::size_t engine = random_.below(engine_count);
            engines_[engine].restart();
            for (std::size_t i = 0; i < planner_count; ++i) {
                handle(i, planners_[i].upstream_gone(now_, name_of(engine)));
            }
        }
        if (random_.chance(rules_.death)) {
            const std::size_t planner = random_.below(planner_count);
            planners_[planner] = gang_planner(++deaths_ * 1'000);
            std::erase_if(decoding_, [planner](const decoding& each) { return each.planner == planner; });
        }
        if (random_.chance(rules_.pause)) {
            paused_until_[random_.below(planner_count)] = now_ + duration(random_.below(20'000'000));
        }
    }

    void deliver_and_wake()
    {
        const auto awake = [this](const envelope& each) {
            return each.to_engine || paused_until_[each.planner] <= now_;
        };
        while (auto message = network_.take(now_, awake)) {
            message->to_engine ? at_engine(*message) : at_planner(*message);
        }
        const auto due = [this](const decoding& each) {
            return each.ends_at <= now_ && paused_until_[each.planner] <= now_;
        };
        for (const auto& each : decoding_) {
            if (due(each)) {
                handle(each.planner, planners_[each.planner].finish(now_, each.request));
            }
        }
        std::erase_if(decoding_, due);
        for (std::size_t i = 0; i < planner_count; ++i) {
            const auto at = planners_[i].next_wake();
            if (paused_until_[i] <= now_ && at && *at <= now_) {
                handle(i, planners_[i].wake(now_, candidates()));
            }
        }
    }

    void at_engine(const envelope& message)
    {
        envelope reply = message;
        reply.to_engine = false;
        auto& engine = engines_[message.engine];
        if (const auto* reserve = std::get_if<reserve_share>(&message.ask)) {
            reply.answer = engine.step(now_, *reserve);
        }
        else if (const auto* renew = std::get_if<renew_share>(&message.ask)) {
            reply.answer = engine.step(now_, *renew);
        }
        else {
            reply.answer = engine.step(now_, std::get<release_share>(message.ask));
        }
        if (engine.used() > engine.capacity()) {
            broken_ = "an engine holds more than its capacity";
        }
        network_.send(now_, reply);
    }

    void at_planner(const envelope& message)
    {
        auto& planner = planners_[message.planner];
        if (const auto* granted = std::get_if<share_granted>(&message.answer)) {
            handle(message.planner, planner.step(now_, *granted));
        }
        else if (const auto* refused = std::get_if<share_refused>(&message.answer)) {
            handle(message.planner, planner.step(now_, *refused));
        }
        else {
            planner.step(now_, std::get<share_released>(message.answer));
        }
    }

    void handle(std::size_t planner, const std::vector<gang_output>& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* reserve = std::get_if<reserve_share>(&output)) {
                send(planner, reserve->upstream, output);
            }
            else if (const auto* renew = std::get_if<renew_share>(&output)) {
                send(planner, renew->upstream, output);
            }
            else if (const auto* release = std::get_if<release_share>(&output)) {
                send(planner, release->upstream, output);
            }
            else if (const auto* ready = std::get_if<gang_ready>(&output)) {
                check_held(*ready);
                decoding_.push_back({planner, ready->gang.request, now_ + decode_time});
                ++ready_count_;
                settled_.insert(ready->gang.request);
            }
            else {
                settled_.insert(std::get<gang_failed>(output).gang.request);
            }
        }
    }

    void check_held(const gang_ready& ready)
    {
        for (const auto& span : ready.spans) {
            auto& engine = engines_[engine_of(span.upstream)];
            engine.expire(now_);
            if (!engine.holds(ready.gang, span.lease)) {
                broken_ = "a gang is ready without holding all of its shares";
            }
        }
    }

    static auto engine_of(const upstream_id& name) -> std::size_t
    {
        return std::size_t(name.text()[0] - 'a');
    }

    void send(std::size_t planner, const upstream_id& engine, const gang_output& ask)
    {
        network_.send(now_, {planner, engine_of(engine), true, ask, {}});
    }

    random_source random_;
    schedule_rules rules_;
    message_bag<envelope> network_;
    std::vector<fake_share_holder> engines_;
    std::vector<gang_planner> planners_;
    std::array<instant, planner_count> paused_until_{};
    std::vector<decoding> decoding_;
    instant now_;
    std::optional<std::string> broken_;
    int started_ = 0;
    int ready_count_ = 0;
    std::set<request_id> settled_;
    std::uint64_t deaths_ = 0;
};

} // namespace

FAULT_CELL_MORE(gang_reserve, two_faults, schedule)
{
    // Guards against leaked shares and incomplete gangs: planners of three gateways reserve shares of the
    // same engines while messages are lost, late, duplicated and reordered, engines and gateways die, and
    // gateways are paused. Afterwards no engine holds anything, and no gang was ready without all of its
    // shares.
    const char* const filter = "step__gang_reserve/fault__two_faults__schedule";
    run_schedules(40, "test_gang", filter, [](std::uint64_t seed) {
        gang_simulation run(seed, {{.drop = 0.05, .duplicate = 0.05, .late = 0.05}, 0.002, 0.01, 0.3, 0.01});
        return run.run();
    });
}

FAULT_CELL_MORE(gang_reserve, message_reordered, progress)
{
    // Guards against deadlock and livelock of large prompts: three gateways reserve shares of the same
    // engines, with messages reordered and none lost.
    const char* const filter = "step__gang_reserve/fault__message_reordered__progress";
    run_schedules(40, "test_gang", filter, [](std::uint64_t seed) -> std::optional<std::string> {
        gang_simulation run(seed, {{.late = 0.05, .late_delay = 200ms}, 0.0, 0.0, 0.0, 0.01});
        auto broken = run.run();
        if (!broken && run.settled() != run.started()) {
            broken = "a gang neither ran nor failed";
        }
        if (!broken && run.ready_count() * 10 < run.started() * 9) {
            broken = "only " + std::to_string(run.ready_count()) + " of " + std::to_string(run.started()) +
                     " became ready";
        }
        return broken;
    });
}

FAULT_CELL_MORE(gang_reserve, same_twice, starvation)
{
    // Guards against starvation of large prompts while other prompts occupy memory of most engines at any
    // moment: a gang that finds no engine free at each request has to be queued.
    const char* const filter = "step__gang_reserve/fault__same_twice__starvation";
    run_schedules(40, "test_gang", filter, [](std::uint64_t seed) -> std::optional<std::string> {
        gang_simulation run(seed, {{}, 0.0, 0.0, 0.7, 0.0015});
        auto broken = run.run();
        if (!broken && run.ready_count() * 10 < run.started() * 8) {
            broken = "only " + std::to_string(run.ready_count()) + " of " + std::to_string(run.started()) +
                     " became ready";
        }
        return broken;
    });
}
