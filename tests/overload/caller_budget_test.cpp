#include "dragonflymill/overload/caller_budget.h"

#include "dragonflymill/core/random_source.h"
#include "support/schedule_seeds.h"

#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace dragonflymill;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr instant start{1h};

/// A budget and the connections that had to give way.
struct recorded_budget
{
    explicit recorded_budget(caller_budget_limits limits)
        : budget(limits)
    {
    }

    auto open(instant now) -> caller_budget::caller_id
    {
        const auto number = std::make_shared<caller_budget::caller_id>(0);
        const auto opened = budget.open(now, [this, number](caller_eviction) { evicted.push_back(*number); });
        *number = opened.value_or(0);
        return *number;
    }
    /// Opens a connection whose request has received `bytes` and holds them.
    auto open_receiving(std::size_t bytes, instant now) -> caller_budget::caller_id
    {
        const auto id = open(now);
        budget.set_phase(id, caller_phase::receiving, now);
        budget.received(id, bytes, now);
        cr_assert(budget.claim(id, bytes, now));
        return id;
    }

    caller_budget budget;
    std::vector<caller_budget::caller_id> evicted;
};

} // namespace

// Guards against a stalled request that keeps its memory while a moving one is rejected.
Test(caller_budget, least_progress_for_what_is_held_gives_way)
{
    recorded_budget callers({1'000 * kibibyte, 100});
    const auto moving = callers.open_receiving(400 * kibibyte, start);
    const auto stalled = callers.open_receiving(400 * kibibyte, start);
    callers.budget.received(moving, 400 * kibibyte, start + 4s);
    (void)callers.open_receiving(300 * kibibyte, start + 4s);
    cr_assert(callers.evicted == std::vector{stalled});
    cr_assert(callers.budget.held_by(stalled) == 0 && callers.budget.held() == 700 * kibibyte);
}

// Guards against small requests that are evicted or rejected while larger ones stall.
Test(caller_budget, small_request_that_just_arrived_finds_room)
{
    recorded_budget callers({1'000 * kibibyte, 100});
    for (int count = 0; count < 2; ++count) {
        (void)callers.open_receiving(437 * kibibyte, start);
    }
    const auto small = callers.open_receiving(kibibyte, start + 1s);
    (void)callers.open_receiving(200 * kibibyte, start + 1s);
    cr_assert(callers.evicted.size() == 1 && callers.evicted[0] != small);
}

// Guards against a small request that is evicted by large ones, which have received more.
Test(caller_budget, large_requests_leave_small_ones_alone)
{
    recorded_budget callers({1'000 * kibibyte, 100});
    const auto idle = callers.open(start);
    cr_assert(callers.budget.claim(idle, 4 * kibibyte, start));
    const auto small = callers.open(start);
    callers.budget.set_phase(small, caller_phase::receiving, start);
    cr_assert(callers.budget.claim(small, 30 * kibibyte, start));
    for (int count = 0; count < 20; ++count) {
        (void)callers.open_receiving(100 * kibibyte, start + duration(count));
    }
    cr_assert(!callers.evicted.empty());
    cr_assert(callers.budget.held_by(idle) == 4 * kibibyte && callers.budget.held_by(small) == 30 * kibibyte);
}

// Guards against a new small request that finds no room among others that came at once and then stalled.
Test(caller_budget, new_small_request_outlives_stalled_small_ones)
{
    recorded_budget callers({1'000 * kibibyte, 100});
    for (int count = 0; count < 33; ++count) {
        (void)callers.open_receiving(30 * kibibyte, start);
    }
    const auto late = callers.open(start + 100ms);
    callers.budget.set_phase(late, caller_phase::receiving, start + 100ms);
    callers.budget.received(late, 200, start + 100ms);
    cr_assert(callers.budget.claim(late, 30 * kibibyte, start + 100ms));
    cr_assert(callers.evicted.size() == 1 && callers.evicted[0] != late);
}

// Guards against a call that is under way and loses its memory to one that isn't complete.
Test(caller_budget, complete_requests_keep_what_they_hold)
{
    recorded_budget callers({1'000 * kibibyte, 100});
    for (int count = 0; count < 4; ++count) {
        const auto id = callers.open_receiving(200 * kibibyte, start);
        callers.budget.set_phase(id, caller_phase::responding, start);
    }
    const auto late = callers.open(start + 10s);
    callers.budget.set_phase(late, caller_phase::receiving, start + 10s);
    cr_assert(!callers.budget.claim(late, 200 * kibibyte, start + 10s));
    cr_assert(callers.evicted.empty());
    cr_assert(callers.budget.claim(late, 60 * kibibyte, start + 10s), "a small request has its own share");
}

// Guards against a claim that evicts others though its own request has made least progress.
Test(caller_budget, claimant_that_is_next_is_refused)
{
    recorded_budget callers({1'000 * kibibyte, 100});
    const auto stalled = callers.open_receiving(500 * kibibyte, start);
    const auto moving = callers.open_receiving(300 * kibibyte, start);
    callers.budget.received(moving, 300 * kibibyte, start + 5s);
    cr_assert(!callers.budget.claim(stalled, 300 * kibibyte, start + 5s));
    cr_assert(callers.evicted.empty() && callers.budget.counts().claims_refused == 1);
}

// Guards against new callers that find no place behind idle or stalled connections.
Test(caller_budget, longest_idle_connection_makes_place)
{
    recorded_budget callers({1'000 * kibibyte, 3});
    const auto receiving = callers.open_receiving(kibibyte, start);
    const auto idle = callers.open(start + 1s);
    const auto idle_later = callers.open(start + 2s);
    (void)callers.open(start + 3s);
    cr_assert(callers.evicted == std::vector{idle});
    callers.budget.set_phase(idle_later, caller_phase::responding, start + 3s);
    (void)callers.open(start + 4s);
    const auto last = callers.open(start + 5s);
    callers.budget.set_phase(last, caller_phase::responding, start + 5s);
    (void)callers.open(start + 6s);
    cr_assert(callers.evicted.back() == receiving);
    cr_assert(callers.budget.connections() == 3);
}

// Guards against calls under way that are closed for new connections.
Test(caller_budget, calls_under_way_keep_their_connections)
{
    recorded_budget callers({1'000 * kibibyte, 2});
    for (int count = 0; count < 2; ++count) {
        callers.budget.set_phase(callers.open(start), caller_phase::responding, start);
    }
    cr_assert(callers.open(start + 1s) == 0);
    cr_assert(callers.evicted.empty() && callers.budget.counts().connections_refused == 1);
}

// Guards against callers who don't read their answers and take all places, and against the loss of such an
// answer while another connection can give way.
Test(caller_budget, unread_responses_give_way_last)
{
    recorded_budget callers({1'000 * kibibyte, 2});
    const auto unread = callers.open_receiving(200 * kibibyte, start);
    callers.budget.set_phase(unread, caller_phase::flushing, start);
    const auto receiving = callers.open_receiving(kibibyte, start + 1s);
    const auto late = callers.open(start + 2s);
    cr_assert(callers.evicted == std::vector{receiving});
    callers.budget.set_phase(late, caller_phase::responding, start + 2s);
    cr_assert(callers.open(start + 3s) != 0);
    cr_assert(callers.evicted.back() == unread);
}

// Guards against a count that differs from what is held, and against a total above the limit.
Test(caller_budget, counts_what_is_held_and_stays_within_its_limits)
{
    test::run_schedules(200, "test_overload", "caller_budget/counts_what_is_held_and_stays_within_its_limits",
                        [](std::uint64_t seed) -> std::optional<std::string> {
                            random_source random(seed);
                            const caller_budget_limits limits{100 * kibibyte + random.below(1'000 * kibibyte),
                                                              2 + random.below(20)};
                            caller_budget budget(limits);
                            std::map<caller_budget::caller_id, std::size_t> held;
                            std::map<caller_budget::caller_id, caller_phase> phases;
                            instant now = start;
                            std::string broken;
                            for (int step = 0; step < 500 && broken.empty(); ++step) {
                                now += duration(static_cast<duration::rep>(random.below(400'000)));
                                const auto some = [&] {
                                    auto found = held.begin();
                                    std::advance(found,
                                                 static_cast<std::ptrdiff_t>(random.below(held.size())));
                                    return found->first;
                                };
                                const auto action = held.empty() ? 0 : random.below(8);
                                if (action == 0) {
                                    const auto number = std::make_shared<caller_budget::caller_id>(0);
                                    const auto opened = budget.open(now, [&, number](caller_eviction why) {
                                        if (phases[*number] == caller_phase::responding) {
                                            broken = "a call under way was evicted";
                                        }
                                        held[*number] = 0;
                                        if (why == caller_eviction::connections) {
                                            held.erase(*number);
                                        }
                                        phases[*number] = caller_phase::closing;
                                    });
                                    if (opened) {
                                        *number = *opened;
                                        held[*opened] = 0;
                                        phases[*opened] = caller_phase::idle;
                                    }
                                }
                                else if (action <= 3) {
                                    const auto id = some();
                                    const std::size_t bytes = random.below(200 * kibibyte);
                                    if (budget.claim(id, bytes, now)) {
                                        held[id] += bytes;
                                    }
                                }
                                else if (action == 4) {
                                    const auto id = some();
                                    const std::size_t bytes = random.below(100 * kibibyte);
                                    budget.release(id, bytes);
                                    held[id] -= std::min(bytes, held[id]);
                                }
                                else if (action == 5) {
                                    const auto id = some();
                                    budget.close(id);
                                    held.erase(id);
                                }
                                else if (action == 6) {
                                    budget.received(some(), random.below(100 * kibibyte), now);
                                }
                                else {
                                    const auto id = some();
                                    phases[id] = static_cast<caller_phase>(random.below(5));
                                    budget.set_phase(id, phases[id], now);
                                }
                                std::size_t total = 0;
                                for (const auto& [id, bytes] : held) {
                                    total += bytes;
                                    if (budget.held_by(id) != bytes) {
                                        broken = "the count of a connection is wrong";
                                    }
                                }
                                if (budget.held() != total || total > limits.bytes ||
                                    budget.connections() != held.size() || held.size() > limits.connections) {
                                    broken = "the total is wrong or above its limit";
                                }
                            }
                            return broken.empty() ? std::nullopt : std::optional(broken);
                        });
}
