#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace dragonflymill::sidecar {

/// Open calls of one kind, by number. Thread-safe: used on gRPC's threads and on the decision thread.
template <typename Reactor>
class call_registry
{
public:
    /// Adds an open call.
    void add(call_number call, std::shared_ptr<Reactor> reactor)
    {
        const std::lock_guard lock(mutex_);
        open_.insert_or_assign(call, std::move(reactor));
    }
    /// Returns the reactor of a call, or null if the call is done.
    [[nodiscard]] auto find(call_number call) const -> std::shared_ptr<Reactor>
    {
        const std::lock_guard lock(mutex_);
        const auto found = open_.find(call);
        return found == open_.end() ? nullptr : found->second;
    }
    /// Removes a call that is done.
    void remove(call_number call)
    {
        const std::lock_guard lock(mutex_);
        open_.erase(call);
    }

private:
    mutable std::mutex mutex_;
    std::map<call_number, std::shared_ptr<Reactor>> open_;
};

} // namespace dragonflymill::sidecar
