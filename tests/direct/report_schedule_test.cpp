#include "dragonflymill/direct/report_schedule.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr duration interval = 1s;
constexpr duration tick = 100ms;

/// Gateways of a cell and its upstreams, on virtual time. Answers arrive within the tick.
struct report_world
{
    report_world(std::size_t gateways, std::size_t count)
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            names.push_back("gateway-" + std::to_string(i));
            schedules.emplace_back(names.back(), interval);
        }
        speeds.resize(gateways);
        for (std::size_t i = 0; i < count; ++i) {
            upstreams.push_back({"upstream-" + std::to_string(i), 1000 + i});
        }
        connect(names);
    }
    /// Makes the gateways in `alive` each other's only peers.
    void connect(const std::vector<std::string>& alive)
    {
        for (std::size_t i = 0; i < schedules.size(); ++i) {
            std::vector<std::string> peers = alive;
            std::erase(peers, names[i]);
            schedules[i].set_peers(peers);
        }
    }
    /// Runs one tick of the gateways from `first` on; returns the upstreams asked.
    auto step(std::size_t first = 0) -> std::vector<std::string>
    {
        now += tick;
        std::vector<std::string> asked;
        for (std::size_t i = first; i < schedules.size(); ++i) {
            for (const std::string& id : schedules[i].due(upstreams, speeds[i], now)) {
                asked.push_back(id);
                if (id == silent) {
                    schedules[i].finished(id);
                    continue;
                }
                const auto found = std::find_if(upstreams.begin(), upstreams.end(),
                                                [&](const auto& upstream) { return upstream.id == id; });
                speeds[i].observe_stated(found->run, 1.0, now);
                schedules[i].finished(id);
            }
        }
        return asked;
    }
    /// Runs for a time; returns how often each upstream was asked.
    auto run_for(duration time, std::size_t first = 0) -> std::map<std::string, int>
    {
        std::map<std::string, int> counts;
        for (const instant end = now + time; now < end;) {
            const auto asked = step(first);
            busiest_tick = std::max(busiest_tick, asked.size());
            for (const std::string& id : asked) {
                ++counts[id];
            }
        }
        return counts;
    }

    std::vector<std::string> names;
    std::vector<report_schedule> schedules;
    std::vector<upstream_speeds> speeds;
    std::vector<reportable_upstream> upstreams;
    std::string silent; // never answers
    std::size_t busiest_tick = 0;
    instant now{100s};
};

auto total(const std::map<std::string, int>& counts) -> int
{
    int sum = 0;
    for (const auto& [id, count] : counts) {
        sum += count;
    }
    return sum;
}

} // namespace

// Guards against requests that grow with the product of gateways and upstreams, against upstreams that no
// gateway asks, and against all of them being asked in the same tick.
Test(report_schedule, requests_of_all_gateways_stay_one_an_upstream_and_interval)
{
    for (const std::size_t n : {1, 2, 4}) {
        report_world world(10 * n, 15 * n);
        (void)world.run_for(3 * interval);
        world.busiest_tick = 0;
        constexpr int intervals = 20;
        const auto counts = world.run_for(intervals * interval);
        cr_assert(counts.size() == world.upstreams.size(), "%zu are asked", counts.size());
        for (const auto& [id, count] : counts) {
            cr_assert(count >= intervals - 2 && count <= intervals, "%s: %d", id.c_str(), count);
        }
        cr_assert(world.busiest_tick <= world.upstreams.size() / 2, "%zu", world.busiest_tick);
    }
}

// Guards against gateways that each ask for all upstreams until they know each other, when a fleet starts,
// and when their digests are late for a moment.
Test(report_schedule, gateways_that_do_not_know_others_yet_ask_nothing)
{
    report_world world(8, 24);
    world.connect({});
    cr_assert(total(world.run_for(2 * interval - tick)) == 0);
    world.connect(world.names);
    (void)world.run_for(2 * interval);
    const int usual = total(world.run_for(interval));
    world.connect({});
    cr_assert(total(world.run_for(interval / 2 - tick)) <= usual);
    world.connect(world.names);
    cr_assert(total(world.run_for(interval)) <= usual);
}

// Guards against upstreams that nobody asks after their gateway is lost, and against a gateway without peers
// that relies on others.
Test(report_schedule, upstreams_of_lost_gateways_are_asked_by_the_others)
{
    report_world world(8, 24);
    (void)world.run_for(4 * interval);
    for (const std::size_t lost : {3, 7}) {
        world.connect({world.names.begin() + static_cast<std::ptrdiff_t>(lost), world.names.end()});
        (void)world.run_for(2 * interval, lost);
        const auto counts = world.run_for(4 * interval, lost);
        cr_assert(counts.size() == 24, "after the loss of %zu: %zu", lost, counts.size());
        cr_assert(total(counts) <= 4 * 24);
    }
    world.connect(world.names);
    (void)world.run_for(2 * interval);
    cr_assert(total(world.run_for(4 * interval)) <= 4 * 24);
}

// Guards against gateways with different views that each leave an upstream to another one.
Test(report_schedule, upstreams_are_asked_while_gateways_know_different_peers)
{
    report_world world(3, 30);
    world.schedules[0].set_peers({world.names[1]});
    world.schedules[1].set_peers({world.names[2]});
    world.schedules[2].set_peers({world.names[0]});
    (void)world.run_for(3 * interval);
    cr_assert(world.run_for(2 * interval).size() == 30);
}

