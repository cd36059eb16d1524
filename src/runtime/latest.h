#pragma once

#include <mutex>
#include <utility>

namespace dragonflymill::runtime {

/// Most recent value, shared between threads under a mutex.
template <typename T>
class latest
{
public:
    /// Replaces the value.
    void set(T value)
    {
        const std::lock_guard lock(mutex_);
        value_ = std::move(value);
    }
    /// Returns a copy of the current value.
    [[nodiscard]] auto get() const -> T
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

private:
    mutable std::mutex mutex_;
    T value_{};
};

} // namespace dragonflymill::runtime
