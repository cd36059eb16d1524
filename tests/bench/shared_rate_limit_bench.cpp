// Simulates gateways before an upstream that states a rate limit, for fleets and limits of several sizes, on
// a virtual clock. Prints Markdown: the most calls in any four seconds, and the calls sent in percent of
// those that the limit and the callers allow.
#include "direct/statement_simulation.h"

#include <algorithm>
#include <cstdio>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr duration length = 24s;
constexpr duration measured_from = 4s;

void print_cell(int gateways, double limit, double load)
{
    statement_scenario scenario;
    scenario.gateways = gateways;
    scenario.upstreams = 1;
    scenario.calls_per_s = load * limit;
    scenario.length = length;
    scenario.limit = [limit](int, duration since_start) {
        return since_start >= 1s ? std::optional(limit) : std::nullopt;
    };
    statement_simulation simulation(scenario);
    simulation.run();
    const instant from = statement_simulation::start + measured_from;
    const int sent = simulation.arrived(0, from, statement_simulation::start + length);
    const double possible = std::min(load, 1.0) * limit * static_cast<double>((length - measured_from) / 1s);
    std::printf(" %d, %.0f %% |", simulation.most_in_window(0, from), 100.0 * sent / possible);
}

} // namespace

auto main() -> int
{
    std::printf("| limit per s | allowed in 4 s | load |");
    for (const int gateways : {1, 4, 12, 41, 103}) {
        std::printf(" %d gateways |", gateways);
    }
    std::printf("\n|--:|--:|--:|--:|--:|--:|--:|--:|\n");
    for (const double limit : {0.5, 1.0, 5.0, 20.0}) {
        for (const double load : {0.8, 3.0, 20.0}) {
            std::printf("| %.1f | %.0f | %.1f |", limit, allowed_in_window(limit), load);
            for (const int gateways : {1, 4, 12, 41, 103}) {
                print_cell(gateways, limit, load);
            }
            std::printf("\n");
        }
    }
    return 0;
}
