#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace dragonflymill {

/// The buckets of a histogram: `count` of them between `low` and `high`, each wider than the one before by
/// the same factor, and one on either side for what lies outside.
struct bucket_layout
{
    double low = 0.001; ///< Lower edge of the first bucket; above zero.
    double high = 100;  ///< Upper edge of the last bucket.
    unsigned count = 0; ///< Number of buckets between.

    friend auto operator==(const bucket_layout&, const bucket_layout&) -> bool = default;
};

/// Seconds from 1 ms to 1,000 s, five buckets to each factor of ten.
inline constexpr bucket_layout second_buckets{0.001, 1000, 30};
/// Seconds from 1 us to 1 s, for what a process does by itself.
inline constexpr bucket_layout short_buckets{0.000001, 1, 30};
/// Tokens from 1 to a million, five buckets to each factor of ten.
inline constexpr bucket_layout token_buckets{1, 1'000'000, 30};

/// How many values lie at or below an edge.
struct cumulative_bucket
{
    double upper = 0;        ///< The edge; infinity in the last bucket.
    std::uint64_t count = 0; ///< Values at or below it.
};

/// A distribution of values. Callable from every thread.
class metric_histogram
{
public:
    /// An empty one.
    explicit metric_histogram(const bucket_layout& layout);
    ~metric_histogram();
    metric_histogram(const metric_histogram&) = delete;
    auto operator=(const metric_histogram&) -> metric_histogram& = delete;

    /// Adds a value.
    void record(double value);
    /// Sum of all values.
    [[nodiscard]] auto sum() const -> double;
    /// Number of values.
    [[nodiscard]] auto count() const -> std::uint64_t;
    /// Every bucket, from the lowest to infinity.
    [[nodiscard]] auto buckets() const -> std::vector<cumulative_bucket>;
    /// The value below which a `share` of all lie, from 0 to 1, to within its bucket; zero while empty.
    [[nodiscard]] auto quantile(double share) const -> double;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill
