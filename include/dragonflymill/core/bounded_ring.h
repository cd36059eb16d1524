#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace dragonflymill {

/// Bounded queue between two threads. `try_push` rejects and counts items when the queue is full, which lets
/// the producer reject the request instead of letting memory grow until the process is killed.
template <typename T>
class bounded_ring
{
public:
    /// Creates a queue of at most `capacity` items.
    explicit bounded_ring(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Adds an item. Returns false and counts the rejection if the queue is full or closed.
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

    /// Adds an item, blocking while the queue is full. For producers that must not lose items and may block,
    /// such as a socket reader, which thereby applies backpressure to its peer. Returns false only if the
    /// queue is closed.
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

    /// Removes and returns the oldest item, waiting up to `timeout` for one. Returns nothing on timeout, or
    /// if the queue is closed and empty.
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

    /// Rejects further items and wakes all waiting threads; queued items can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        ready_.notify_all();
        room_.notify_all();
    }

    /// Whether `close` was called.
    [[nodiscard]] auto closed() const -> bool
    {
        const std::lock_guard lock(mutex_);
        return closed_;
    }

    /// Number of items that `try_push` has rejected.
    [[nodiscard]] auto refused() const -> std::uint64_t
    {
        const std::lock_guard lock(mutex_);
        return refused_;
    }

    /// Number of queued items.
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
