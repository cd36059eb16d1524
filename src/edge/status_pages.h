#pragma once

#include "edge/caller_session.h"
#include "edge/gateway_metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace dragonflymill::edge {

/// Serves the load balancer's readiness check and the metrics.
class status_pages : public request_handler
{
public:
    /// Sources of the pages' content.
    struct sources
    {
        std::string ready_path;                           ///< Path of the readiness check.
        std::function<bool()> ready;                      ///< Whether the gateway is ready for callers.
        const gateway_metrics& metrics;                   ///< Served at `/metrics`.
        std::function<void(caller_session*)> session_end; ///< Called when a session has closed.
    };

    explicit status_pages(sources shown)
        : sources_(std::move(shown))
    {
    }

    auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<in_flight_request> override;
    [[nodiscard]] auto limits() const -> direct::caller_limits override { return {}; }
    [[nodiscard]] auto closing() const -> bool override { return false; }
    void session_ended(caller_session* session) override { sources_.session_end(session); }

private:
    sources sources_;
};

} // namespace dragonflymill::edge
