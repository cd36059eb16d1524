// One gateway's decision parts before sixteen engine fakes on a virtual clock: our policies and the baselines
// with the same seeds. Prints Markdown, and writes serving.csv and serving.svg into the folder given. The
// figures repeat to the digit.
#include "dragonflymill/route/baseline_policies.h"
#include "dragonflymill/route/predicted_first_token.h"
#include "rig_tables.h"

#include <atomic>
#include <iostream>
#include <thread>

using namespace dragonflymill;
using namespace dragonflymill::rig;

namespace {

constexpr std::size_t seed_count = 4;
constexpr std::size_t request_count = 12'000;
constexpr std::array<int, 4> loads{50, 80, 95, 120};
constexpr std::size_t thread_count = 4;

/// What is compared.
enum class contender
{
    ours,
    ours_without_lanes,
    power_of_two,
    least_outstanding,
    round_robin,
    one_queue,
    random,
    priority,
    none,
};

auto name_of(contender who) -> const char*
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

/// Refuses nothing and pauses nothing.
struct no_shedding
{
    auto offer(instant /*now*/, const offered_work& /*work*/, const load_signal& /*load*/) -> admission
    {
        return admit_work{};
    }
    auto pause(instant /*now*/, const load_signal& /*load*/, std::span<const running_work> /*running*/)
        -> std::vector<request_id>
    {
        return {};
    }
    void ended(instant /*now*/, const offered_work& /*work*/, bool /*in_time*/) {}
};

struct run_result
{
    std::vector<outcome> outcomes;
    double busy = 0.0;
};

template <routing_policy Policy, overload_policy Overload>
auto run_with(const world_settings& settings, Policy policy, Overload overload,
              const std::vector<rig_request>& traffic) -> run_result
{
    world<Policy, Overload> one(settings, std::move(policy), std::move(overload), traffic);
    run_result result;
    result.outcomes = one.run();
    result.busy = one.busy();
    return result;
}

auto our_routing() -> predicted_first_token
{
    predicted_first_token_settings settings;
    settings.failure_domain = failure_domain_id("a");
    settings.region = region_id("r");
    return predicted_first_token(settings);
}

auto run_one(contender who, std::uint64_t seed, const std::vector<rig_request>& traffic) -> run_result
{
    world_settings settings;
    const bool ours = who == contender::ours || who >= contender::random;
    settings.reserved = ours ? settings.reserved : 0.0;
    settings.engine.one_queue = who == contender::one_queue;
    const contribution_shedding shedding(seed);
    switch (who) {
    case contender::power_of_two:
        return run_with(settings, power_of_two(seed), shedding, traffic);
    case contender::least_outstanding:
        return run_with(settings, least_outstanding(), shedding, traffic);
    case contender::round_robin:
    case contender::one_queue:
        return run_with(settings, round_robin(), shedding, traffic);
    case contender::random:
        return run_with(settings, our_routing(), random_shedding(seed), traffic);
    case contender::priority:
        return run_with(settings, our_routing(), priority_shedding(seed), traffic);
    case contender::none:
        return run_with(settings, our_routing(), no_shedding(), traffic);
    default:
        return run_with(settings, our_routing(), shedding, traffic);
    }
}

/// The same requests with the long ones left out.
auto short_ones(std::vector<rig_request> traffic) -> std::vector<rig_request>
{
    std::erase_if(traffic, [](const rig_request& each) { return each.bucket >= short_buckets; });
    for (std::size_t i = 0; i < traffic.size(); ++i) {
        traffic[i].id = static_cast<std::uint32_t>(i);
    }
    return traffic;
}

auto run_cell(contender who, int load) -> cell
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
auto run_cells(const std::vector<contender>& who, const std::vector<int>& at) -> std::vector<cell>
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

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    std::cout << "Sixteen engines, " << seed_count << " seeds of " << request_count
              << " requests; the middle three fifths count. Load is the least work over what the engines can "
                 "do.\n\n";
    const auto routing =
        run_cells({contender::ours, contender::ours_without_lanes, contender::power_of_two,
                   contender::least_outstanding, contender::round_robin, contender::one_queue},
                  {loads.begin(), loads.end()});
    write_first_tokens(std::cout, routing);
    write_service(std::cout, routing);
    std::cout << "\nOverload policies, all with predicted first token\n";
    const auto shedding =
        run_cells({contender::ours, contender::priority, contender::random, contender::none}, {120, 200});
    auto named = shedding;
    for (auto& each : named) {
        each.policy = each.policy == name_of(contender::ours) ? "contribution shedding" : each.policy;
    }
    write_priorities(std::cout, named);
    write_service(std::cout, named);
    std::ofstream csv(folder + "/serving.csv");
    write_csv(csv, routing);
    std::ofstream plot(folder + "/serving.svg");
    write_plot(plot, routing);
    return csv.good() && plot.good() ? 0 : 1;
}
