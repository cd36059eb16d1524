#include "rate_limit_simulation.h"

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

/// Time after its first statement from which a limit must hold.
constexpr duration settle_time = 3s;

/// A limit of one upstream, from two seconds after the start on.
auto limit_of_first(double calls_per_s)
{
    return [calls_per_s](int upstream, duration t) {
        return upstream == 0 && t >= 2s ? std::optional(calls_per_s) : std::nullopt;
    };
}

} // namespace

// Guards against an upstream in need that gets the load of all gateways although it states the rate of calls
// that it accepts: its answers reached every gateway, and none of them sent less.
Test(shared_rate_limit, calls_of_all_gateways_stay_within_a_stated_limit)
{
    for (const double limit : {1.0, 2.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            rate_limit_scenario scenario;
            scenario.limit = limit_of_first(limit);
            scenario.seed = seed;
            rate_limit_simulation simulation(scenario);
            simulation.run();
            const int most = simulation.most_in_window(0, rate_limit_simulation::start + 2s + settle_time);
            cr_assert(most <= allowed_in_window(limit), "limit %.1f seed %d: %d calls in four seconds", limit,
                      static_cast<int>(seed), most);
        }
    }
}
