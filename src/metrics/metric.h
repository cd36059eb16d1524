#pragma once

#include <atomic>
#include <cstdint>

namespace dragonflymill {

/// A count that only rises. Callable from every thread.
class metric_counter
{
public:
    /// Adds to the count.
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    /// The count so far.
    [[nodiscard]] auto value() const -> std::uint64_t { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that rises and falls. Callable from every thread.
class metric_gauge
{
public:
    /// Replaces the value.
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    /// Adds to the value; a negative amount lowers it.
    void add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    /// The value now.
    [[nodiscard]] auto value() const -> std::int64_t { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

} // namespace dragonflymill
