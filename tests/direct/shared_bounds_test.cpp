#include "dragonflymill/core/random_source.h"
#include "dragonflymill/direct/cold_start_limiter.h"
#include "dragonflymill/direct/retry_window.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <numeric>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr retry_budget_limits bounds{0.2, 100.0, 10s};

/// Attempts of all gateways in the last window.
struct window_sum
{
    std::deque<std::pair<instant, bool>> arrivals; // whether it is a retry

    void add(instant now, bool is_retry)
    {
        arrivals.emplace_back(now, is_retry);
        while (now - arrivals.front().first > bounds.window) {
            arrivals.pop_front();
        }
    }
    [[nodiscard]] auto count(bool is_retry) const -> double
    {
        double sum = 0;
        for (const auto& arrival : arrivals) {
            sum += arrival.second == is_retry ? 1 : 0;
        }
        return sum;
    }
};

} // namespace

// Every call fails and each of thirty gateways wants to retry each. Over any ten seconds, the retries of all
// gateways must stay within the share of first attempts and the one slack that they have in common.
Test(retry_window, retries_of_all_gateways_stay_within_the_budget)
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

// All gateways start at once after a power loss, their first calls fail, and none knows how many others there
// are. If each used the whole slack, the remaining upstreams would get thirty times of it.
Test(retry_window, gateway_among_many_gets_a_small_part_of_the_slack)
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

// Pattern: n, 2n and 4n gateways share a slack of less than one retry each, all calls fail and each gateway
// has few of them. Guards against shares that round down to nothing, and against one retry of each gateway at
// once.
Test(retry_window, shares_below_one_retry_neither_starve_nor_exceed_the_budget)
{
    constexpr retry_budget_limits no_share{0.0, 100.0, 10s};
    for (const int gateways : {150, 300, 600}) {
        std::vector<retry_window> windows(static_cast<std::size_t>(gateways));
        std::vector<int> taken(windows.size());
        window_sum sum;
        double most = 0.0;
        constexpr duration length = 400s;
        for (duration t{}; t < length; t += 500ms) {
            const instant now = instant(100s) + t;
            for (int gateway = 0; gateway < gateways; ++gateway) {
                const auto index = static_cast<std::size_t>(gateway);
                if (windows[index].take(now, no_share, gateways, gateway)) {
                    ++taken[index];
                    sum.add(now, true);
                }
            }
            most = std::max(most, sum.count(true));
        }
        cr_assert(most <= no_share.slack, "%f", most);
        cr_assert(*std::min_element(taken.begin(), taken.end()) >= 1, "a gateway never had its turn");
        const double whole = static_cast<double>(std::accumulate(taken.begin(), taken.end(), 0));
        cr_assert(whole >= no_share.slack * static_cast<double>(length / no_share.window) / 4, "%f", whole);
    }
}

Test(retry_window, calls_older_than_the_window_expire)
{
    retry_window window;
    const instant now(100s);
    for (int i = 0; i < 100; ++i) {
        window.count_first_attempt(now);
    }
    cr_assert(window.available(now, {0.2, 0.0, 10s}, 1));
    cr_assert(!window.available(now + 60s, {0.2, 0.0, 10s}, 1));
}

// A failure domain recovers with cold upstreams, and each of twelve gateways sees an idle one. In no second
// may it get more than its limit for all gateways.
Test(cold_start_limiter, calls_of_all_gateways_stay_within_the_rate)
{
    constexpr int gateways = 12;
    constexpr double rate = 38.0;
    std::vector<cold_start_limiter> limiters(gateways);
    std::deque<instant> sent;
    for (int step = 0; step < 40'000; ++step) {
        const instant now = instant(100s) + step * 250us;
        const int index = step % gateways;
        const gateway_reach reach{gateways, gateways, index};
        if (limiters[static_cast<std::size_t>(index)].take(now, {rate, instant(100s)}, reach)) {
            sent.push_back(now);
        }
        while (!sent.empty() && now - sent.front() >= 1s) {
            sent.pop_front();
        }
        cr_assert(static_cast<double>(sent.size()) <= rate + gateways);
    }
}

// A large fleet sees a cold upstream at the same moment. Guards against the first call of each gateway, and
// against a minimum rate per gateway: the sum of either exceeds what the upstream survives.
Test(cold_start_limiter, holds_with_more_gateways_than_calls)
{
    constexpr instant cold_since(100s);
    for (const int gateways : {41, 103, 410}) {
        for (const double rate : {5.0, 18.0}) {
            std::vector<cold_start_limiter> limiters(static_cast<std::size_t>(gateways));
            std::deque<instant> sent;
            for (instant now = cold_since; now < cold_since + 5s; now += 1ms) {
                for (int i = 0; i < gateways; ++i) {
                    const gateway_reach reach{gateways, gateways, i};
                    if (limiters[static_cast<std::size_t>(i)].take(now, {rate, cold_since}, reach)) {
                        sent.push_back(now);
                    }
                }
                while (!sent.empty() && now - sent.front() >= 1s) {
                    sent.pop_front();
                }
                cr_assert(static_cast<double>(sent.size()) <= 1.5 * rate + 5.0, "%d gateways, rate %.0f: %zu",
                          gateways, rate, sent.size());
            }
        }
    }
}
