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
constexpr token_count engine_room = 400'000;
constexpr duration run_time = 120s;
constexpr duration decode_time = 3s;

/// A message to an engine or to a planner.
struct envelope
{
    std::size_t planner = 0;
    std::size_t engine = 0;
    bool to_engine = false;
    gang_output ask;
    share_answer answer;
};

/// How unkind a run is.
struct schedule
{
    message_bag_rules network;
    double death = 0.0;     // of an engine or a planner, each step
    double pause = 0.0;     // of a planner, each step
    double prompts = 0.0;   // part of the time that an engine is taken by other prompts
    double arrivals = 0.01; // of a gang at a planner, each step
};

/// Some planners before the same engines, with a network between them that loses, delays, doubles and
/// reorders.
class gang_simulation
{
public:
    gang_simulation(std::uint64_t seed, const schedule& rules)
        : random_(seed)
        , rules_(rules)
        , bag_(seed, rules.network)
        , engines_(engine_count, fake_share_holder(engine_room))
    {
        for (std::size_t i = 0; i < planner_count; ++i) {
            planners_.emplace_back(seed * 10 + i);
        }
    }

    /// Runs to the end, then lets every hold end; what is broken, or nothing.
    auto run() -> std::optional<std::string>
    {
        for (now_ = instant(1s); now_ < instant(run_time) && !broken_; now_ += 50ms) {
            start_some();
            load_some();
            break_some();
            turn();
        }
        for (; now_ < instant(run_time + 100s) && !broken_; now_ += 50ms) {
            turn();
        }
        for (auto& engine : engines_) {
            engine.expire(now_);
            broken_ = !broken_ && engine.used() != 0 ? std::optional<std::string>("memory held afterwards")
                                                     : broken_;
        }
        return broken_;
    }

    [[nodiscard]] auto started() const -> int { return started_; }
    [[nodiscard]] auto readied() const -> int { return readied_; }
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
            // Planners believe all engines free, so that they clash as often as they can.
            all.push_back({name_of(i), failure_domain_id("d"), engine_room, engine_room});
        }
        return all;
    }

    void start_some()
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

    void load_some()
    {
        for (auto& engine : engines_) {
            if (rules_.prompts > 0.0 && random_.chance(0.05)) {
                engine.hold_prompts(random_.chance(rules_.prompts) ? engine_room / 4 : 0);
            }
        }
    }

    void break_some()
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

    void turn()
    {
        const auto awake = [this](const envelope& each) {
            return each.to_engine || paused_until_[each.planner] <= now_;
        };
        while (auto message = bag_.take(now_, awake)) {
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
            broken_ = "an engine holds more than it may";
        }
        bag_.send(now_, reply);
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
                ++readied_;
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
                broken_ = "a gang is ready without all of its shares";
            }
        }
    }

    static auto engine_of(const upstream_id& name) -> std::size_t
    {
        return std::size_t(name.text()[0] - 'a');
    }

    void send(std::size_t planner, const upstream_id& engine, const gang_output& ask)
    {
        bag_.send(now_, {planner, engine_of(engine), true, ask, {}});
    }

    random_source random_;
    schedule rules_;
    message_bag<envelope> bag_;
    std::vector<fake_share_holder> engines_;
    std::vector<gang_planner> planners_;
    std::array<instant, planner_count> paused_until_{};
    std::vector<decoding> decoding_;
    instant now_;
    std::optional<std::string> broken_;
    int started_ = 0;
    int readied_ = 0;
    std::set<request_id> settled_;
    std::uint64_t deaths_ = 0;
};

} // namespace

FAULT_CELL_MORE(gang_reserve, two_faults, schedule)
{
    // Any caller with a prompt larger than an engine: planners of three gateways take shares of the same
    // engines while messages are lost, late, doubled and out of order, engines and gateways die and gateways
    // pause. Afterwards no engine holds anything, and no gang was ever ready without all of its shares.
    // Cause: any of the above at once.
    const char* const filter = "step__gang_reserve/fault__two_faults__schedule";
    run_schedules(40, "test_gang", filter, [](std::uint64_t seed) {
        gang_simulation world(seed,
                              {{.drop = 0.05, .duplicate = 0.05, .late = 0.05}, 0.002, 0.01, 0.3, 0.01});
        return world.run();
    });
}

FAULT_CELL_MORE(gang_reserve, message_reordered, progress)
{
    // All of the largest prompts wait for each other for ever. Three gateways take shares of the same
    // engines, with messages in any order and none lost. Cause: deadlock, or everyone giving way to everyone.
    const char* const filter = "step__gang_reserve/fault__message_reordered__progress";
    run_schedules(40, "test_gang", filter, [](std::uint64_t seed) -> std::optional<std::string> {
        gang_simulation world(seed, {{.late = 0.05, .late_delay = 200ms}, 0.0, 0.0, 0.0, 0.01});
        auto broken = world.run();
        if (!broken && world.settled() != world.started()) {
            broken = "a gang neither ran nor failed";
        }
        if (!broken && world.readied() * 10 < world.started() * 9) {
            broken =
                "only " + std::to_string(world.readied()) + " of " + std::to_string(world.started()) + " ran";
        }
        return broken;
    });
}

FAULT_CELL_MORE(gang_reserve, same_twice, starvation)
{
    // The largest prompts are never begun: at any moment other prompts hold some memory of most engines.
    // Cause: a gang that finds no engine free at the moment it asks, again and again; in line its turn comes.
    const char* const filter = "step__gang_reserve/fault__same_twice__starvation";
    run_schedules(40, "test_gang", filter, [](std::uint64_t seed) -> std::optional<std::string> {
        gang_simulation world(seed, {{}, 0.0, 0.0, 0.7, 0.0015});
        auto broken = world.run();
        if (!broken && world.readied() * 10 < world.started() * 8) {
            broken =
                "only " + std::to_string(world.readied()) + " of " + std::to_string(world.started()) + " ran";
        }
        return broken;
    });
}
