#pragma once

#include "dragonflymill/core/time.h"

#include <optional>

namespace dragonflymill {

/// Decides how many new connections a process accepts while its event loop is behind.
///
/// A load balancer may hand most new connections of a region to one process for a time. A process that
/// accepts and reads them all serves none in time; one that turns the excess away unread loses nothing, as
/// callers retry elsewhere. The rate falls while the loop lags and rises again afterwards; without a lag
/// there is no limit.
class connection_gate
{
public:
    /// Records how long an event has waited for the event loop.
    void record_lag(duration lag, instant now);
    /// Returns whether a connection that has arrived now is accepted, and counts it.
    [[nodiscard]] auto admit(instant now) -> bool;
    /// Accepted connections per second; nothing: there is no limit.
    [[nodiscard]] auto limit() const -> std::optional<double> { return limit_; }

    /// Lag from which on the loop is behind; a host whose processor share is a quota stands still for up to
    /// 100 ms at ordinary load.
    static constexpr duration max_lag = 150ms;
    /// Time for which it must be behind: a process that was paused is behind only for a moment.
    static constexpr duration min_overload = 100ms;
    /// Time between two changes of the limit.
    static constexpr duration adjust_interval = 100ms;
    /// Factor by which the limit falls while the loop is behind.
    static constexpr double decrease = 0.7;
    /// Factor by which it rises otherwise.
    static constexpr double increase = 1.05;
    /// Lowest limit in connections per second. A process that is ready must go on to accept.
    static constexpr double min_limit = 10.0;
    /// Share of the limit that arrivals must stay below for `release_time` for it to end.
    static constexpr double release_share = 0.7;
    static constexpr duration release_time = 1s; ///< See `release_share`.
    /// Time over which arrivals are averaged.
    static constexpr duration rate_window = 500ms;
    /// Time for which tokens of the limit are collected at the most.
    static constexpr duration max_burst = 100ms;

private:
    void count_arrival(instant now);
    void adjust(bool is_behind, instant now);

    std::optional<double> limit_;
    double arrivals_per_s_ = 0.0; // decaying average
    double tokens_ = 0.0;
    instant counted_at_{};
    instant refilled_at_{};
    instant adjusted_at_{};
    std::optional<instant> behind_since_;
    std::optional<instant> below_since_;
};

} // namespace dragonflymill
