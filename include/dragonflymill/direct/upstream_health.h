#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/attempt_rules.h"

#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// Decides from the outcome of calls which upstreams to avoid.
///
/// A health check can pass while calls fail, and fail while calls succeed; only the outcome of calls counts.
/// A failed upstream is suspect for a backoff that doubles with each further failure. Then it gets one call
/// at a time as a probe, until a call succeeds.
class upstream_health
{
public:
    /// Records an attempt whose failure is attributed to this upstream.
    void record_end(const std::string& upstream, attempt_end end, instant now);
    /// Records a failed connection, a timeout or a closed connection.
    void lost(const std::string& upstream, instant now);
    /// Records an error response or an invalid one. Some calls fail for reasons of their own, so the upstream
    /// becomes suspect only if its share of failures is well above the usual one.
    void failed(const std::string& upstream, instant now);
    /// Records a call that the upstream rejected for lack of capacity. The upstream is healthy, but the load
    /// tracker doesn't know all of its load.
    void full(const std::string& upstream, instant now);
    /// Records a complete answer.
    void record_success(const std::string& upstream);
    /// Returns whether calls should avoid the upstream; `own_calls` of this gateway are in flight there.
    [[nodiscard]] auto suspect(const std::string& upstream, int own_calls, instant now) const -> bool;
    /// Removes an upstream that no longer exists.
    void forget(const std::string& upstream) { records_.erase(upstream); }

    /// Backoff after the first loss; exceeds the usual short outage of a link.
    static constexpr duration first_pause = 400ms;
    /// Backoff after a rejection; some calls end and free capacity in this time.
    static constexpr duration full_pause = 300ms;
    /// Maximum backoff after further losses; a crashed upstream restarts within seconds.
    static constexpr duration longest_pause = 3s;
    /// Weight of the newest call in the share of failures.
    static constexpr double failure_weight = 0.15;
    /// The same for a call that was lost.
    static constexpr double loss_weight = 0.3;
    /// Above this share of failures a success doesn't shorten the next backoff; an upstream that fails
    /// intermittently would otherwise be used again at once.
    static constexpr double healthy_failure_share = 0.15;
    /// Above this share of failures an error response makes an upstream suspect: twice the share of services
    /// that reject one call in seven for reasons of their own.
    static constexpr double suspect_failure_share = 0.3;

private:
    struct record
    {
        int losses = 0;
        double failure_share = 0.0;
        bool probing = false;
        instant suspect_until{};
        instant rejected_until{};
    };

    void mark_suspect(record& found, instant now);

    std::unordered_map<std::string, record> records_;
};

} // namespace dragonflymill::direct
