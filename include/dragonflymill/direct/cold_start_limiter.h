#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::direct {

/// Limits the rate of calls from this gateway to one upstream in cold start, which crashes at a rate well
/// above its limit. Each gateway keeps to an equal share of that limit, which bounds the sum over all
/// gateways.
class cold_start_limiter
{
public:
    /// Consumes one call; returns false if the call must go elsewhere. `calls_per_s` is the upstream's limit
    /// for all gateways together, `gateways` the maximum number of gateways.
    [[nodiscard]] auto take(instant now, double calls_per_s, int gateways) -> bool;
    /// Returns from when on a call is available.
    [[nodiscard]] auto available_at(double calls_per_s, int gateways) const -> instant;

private:
    [[nodiscard]] auto interval(double calls_per_s, int gateways) const -> duration;

    instant last_{};
    bool used_ = false;
};

} // namespace dragonflymill::direct
