#pragma once

#include "dragonflymill/core/time.h"

#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// Tells a caller's first attempt from its return after a refusal.
///
/// A caller that returns has less time left than one that just began, and no name that a refusal could have
/// given it. The longest time that callers of the same route state is taken for the whole time of each.
class client_retry_detector
{
public:
    /// Notes the time left that a caller of `route` states, and returns how long ago its first attempt began:
    /// zero for a first attempt.
    auto elapsed(const std::string& route, duration stated, instant now) -> duration;

    /// Stated times that differ by less are equal: callers round them.
    static constexpr duration tolerance = 20ms;
    /// The longest stated time is forgotten after one to two of these, so that callers which become less
    /// patient are not taken for returning ones for good.
    static constexpr duration memory = 10s;

private:
    struct longest_times
    {
        duration current{};
        duration previous{};
        instant current_since{};
    };

    std::unordered_map<std::string, longest_times> routes_;
};

} // namespace dragonflymill::direct
