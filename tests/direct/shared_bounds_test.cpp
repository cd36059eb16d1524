#include "dragonflymill/core/random_source.h"
#include "dragonflymill/direct/cold_start_limiter.h"
#include "dragonflymill/direct/retry_window.h"

#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr retry_budget_limits bounds{0.2, 100.0, 10s};

/// Arrivals of all gateways in the last window.
struct window_sum
{
    std::deque<std::pair<instant, bool>> arrivals; // whether it is a second one

    void add(instant now, bool again)
    {
        arrivals.emplace_back(now, again);
        while (now - arrivals.front().first > bounds.window) {
            arrivals.pop_front();
        }
    }
    [[nodiscard]] auto count(bool again) const -> double
    {
        double sum = 0;
        for (const auto& arrival : arrivals) {
            sum += arrival.second == again ? 1 : 0;
        }
        return sum;
    }
};

} // namespace

// Every call fails and each of thirty gateways wants to send each again. Over any ten seconds the second
// arrivals of all together stay within the share and the one slack that they have in common.
Test(retry_window, the_sum_over_all_gateways_stays_in_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        random_source random(seed);
        constexpr int gateways = 30;
        std::vector<retry_window> windows(gateways);
        window_sum sum;
        for (int step = 0; step < 20'000; ++step) {
            const instant now = instant(100s) + step * 3ms;
            retry_window& own = windows[random.below(gateways)];
            own.count_first_attempt(now);
            sum.add(now, false);
            if (own.take(now, bounds, gateways)) {
                sum.add(now, true);
            }
            const double allowed = bounds.share * sum.count(false) + bounds.slack;
            cr_assert(sum.count(true) <= allowed, "seed %llu step %d", static_cast<unsigned long long>(seed),
                      step);
        }
    }
}

// All gateways start at once after a power loss, and their first calls fail. None knows how many others there
// are: had each taken the whole slack, the upstreams that are left would get thirty times of it.
Test(retry_window, a_gateway_that_counts_many_takes_next_to_nothing)
{
    retry_window window;
    const instant now(100s);
    for (int i = 0; i < 10; ++i) {
        window.count_first_attempt(now);
    }
    int taken = 0;
    while (window.take(now, bounds, 410)) {
        ++taken;
    }
    cr_assert(taken <= 2, "%d", taken);
}

Test(retry_window, what_is_older_than_the_window_is_forgotten)
{
    retry_window window;
    const instant now(100s);
    for (int i = 0; i < 100; ++i) {
        window.count_first_attempt(now);
    }
    cr_assert(window.available(now, {0.2, 0.0, 10s}, 1));
    cr_assert(!window.available(now + 60s, {0.2, 0.0, 10s}, 1));
}

// A failure domain comes back with cold upstreams and each of twelve gateways sees an idle one. In no second
// may it get more than it bears from all of them.
Test(cold_start_limiter, the_sum_over_all_gateways_stays_in_the_rate)
{
    constexpr int gateways = 12;
    constexpr double rate = 38.0;
    std::vector<cold_start_limiter> shares(gateways);
    std::deque<instant> sent;
    for (int step = 0; step < 40'000; ++step) {
        const instant now = instant(100s) + step * 250us;
        if (shares[static_cast<std::size_t>(step) % gateways].take(now, rate, gateways)) {
            sent.push_back(now);
        }
        while (!sent.empty() && now - sent.front() >= 1s) {
            sent.pop_front();
        }
        cr_assert(static_cast<double>(sent.size()) <= rate + gateways);
    }
}