// Guards against priced requests to upstreams whose speed is known from their streams.
Test(report_schedule, nothing_is_asked_while_evidence_is_recent)
{
    report_world world(1, 4);
    (void)world.run_for(4 * interval);
    for (int i = 0; i < 30; ++i) {
        for (const reportable_upstream& upstream : world.upstreams) {
            world.speeds[0].observe_interval(upstream.run, 10ms, 10ms, world.now);
        }
        cr_assert(world.step().empty());
    }
}

// Guards against an upstream without an answer that is asked as often as the others for ever, or never again,
// and against others that aren't asked because of it.
Test(report_schedule, upstream_without_answers_is_asked_less_often)
{
    report_world world(1, 20);
    world.silent = "upstream-3";
    (void)world.run_for(30 * interval);
    auto counts = world.run_for(24 * interval);
    cr_assert(counts["upstream-3"] >= 2 && counts["upstream-3"] <= 4, "%d", counts["upstream-3"]);
    cr_assert(counts["upstream-4"] >= 22);
    world.silent.clear();
    (void)world.run_for(9 * interval);
    cr_assert(world.run_for(4 * interval)["upstream-3"] >= 3);
}

// Guards against state of upstreams that are gone, which would grow for ever, and against a new run that is
// treated like the earlier one.
Test(report_schedule, state_ends_with_the_run_and_for_upstreams_that_are_gone)
{
    for (const bool restarts : {false, true}) {
        report_world world(1, 2);
        const reportable_upstream first = world.upstreams[0];
        world.silent = first.id;
        (void)world.run_for(30 * interval);
        if (restarts) {
            world.upstreams[0].run += 5000;
        }
        else {
            world.upstreams.erase(world.upstreams.begin());
            (void)world.run_for(9 * interval);
            world.upstreams.push_back(first);
        }
        cr_assert(world.run_for(3 * interval)[first.id] >= 2, "restarts: %d", static_cast<int>(restarts));
    }
}

// Guards against a second request to an upstream that hasn't answered the first, and against one that is
// asked at each return of an entry that comes and goes.
Test(report_schedule, upstream_is_asked_once_at_a_time_and_an_interval)
{
    report_world world(1, 4);
    report_schedule& schedule = world.schedules[0];
    std::size_t asked = 0;
    for (int i = 0; i < 100; ++i) {
        world.now += tick;
        asked += schedule.due(world.upstreams, world.speeds[0], world.now).size();
    }
    cr_assert(asked == 4, "%zu", asked);
    for (const reportable_upstream& upstream : world.upstreams) {
        schedule.finished(upstream.id);
    }
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        const auto listed = std::exchange(world.upstreams, {});
        count += static_cast<int>(world.step().size());
        world.upstreams = listed;
        count += static_cast<int>(world.step().size());
    }
    cr_assert(count <= 4 * 20, "%d", count);
}

// Guards against more requests in flight than the bound, though none is answered, and against requests that
// are never counted as ended.
Test(report_schedule, requests_in_flight_are_bounded)
{
    report_world world(1, 100);
    report_schedule& schedule = world.schedules[0];
    std::vector<std::string> asked;
    for (int i = 0; i < 50; ++i) {
        world.now += tick;
        const auto due = schedule.due(world.upstreams, world.speeds[0], world.now);
        asked.insert(asked.end(), due.begin(), due.end());
    }
    cr_assert(asked.size() == report_schedule::max_in_flight);
    schedule.finished(asked.front());
    schedule.finished(asked.front());
    schedule.finished("unknown");
    // Both the upstream and its request are gone; a restart of another one is in flight still.
    std::erase_if(world.upstreams, [&](const auto& upstream) { return upstream.id == asked[1]; });
    for (auto& upstream : world.upstreams) {
        upstream.run += upstream.id == asked[2] ? 5000 : 0;
    }
    world.now += 60s;
    cr_assert(schedule.due(world.upstreams, world.speeds[0], world.now).size() == 1);
    schedule.finished(asked[1]);
    schedule.finished(asked[2]);
    world.now += 60s;
    cr_assert(schedule.due(world.upstreams, world.speeds[0], world.now).size() == 2);
}

// Guards against a doubt that waits for another gateway's turn, and against one that asks at each tick.
Test(report_schedule, upstream_in_doubt_is_asked_by_any_gateway_at_an_interval)
{
    report_world world(2, 20);
    (void)world.run_for(2 * interval);
    const reportable_upstream doubted = world.upstreams[6];
    for (std::size_t gateway : {0U, 1U}) {
        report_schedule& schedule = world.schedules[gateway];
        upstream_speeds& speeds = world.speeds[gateway];
        std::vector<instant> asked;
        for (int i = 0; i < 15; ++i) {
            world.now += 50ms;
            speeds.observe_interval(doubted.run, 500ms, 100ms, world.now);
            for (const auto& id : schedule.due(world.upstreams, speeds, world.now)) {
                schedule.finished(id);
                if (id == doubted.id) {
                    asked.push_back(world.now);
                }
            }
        }
        cr_assert(!asked.empty() && asked.size() <= 3, "gateway %zu: %zu", gateway, asked.size());
        for (std::size_t i = 1; i < asked.size(); ++i) {
            cr_assert(asked[i] - asked[i - 1] >= report_schedule::doubt_interval);
        }
    }
}
