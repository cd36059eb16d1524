#pragma once

#include "dragonflymill/core/time.h"
#include "runtime/clock.h"

#include <atomic>
#include <memory>
#include <optional>

namespace dragonflymill::gateway {

/// Time of the last receive on one connection. Written by gRPC's threads, read by the core thread.
class connection_activity
{
public:
    /// Records a receive at the current time.
    void record_receive()
    {
        last_received_.store(runtime::now().time_since_epoch().count(), std::memory_order_relaxed);
    }
    /// Returns the time of the last receive; empty if there was none.
    [[nodiscard]] auto last_received_at() const -> std::optional<instant>
    {
        const auto count = last_received_.load(std::memory_order_relaxed);
        return count == never ? std::nullopt : std::optional<instant>(instant(duration(count)));
    }

private:
    static constexpr duration::rep never = -1;
    std::atomic<duration::rep> last_received_{never};
};

/// Shared by a connection and its calls.
using activity_ptr = std::shared_ptr<connection_activity>;

} // namespace dragonflymill::gateway
