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
        std::string ready_path;         ///< Path of the readiness check.
        std::function<bool()> ready;    ///< Whether the gateway is ready for callers.
        const gateway_metrics& metrics; ///< Served at `/metrics`.
    };

    /// `on_session_end` is called when a session has closed.
    status_pages(sources shown, std::function<void(caller_session*)> on_session_end)
        : sources_(std::move(shown))
        , on_session_end_(std::move(on_session_end))
    {
    }

    auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<in_flight_request> override;
    [[nodiscard]] auto limits() const -> direct::caller_limits override;
    [[nodiscard]] auto budget() const -> const std::shared_ptr<caller_budget>& override { return budget_; }
    [[nodiscard]] auto body_time(const http::request_reader& head) const -> duration override;
    [[nodiscard]] auto closing() const -> bool override { return false; }
    void session_ended(caller_session* session) override { on_session_end_(session); }

    /// Connections of one port: some for each load balancer and collector of metrics.
    static constexpr std::size_t max_connections = 32;
    /// Memory of one port: its connections, and a page of metrics that each of them is slow to read.
    static constexpr std::size_t max_bytes = 4'194'304;

private:
    sources sources_;
    std::function<void(caller_session*)> on_session_end_;
    std::shared_ptr<caller_budget> budget_ =
        std::make_shared<caller_budget>(caller_budget_limits{max_bytes, max_connections});
};

} // namespace dragonflymill::edge
