#include "dragonflymill/overload/shedding_policies.h"

#include <algorithm>

namespace dragonflymill {

namespace {

/// Returns the first of `running` that may be paused, until they free the excess fraction of all remaining
/// cost.
auto pause_in_order(instant now, const load_signal& load, std::span<const running_work> running)
    -> std::vector<request_id>
{
    double all = 0.0;
    for (const auto& each : running) {
        all += static_cast<double>(each.cost_left.count());
    }
    double to_free = all * load.excess();
    std::vector<request_id> paused;
    for (const auto& each : running) {
        if (to_free > 0.0 && may_pause(now, each)) {
            paused.push_back(each.work.request);
            to_free -= static_cast<double>(each.cost_left.count());
        }
    }
    return paused;
}

auto decide(bool refused, const load_signal& load) -> admission
{
    return refused ? admission(refuse_overloaded(load)) : admission(admit_work{});
}

} // namespace

auto no_shedding::offer(instant /*now*/, const offered_work& /*work*/, const load_signal& /*load*/)
    -> admission
{
    return admit_work{};
}

auto no_shedding::pause(instant /*now*/, const load_signal& /*load*/,
                        std::span<const running_work> /*running*/) -> std::vector<request_id>
{
    return {};
}

void no_shedding::ended(instant /*now*/, const offered_work& /*work*/, bool /*in_time*/) {}

auto random_shedding::offer(instant /*now*/, const offered_work& /*work*/, const load_signal& load)
    -> admission
{
    return decide(random_.chance(load.excess()), load);
}

auto random_shedding::pause(instant now, const load_signal& load, std::span<const running_work> running)
    -> std::vector<request_id>
{
    return pause_in_order(now, load, running);
}

void random_shedding::ended(instant /*now*/, const offered_work& /*work*/, bool /*in_time*/) {}

auto priority_shedding::offer(instant now, const offered_work& work, const load_signal& load) -> admission
{
    const std::size_t own = shed_class_of(work.priority, work.size, shares_.over_share(now, work.account));
    classes_.offered(now, own, work.cost);
    shares_.add_cost(now, work.account, work.cost);
    std::array<double, shed_class_count> rank{};
    for (std::size_t i = 0; i < shed_class_count; ++i) {
        const std::size_t priority = i / (length_class_count * 2);
        rank[i] = -static_cast<double>(priority * 2 + i % 2);
    }
    const auto parts = classes_.refusal_fractions(rank, load.excess(), 1.0);
    return decide(random_.chance(parts[own]), load);
}

auto priority_shedding::pause(instant now, const load_signal& load, std::span<const running_work> running)
    -> std::vector<request_id>
{
    return pause_in_order(now, load, running);
}

void priority_shedding::ended(instant /*now*/, const offered_work& /*work*/, bool /*in_time*/) {}

auto contribution_shedding::offer(instant now, const offered_work& work, const load_signal& load) -> admission
{
    const std::size_t own = shed_class_of(work.priority, work.size, shares_.over_share(now, work.account));
    classes_.offered(now, own, work.cost);
    shares_.add_cost(now, work.account, work.cost);
    const auto parts = classes_.refusal_fractions(ranks(), load.excess(), settings_.max_refused_fraction);
    return decide(random_.chance(parts[own]), load);
}

auto contribution_shedding::ranks() const -> std::array<double, shed_class_count>
{
    std::array<double, shed_class_count> rank{};
    for (std::size_t i = 0; i < shed_class_count; ++i) {
        const auto& tally = classes_.of(i);
        const double utility = settings_.utility[i / (length_class_count * 2)] * tally.in_time;
        const double fair = i % 2 == 1 ? settings_.over_share_factor : 1.0;
        const double mean_cost = tally.count > 0.0 ? tally.cost / tally.count : 1.0;
        rank[i] = utility * fair / std::max(1.0, mean_cost);
    }
    return rank;
}

auto contribution_shedding::pause(instant now, const load_signal& load, std::span<const running_work> running)
    -> std::vector<request_id>
{
    std::vector<running_work> order(running.begin(), running.end());
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.cost_left > b.cost_left; });
    return pause_in_order(now, load, order);
}

void contribution_shedding::ended(instant now, const offered_work& work, bool in_time)
{
    classes_.ended(shed_class_of(work.priority, work.size, shares_.over_share(now, work.account)), in_time);
}

} // namespace dragonflymill
