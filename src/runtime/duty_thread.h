#pragma once

#include "dragonflymill/core/bounded_ring.h"
#include "dragonflymill/core/time.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

namespace dragonflymill::runtime {

/// A thread with one duty: it takes events from its bounded ring, one at a time, and looks at its timers in
/// between.
template <typename Event>
class duty_thread
{
public:
    /// Called with each event, and with none when `idle_wait` passes without one.
    using handler = std::function<void(std::optional<Event>)>;

    /// `capacity` bounds the ring; `idle_wait` bounds how late a timer is seen.
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

    /// Hands over an event; false if the ring is full or the thread is stopping, and the sender must answer
    /// for it.
    [[nodiscard]] auto post(Event event) -> bool { return ring_.try_push(std::move(event)); }

    /// Hands over an event, waiting for room; false only if the thread is stopping. Never called from the
    /// thread itself or from one that it waits for.
    [[nodiscard]] auto post_waiting(Event event) -> bool { return ring_.push(std::move(event)); }

    /// Takes no further events, handles those in the ring and ends the thread.
    void stop()
    {
        ring_.close();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// Events refused because the ring was full.
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
