#pragma once

#include "edge/caller_session.h"
#include "edge/gateway_metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace dragonflymill::edge {

/// Tells the balancer whether callers may come, and serves the counters.
class status_pages : public request_handler
{
public:
    /// What the pages show.
    struct sources
    {
        std::string ready_path;                           ///< Path at which the balancer asks.
        std::function<bool()> ready;                      ///< Whether callers may come.
        const gateway_metrics& metrics;                   ///< Served at `/metrics`.
        std::function<void(caller_session*)> session_end; ///< Called when a connection ended.
    };

    explicit status_pages(sources shown)
        : shown_(std::move(shown))
    {
    }

    auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<open_request> override;
    [[nodiscard]] auto limits() const -> direct::caller_limits override { return {}; }
    [[nodiscard]] auto closing() const -> bool override { return false; }
    void session_ended(caller_session* session) override { shown_.session_end(session); }

private:
    sources shown_;
};

} // namespace dragonflymill::edge
