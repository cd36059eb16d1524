#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace dragonflymill {

/// Queue with a fixed bound between two threads of a daemon. A full ring refuses: the sender counts it and
/// gives the caller a truthful refusal, instead of memory that grows until the process dies.
template <typename T>
class bounded_ring
{
public:
    /// Holds at most `capacity` items.
    explicit bounded_ring(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Adds an item; false, and counted, if the ring is full or closed.
    [[nodiscard]] auto try_push(T item) -> bool
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || items_.size() >= capacity_) {
                ++refused_;
                return false;
            }
            items_.push_back(std::move(item));
        }
        ready_.notify_one();
        return true;
    }

    /// Adds an item, waiting for room: for a producer that must not lose it and may stand still meanwhile,
    /// such as a socket reader, whose peer then waits too. False only if the ring is closed.
    [[nodiscard]] auto push(T item) -> bool
    {
        {
            std::unique_lock lock(mutex_);
            room_.wait(lock, [this] { return closed_ || items_.size() < capacity_; });
            if (closed_) {
                return false;
            }
            items_.push_back(std::move(item));
        }
        ready_.notify_one();
        return true;
    }

    /// Takes the oldest item, waiting until `timeout` for one; nothing if none came or the ring is closed and
    /// empty.
    template <typename Rep, typename Period>
    [[nodiscard]] auto pop_for(std::chrono::duration<Rep, Period> timeout) -> std::optional<T>
    {
        std::unique_lock lock(mutex_);
        ready_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
        if (items_.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(items_.front()));
        items_.pop_front();
        room_.notify_one();
        return item;
    }

    /// Refuses new items from now on and wakes the reader; what is in it can still be taken.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        ready_.notify_all();
        room_.notify_all();
    }

    /// Whether it was closed.
    [[nodiscard]] auto closed() const -> bool
    {
        const std::lock_guard lock(mutex_);
        return closed_;
    }

    /// Items refused so far.
    [[nodiscard]] auto refused() const -> std::uint64_t
    {
        const std::lock_guard lock(mutex_);
        return refused_;
    }

    /// Items in it now.
    [[nodiscard]] auto size() const -> std::size_t
    {
        const std::lock_guard lock(mutex_);
        return items_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable ready_;
    std::condition_variable room_;
    std::deque<T> items_;
    std::size_t capacity_;
    std::uint64_t refused_ = 0;
    bool closed_ = false;
};

} // namespace dragonflymill
