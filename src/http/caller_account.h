#pragma once

#include "dragonflymill/overload/caller_budget.h"
#include "runtime/clock.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace dragonflymill::http {

/// What one connection holds of a process's budget for callers; released on destruction. Used only on the
/// thread of the connection's server.
class caller_account
{
public:
    caller_account() = default;
    ~caller_account() { close(); }
    caller_account(const caller_account&) = delete;
    auto operator=(const caller_account&) -> caller_account& = delete;

    /// Opens the account and claims what an idle connection takes. Returns false if there is no place or no
    /// memory. `on_evicted` is called when the connection has to give way; see `caller_budget`.
    [[nodiscard]] auto open(std::shared_ptr<caller_budget> budget, caller_budget::eviction_handler on_evicted)
        -> bool
    {
        const auto id = budget->open(runtime::now(), std::move(on_evicted));
        if (!id) {
            return false;
        }
        budget_ = std::move(budget);
        id_ = *id;
        return claim(idle_connection_bytes);
    }
    /// Closes the account and releases all that it holds.
    void close()
    {
        if (const auto budget = std::exchange(budget_, nullptr)) {
            budget->close(id_);
        }
    }
    /// Claims bytes before they are allocated; false if there is no room for them.
    [[nodiscard]] auto claim(std::size_t bytes) -> bool
    {
        return bytes == 0 || (budget_ && budget_->claim(id_, bytes, runtime::now()));
    }
    void release(std::size_t bytes)
    {
        if (budget_) {
            budget_->release(id_, bytes);
        }
    }
    void received(std::size_t bytes)
    {
        if (budget_) {
            budget_->received(id_, bytes, runtime::now());
        }
    }
    void set_phase(caller_phase phase)
    {
        if (budget_) {
            budget_->set_phase(id_, phase, runtime::now());
        }
    }

    /// Memory of a connection between requests: its objects, a parser and two timers.
    static constexpr std::size_t idle_connection_bytes = 4'096;

private:
    std::shared_ptr<caller_budget> budget_;
    caller_budget::caller_id id_ = 0;
};

} // namespace dragonflymill::http
