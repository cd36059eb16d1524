#pragma once

#include <mutex>
#include <utility>

namespace dragonflymill::runtime {

/// The newest value that one thread has for others.
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
    /// The value as it is now.
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
