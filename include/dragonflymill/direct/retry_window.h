#pragma once

#include "dragonflymill/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonflymill::direct {

/// Bounds of second attempts at one service, over all gateways together.
struct retry_budget_limits
{
    double share = 0.2;    ///< Second attempts for each first one.
    double slack = 0.0;    ///< Second attempts allowed besides, in each window.
    duration window = 10s; ///< Any span of this length counts.

    friend auto operator==(const retry_budget_limits&, const retry_budget_limits&) -> bool = default;
};

/// Second attempts that this gateway may make at one service. Each gateway keeps to the share of its own
/// requests and to its part of the slack, so the sum over all gateways holds without a digest between them.
///
/// Guards against a retry storm: a fault that fails every call must not multiply the load on what is left.
class retry_window
{
public:
    /// A request's first attempt is being sent.
    void count_first_attempt(instant now);
    /// Takes one second attempt; false if none is left. `gateways` share the slack.
    [[nodiscard]] auto take(instant now, const retry_budget_limits& bounds, int gateways) -> bool;
    /// Whether one is left, without taking it.
    [[nodiscard]] auto available(instant now, const retry_budget_limits& bounds, int gateways) -> bool;

    /// Part of the allowance that is used: others may count a request in the next window, and a gateway that
    /// just started is not yet among those that share.
    static constexpr double safety = 0.7;
    /// Slices that a window is counted in.
    static constexpr std::size_t slices = 20;

private:
    struct slice
    {
        std::int64_t number = -1;
        std::uint32_t first = 0;
        std::uint32_t again = 0;
    };

    [[nodiscard]] auto current(instant now, duration window) -> slice&;

    std::array<slice, slices + 1> ring_{};
    duration window_ = 10s;
};

} // namespace dragonflymill::direct
