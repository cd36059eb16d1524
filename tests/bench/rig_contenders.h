#pragma once

#include "dragonflymill/route/baseline_policies.h"
#include "dragonflymill/route/predicted_first_token.h"
#include "rig_tables.h"

#include <atomic>
#include <thread>

namespace dragonflymill::rig {

/// Number of seeds per cell.
inline constexpr std::size_t seed_count = 4;
/// Number of requests per seed.
inline constexpr std::size_t request_count = 12'000;
/// Number of cells that run in parallel.
inline constexpr std::size_t thread_count = 4;

/// Policies under comparison.
enum class contender
{
    ours,               ///< The gateway's routing, lanes and load shedding.
    ours_without_lanes, ///< As `ours`, with no engines reserved for short prompts.
    power_of_two,       ///< Routing baseline.
    least_outstanding,  ///< Routing baseline.
    round_robin,        ///< Routing baseline.
    one_queue,          ///< Round robin, with one queue per engine instead of priorities.
    random,             ///< As `ours`, with random shedding.
    priority,           ///< As `ours`, with shedding by priority.
    none,               ///< As `ours`, with nothing refused or paused.
};

/// Name of a contender in tables.
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

/// Result of one simulation.
struct run_result
{
    std::vector<outcome> outcomes; ///< Outcome of each request.
    double busy = 0.0;             ///< Fraction of the engines' time in steps that prefill.
};

/// Runs one simulation with the given policies.
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

/// The routing policy that gateways use.
inline auto our_routing() -> predicted_first_token
{
    predicted_first_token_settings settings;
    settings.failure_domain = failure_domain_id("a");
    settings.region = region_id("r");
    return predicted_first_token(settings);
}

/// Runs one contender on one sequence of requests.
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

/// The same requests without the long ones, renumbered.
inline auto short_ones(std::vector<rig_request> traffic) -> std::vector<rig_request>
{
    std::erase_if(traffic, [](const rig_request& each) { return each.bucket >= short_buckets; });
    for (std::size_t i = 0; i < traffic.size(); ++i) {
        traffic[i].id = static_cast<std::uint32_t>(i);
    }
    return traffic;
}

/// Runs one contender at one load (percent) with all seeds.
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

/// Runs every contender at every load, several cells in parallel; cells share no state.
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
