#pragma once

#include "dragonflymill/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonflymill::direct {

/// Limits of the retry budget of one service, for all gateways together.
struct retry_budget_limits
{
    double share = 0.2;    ///< Retries allowed for each first attempt.
    double slack = 0.0;    ///< Additional retries allowed in each window.
    duration window = 10s; ///< The limits hold for any time span of this length.

    friend auto operator==(const retry_budget_limits&, const retry_budget_limits&) -> bool = default;
};

/// Retry budget of this gateway for one service, over a sliding window. Each gateway stays within the share
/// of its own requests and its part of the slack, so the limit on the sum over all gateways holds without
/// exchanging state.
///
/// In a fleet so large that a gateway's part of the slack is less than one retry, the gateways take turns: in
/// its turn, each may use one.
///
/// Guards against retry storms: a fault that fails every call must not multiply the load on the remaining
/// upstreams.
class retry_window
{
public:
    /// Counts a request whose first attempt is being sent.
    void count_first_attempt(instant now);
    /// Takes one retry out of the budget; returns false if none is left. `gateways` gateways share the slack,
    /// of which this one has the position `rank` in a common order.
    [[nodiscard]] auto take(instant now, const retry_budget_limits& bounds, int gateways, int rank = 0)
        -> bool;
    /// Returns whether a retry is left, without taking it.
    [[nodiscard]] auto available(instant now, const retry_budget_limits& bounds, int gateways, int rank = 0)
        -> bool;

    /// Fraction of the allowance that is used. Other processes may count a request in the next window, and a
    /// gateway that has just started is not yet included in `gateways`.
    static constexpr double safety = 0.7;
    /// Number of slices that a window is divided into.
    static constexpr std::size_t slices = 20;
    /// Share of the slack that the gateways whose turn it is may use: a span of a window's length can overlap
    /// two turns.
    static constexpr double turn_share = 0.5;

private:
    struct slice
    {
        std::int64_t number = -1;
        std::uint32_t first_attempts = 0;
        std::uint32_t retries = 0;
    };

    [[nodiscard]] auto current(instant now, duration window) -> slice&;
    /// Returns this gateway's part of the slack of all, in the window that contains a slice.
    [[nodiscard]] static auto slack_part(std::int64_t slice_number, double slack, int gateways, int rank)
        -> double;

    std::array<slice, slices + 1> ring_{};
    duration window_ = 10s;
};

} // namespace dragonflymill::direct
