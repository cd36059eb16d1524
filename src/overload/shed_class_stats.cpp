#include "dragonflymill/overload/shed_class_stats.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dragonflymill {

namespace {

constexpr double half_life = 10e6; // microseconds
constexpr double outcome_weight = 0.05;

} // namespace

auto shed_class_of(work_priority priority, length_class size, bool over_share) -> std::size_t
{
    return (index_of(priority) * length_class_count + index_of(size)) * 2 + (over_share ? 1 : 0);
}

void shed_class_stats::offered(instant now, std::size_t shed_class, duration cost)
{
    const double decay = std::exp2(-static_cast<double>((now - decayed_at_).count()) / half_life);
    for (auto& each : tallies_) {
        each.cost *= decay;
        each.count *= decay;
    }
    decayed_at_ = now;
    tallies_[shed_class].cost += static_cast<double>(cost.count());
    tallies_[shed_class].count += 1.0;
}

void shed_class_stats::ended(std::size_t shed_class, bool in_time)
{
    double& part = tallies_[shed_class].in_time;
    part += outcome_weight * ((in_time ? 1.0 : 0.0) - part);
}

auto shed_class_stats::refusal_fractions(const std::array<double, shed_class_count>& rank, double excess,
                                         double most) const -> std::array<double, shed_class_count>
{
    std::array<std::size_t, shed_class_count> order{};
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&rank](std::size_t a, std::size_t b) { return rank[a] < rank[b]; });
    double all = 0.0;
    for (const auto& each : tallies_) {
        all += each.cost;
    }
    double to_refuse = all * excess;
    std::array<double, shed_class_count> parts{};
    for (const auto i : order) {
        const double cost = tallies_[i].cost;
        if (cost > 0.0 && to_refuse > 0.0) {
            parts[i] = std::min(most, to_refuse / cost);
            to_refuse -= parts[i] * cost;
        }
    }
    return parts;
}

} // namespace dragonflymill
