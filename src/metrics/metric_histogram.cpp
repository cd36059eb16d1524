#include "metrics/metric_histogram.h"

#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <limits>

namespace dragonflymill {

namespace {

namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
// Atomic counters, which several threads may increment concurrently.
using atomic_cells = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using atomic_histogram = bh::histogram<std::tuple<log_axis>, atomic_cells>;

} // namespace

struct metric_histogram::state
{
    explicit state(const bucket_layout& layout)
        : cells(bh::make_histogram_with(atomic_cells(), log_axis(layout.count, layout.low, layout.high)))
    {
    }

    [[nodiscard]] auto cell(int index) const -> std::uint64_t { return cells.at(index).value(); }

    atomic_histogram cells;
    std::atomic<double> sum{0};
};

metric_histogram::metric_histogram(const bucket_layout& layout)
    : state_(std::make_unique<state>(layout))
{
}

metric_histogram::~metric_histogram() = default;

void metric_histogram::record(double value)
{
    if (!std::isfinite(value)) {
        return;
    }
    state_->cells(value);
    state_->sum.fetch_add(value, std::memory_order_relaxed);
}

auto metric_histogram::sum() const -> double
{
    return state_->sum.load(std::memory_order_relaxed);
}

auto metric_histogram::count() const -> std::uint64_t
{
    return buckets().back().count;
}

auto metric_histogram::buckets() const -> std::vector<cumulative_bucket>
{
    const log_axis& axis = state_->cells.axis();
    std::vector<cumulative_bucket> all;
    all.reserve(static_cast<std::size_t>(axis.size()) + 2);
    // Cell -1 is the underflow bucket, cell `axis.size()` the overflow bucket.
    std::uint64_t total = state_->cell(-1);
    all.push_back({axis.value(0), total});
    for (int i = 0; i < axis.size(); ++i) {
        total += state_->cell(i);
        all.push_back({axis.value(i + 1), total});
    }
    total += state_->cell(axis.size());
    all.push_back({std::numeric_limits<double>::infinity(), total});
    return all;
}

auto metric_histogram::quantile(double share) const -> double
{
    const auto all = buckets();
    const double target_rank = share * static_cast<double>(all.back().count);
    double low = 0;
    std::uint64_t below = 0;
    for (const cumulative_bucket& bucket : all) {
        if (bucket.count > below && static_cast<double>(bucket.count) >= target_rank) {
            if (!std::isfinite(bucket.upper)) {
                return low;
            }
            const double position =
                (target_rank - static_cast<double>(below)) / static_cast<double>(bucket.count - below);
            return low + (bucket.upper - low) * position;
        }
        low = std::isfinite(bucket.upper) ? bucket.upper : low;
        below = bucket.count;
    }
    return 0;
}

} // namespace dragonflymill
