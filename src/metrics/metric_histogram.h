#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace dragonflymill {

/// Bucket layout of a histogram: `count` exponentially growing buckets between `low` and `high`, plus an
/// underflow and an overflow bucket.
struct bucket_layout
{
    double low = 0.001; ///< Lower bound of the first bucket; must be positive.
    double high = 100;  ///< Upper bound of the last bucket.
    unsigned count = 0; ///< Number of buckets between `low` and `high`.

    friend auto operator==(const bucket_layout&, const bucket_layout&) -> bool = default;
};

/// Seconds from 1 ms to 1,000 s, five buckets per decade.
inline constexpr bucket_layout second_buckets{0.001, 1000, 30};
/// Seconds from 1 us to 1 s, for operations within a process.
inline constexpr bucket_layout short_buckets{0.000001, 1, 30};
/// Tokens from 1 to 1,000,000, five buckets per decade.
inline constexpr bucket_layout token_buckets{1, 1'000'000, 30};

/// Cumulative count of the values up to an upper bound.
struct cumulative_bucket
{
    double upper = 0;        ///< Upper bound; infinity in the last bucket.
    std::uint64_t count = 0; ///< Number of values up to the bound.
};

/// Histogram with exponential buckets. Thread-safe.
class metric_histogram
{
public:
    /// Creates an empty histogram.
    explicit metric_histogram(const bucket_layout& layout);
    ~metric_histogram();
    metric_histogram(const metric_histogram&) = delete;
    auto operator=(const metric_histogram&) -> metric_histogram& = delete;

    /// Records a value; NaN and infinite values are ignored.
    void record(double value);
    /// Sum of all recorded values.
    [[nodiscard]] auto sum() const -> double;
    /// Number of recorded values.
    [[nodiscard]] auto count() const -> std::uint64_t;
    /// Cumulative buckets in ascending order; the last one has the bound infinity.
    [[nodiscard]] auto buckets() const -> std::vector<cumulative_bucket>;
    /// Quantile for `share` from 0 to 1, interpolated linearly within its bucket; zero if the histogram is
    /// empty.
    [[nodiscard]] auto quantile(double share) const -> double;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill
