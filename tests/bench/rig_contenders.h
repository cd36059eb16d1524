#pragma once

#include "dragonflymill/route/baseline_policies.h"
#include "dragonflymill/route/predicted_first_token.h"
#include "rig_tables.h"

#include <atomic>
#include <thread>

namespace dragonflymill::rig {

/// Seeds of a cell.
inline constexpr std::size_t seed_count = 4;
/// Requests of a seed.
inline constexpr std::size_t request_count = 12'000;
/// Cells run side by side.
inline constexpr std::size_t thread_count = 4;

/// What is compared.
enum class contender
{
    ours,               ///< Our routing, lanes and shedding.
    ours_without_lanes, ///< The same with nothing reserved.
    power_of_two,       ///< Routing baseline.
    least_outstanding,  ///< Routing baseline.
    round_robin,        ///< Routing baseline.
    one_queue,          ///< The same with a queue instead of priorities.
    random,             ///< Ours, but for random shedding.
    priority,           ///< Ours, but for shedding by priority.
    none,               ///< Ours, but nothing is refused or paused.
};

/// As it stands in tables.
inline auto name_of(contender who) -> const char*
{
    switch (who) {
    case contender::ours:
        return "predicted first token";
    case contender::ours_without_lanes:
        return "the same, nothing reserved";
    case contender::power_of_two:
        return "power of two";
    case contender::least_outstanding:
        return "least outstanding";
    case contender::round_robin:
        return "round robin";
    case contender::one_queue:
        return "round robin, one queue";
    case contender::random:
        return "random shedding";
    case contender::priority:
        return "priority shedding";
    case contender::none:
        return "no shedding";
    }
    return "";
}

/// What one world gave.
struct run_result
{
    std::vector<outcome> outcomes; ///< What became of each request.
    double busy = 0.0;             ///< Busy part of the engines.
};

/// One world with these policies.
template <overload_policy Overload = contribution_shedding, routing_policy Policy>
auto run_with(const world_settings& settings, Policy policy, std::uint64_t seed,
              const std::vector<rig_request>& traffic) -> run_result
{
    world<Policy, Overload> one(settings, std::move(policy), seed, traffic);
    run_result result;
    result.outcomes = one.run();
    result.busy = one.busy();
    return result;
}

/// The routing that gateways use.
inline auto our_routing() -> predicted_first_token
{
    predicted_first_token_settings settings;
    settings.failure_domain = failure_domain_id("a");
    settings.region = region_id("r");
    return predicted_first_token(settings);
}

/// One contender before one traffic.
inline auto run_one(contender who, std::uint64_t seed, const std::vector<rig_request>& traffic) -> run_result
{
    world_settings settings;
    const bool ours = who == contender::ours || who >= contender::random;
    settings.reserved = ours ? settings.reserved : 0.0;
    settings.engine.one_queue = who == contender::one_queue;
    switch (who) {
    case contender::power_of_two:
        return run_with(settings, power_of_two(seed), seed, traffic);
    case contender::least_outstanding:
        return run_with(settings, least_outstanding(), seed, traffic);
    case contender::round_robin:
    case contender::one_queue:
        return run_with(settings, round_robin(), seed, traffic);
    case contender::random:
        return run_with<random_shedding>(settings, our_routing(), seed, traffic);
    case contender::priority:
        return run_with<priority_shedding>(settings, our_routing(), seed, traffic);
    case contender::none:
        return run_with<no_shedding>(settings, our_routing(), seed, traffic);
    default:
        return run_with(settings, our_routing(), seed, traffic);
    }
}

/// The same requests with the long ones left out.
inline auto short_ones(std::vector<rig_request> traffic) -> std::vector<rig_request>
{
    std::erase_if(traffic, [](const rig_request& each) { return each.bucket >= short_buckets; });
    for (std::size_t i = 0; i < traffic.size(); ++i) {
        traffic[i].id = static_cast<std::uint32_t>(i);
    }
    return traffic;
}

/// One contender at one load, all seeds.
inline auto run_cell(contender who, int load) -> cell
{
    cell made;
    made.policy = name_of(who);
    made.load = load;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const world_settings settings;
        const auto traffic =
            make_traffic(seed, request_count, load / 100.0, settings.engines, settings.engine);
        auto whole = run_one(who, seed, traffic);
        made.seeds.push_back(std::move(whole.outcomes));
        made.busy.push_back(whole.busy);
        made.shorts.push_back(run_one(who, seed, short_ones(traffic)).outcomes);
    }
    return made;
}

/// Runs every contender at every load, a few cells side by side; each is a world of its own.
inline auto run_cells(const std::vector<contender>& who, const std::vector<int>& at) -> std::vector<cell>
{
    std::vector<cell> cells(who.size() * at.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < cells.size(); i = next++) {
            cells[i] = run_cell(who[i % who.size()], at[i / who.size()]);
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < thread_count; ++i) {
        threads.emplace_back(work);
    }
    for (auto& each : threads) {
        each.join();
    }
    return cells;
}

} // namespace dragonflymill::rig
