#pragma once

#include <atomic>
#include <cstdint>

namespace dragonflymill {

/// Monotonically increasing counter. Thread-safe.
class metric_counter
{
public:
    /// Increments the counter by `amount`.
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    /// Current count.
    [[nodiscard]] auto value() const -> std::uint64_t { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that can increase and decrease. Thread-safe.
class metric_gauge
{
public:
    /// Replaces the value.
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    /// Adds `amount`, which may be negative.
    void add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    /// Current value.
    [[nodiscard]] auto value() const -> std::int64_t { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

} // namespace dragonflymill
