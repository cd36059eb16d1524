#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::direct {

/// Calls that this gateway may send to one cold upstream. An upstream in cold start crashes at a rate well
/// above what it bears; each gateway keeps to its part of that rate, so that the sum over all holds.
class cold_start_limiter
{
public:
    /// Takes one call; false if it has to go elsewhere. `calls_per_s` is what the upstream bears from all
    /// gateways together, `gateways` how many there may be.
    [[nodiscard]] auto take(instant now, double calls_per_s, int gateways) -> bool;
    /// Whether one is left, without taking it.
    [[nodiscard]] auto available(instant now, double calls_per_s, int gateways) const -> bool;

private:
    [[nodiscard]] auto next_at(double calls_per_s, int gateways) const -> duration;

    instant last_{};
    bool any_ = false;
};

} // namespace dragonflymill::direct
