#pragma once

#include "dragonflymill/core/bounded_ring.h"
#include "dragonflymill/core/time.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

namespace dragonflymill::runtime {

/// Event loop thread: handles events from a bounded queue one at a time and lets the handler check its timers
/// when none arrives.
template <typename Event>
class duty_thread
{
public:
    /// Called with each event, or without one after `idle_wait` without an event.
    using handler = std::function<void(std::optional<Event>)>;

    /// `capacity` limits the queue; `idle_wait` is the maximum delay of a timer while no events arrive.
    duty_thread(std::size_t capacity, duration idle_wait)
        : ring_(capacity)
        , idle_wait_(idle_wait)
    {
    }
    ~duty_thread() { stop(); }
    duty_thread(const duty_thread&) = delete;
    auto operator=(const duty_thread&) -> duty_thread& = delete;

    /// Starts the thread.
    void start(handler on_event)
    {
        thread_ = std::thread([this, on_event = std::move(on_event)] { run(on_event); });
    }

    /// Queues an event. Returns false if the queue is full or the thread is stopping; the caller must then
    /// handle the failure.
    [[nodiscard]] auto post(Event event) -> bool { return ring_.try_push(std::move(event)); }

    /// Queues an event, blocking while the queue is full. Returns false only if the thread is stopping. Must
    /// not be called from this thread or from a thread that it waits for, which would deadlock.
    [[nodiscard]] auto post_waiting(Event event) -> bool { return ring_.push(std::move(event)); }

    /// Rejects further events, handles the queued ones and joins the thread.
    void stop()
    {
        ring_.close();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// Number of events rejected because the queue was full or closed.
    [[nodiscard]] auto refused() const -> std::uint64_t { return ring_.refused(); }

private:
    void run(const handler& on_event)
    {
        while (true) {
            auto event = ring_.pop_for(idle_wait_);
            if (!event && ring_.closed()) {
                return;
            }
            on_event(std::move(event));
        }
    }

    bounded_ring<Event> ring_;
    duration idle_wait_;
    std::thread thread_;
};

} // namespace dragonflymill::runtime
