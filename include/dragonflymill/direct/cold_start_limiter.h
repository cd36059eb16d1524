#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/limit/shared_rate_schedule.h"

namespace dragonflymill::direct {

/// Rate limit of an upstream in cold start.
struct cold_start_limit
{
    double calls_per_s = 0.0; ///< For all gateways together.
    instant since{};          ///< Begin of the cold start.

    friend auto operator==(const cold_start_limit&, const cold_start_limit&) -> bool = default;
};

/// Limits the rate of calls from this gateway to one upstream in cold start, which crashes at a rate well
/// above its limit. Each gateway keeps to an equal share, and the gateways take turns, which bounds the sum
/// over all of them also where they outnumber the calls. Unlike with a limit that an upstream states when it
/// is in need, there is no time for reports: the limit holds from the first second on.
class cold_start_limiter
{
public:
    /// Consumes one call; returns false if the call must go elsewhere.
    [[nodiscard]] auto take(instant now, const cold_start_limit& limit, const gateway_reach& reach) -> bool;
    /// Returns from when on a call is available.
    [[nodiscard]] auto available_at(const cold_start_limit& limit, const gateway_reach& reach) const
        -> instant;

private:
    instant last_{};
    bool used_ = false;
};

} // namespace dragonflymill::direct
