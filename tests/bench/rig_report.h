#pragma once

#include "rig_world.h"

#include <cstdio>
#include <functional>
#include <numeric>
#include <string>

namespace dragonflymill::rig {

/// Median, 95th and 99th percentile.
struct percentiles
{
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    std::size_t count = 0;
};

/// Percentiles of `values`; zeros if it is empty.
inline auto percentiles_of(std::vector<double> values) -> percentiles
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double part) {
        return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
    };
    return {at(0.50), at(0.95), at(0.99), values.size()};
}

/// Outcomes of one policy at one load, with one entry per seed.
struct cell
{
    std::string policy;                       ///< Name of the policy.
    int load = 0;                             ///< Offered load in percent.
    std::vector<std::vector<outcome>> seeds;  ///< Outcomes of each seed.
    std::vector<std::vector<outcome>> shorts; ///< Outcomes of the runs with short requests only.
    std::vector<double> busy; ///< Fraction of the engines' time in steps that prefill, for each seed.
};

/// Extracts a value from an outcome; nothing if the outcome does not count.
using measure = std::function<std::optional<double>(const outcome&)>;

/// Values of a measure in one seed.
inline auto values_of(const std::vector<outcome>& seed, const measure& take) -> std::vector<double>
{
    std::vector<double> values;
    for (const auto& each : seed) {
        const auto value = each.counts ? take(each) : std::nullopt;
        if (value) {
            values.push_back(*value);
        }
    }
    return values;
}

/// Values of a measure in all seeds.
inline auto values_of(const std::vector<std::vector<outcome>>& seeds, const measure& take)
    -> std::vector<double>
{
    std::vector<double> values;
    for (const auto& seed : seeds) {
        const auto more = values_of(seed, take);
        values.insert(values.end(), more.begin(), more.end());
    }
    return values;
}

/// Lowest and highest p99 of a measure over the seeds.
inline auto p99_spread(const std::vector<std::vector<outcome>>& seeds, const measure& take)
    -> std::pair<double, double>
{
    std::pair<double, double> spread{1e300, 0.0};
    for (const auto& seed : seeds) {
        const double p99 = percentiles_of(values_of(seed, take)).p99;
        spread = {std::min(spread.first, p99), std::max(spread.second, p99)};
    }
    return spread;
}

/// Time to first token in seconds, in one bucket, without overnight work.
inline auto first_token_in(std::size_t bucket) -> measure
{
    return [bucket](const outcome& each) -> std::optional<double> {
        if (each.bucket != bucket || !each.first_token || each.priority == work_priority::overnight) {
            return std::nullopt;
        }
        return static_cast<double>(each.first_token->count()) / 1e6;
    };
}

/// Time to first token of short requests in seconds.
inline auto short_first_token(const outcome& each) -> std::optional<double>
{
    if (each.bucket >= short_buckets || !each.first_token) {
        return std::nullopt;
    }
    return static_cast<double>(each.first_token->count()) / 1e6;
}

/// Time to last token of short requests in seconds.
inline auto short_whole(const outcome& each) -> std::optional<double>
{
    if (each.bucket >= short_buckets || !each.whole) {
        return std::nullopt;
    }
    return static_cast<double>(each.whole->count()) / 1e6;
}

/// Time to first token of a short request divided by that on an idle engine.
inline auto first_token_slowdown(const outcome& each) -> std::optional<double>
{
    const auto time = short_first_token(each);
    return time ? std::optional(*time * 1e6 / static_cast<double>(each.alone_first_token.count()))
                : std::nullopt;
}

/// Time to last token of a short request divided by that on an idle engine.
inline auto whole_slowdown(const outcome& each) -> std::optional<double>
{
    const auto time = short_whole(each);
    return time ? std::optional(*time * 1e6 / static_cast<double>(each.alone_whole.count())) : std::nullopt;
}

/// Percentage of the requests of `bucket` (of all requests if there is no such bucket) for which `question`
/// is true.
inline auto percent(const cell& of, std::size_t bucket, const std::function<bool(const outcome&)>& question)
    -> double
{
    double yes = 0.0;
    double all = 0.0;
    for (const auto& seed : of.seeds) {
        for (const auto& each : seed) {
            const bool counts = each.counts && (bucket >= buckets.size() || each.bucket == bucket);
            all += counts ? 1.0 : 0.0;
            yes += counts && question(each) ? 1.0 : 0.0;
        }
    }
    return all > 0.0 ? 100.0 * yes / all : 0.0;
}

/// Ratio of the p99 of a measure in the full mix to the p99 without the long requests, for each seed, sorted.
inline auto mix_over_alone(const cell& of, const measure& take) -> std::vector<double>
{
    std::vector<double> ratios;
    for (std::size_t i = 0; i < of.seeds.size(); ++i) {
        ratios.push_back(percentiles_of(values_of(of.seeds[i], take)).p99 /
                         percentiles_of(values_of(of.shorts[i], take)).p99);
    }
    std::sort(ratios.begin(), ratios.end());
    return ratios;
}

} // namespace dragonflymill::rig
