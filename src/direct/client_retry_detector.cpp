#include "dragonflymill/direct/client_retry_detector.h"

#include <algorithm>

namespace dragonflymill::direct {

auto client_retry_detector::elapsed(const std::string& route, duration stated, instant now) -> duration
{
    longest_times& longest = routes_[route];
    if (now - longest.current_since >= memory) {
        const bool stale = now - longest.current_since >= 2 * memory;
        longest.previous = stale ? duration::zero() : longest.current;
        longest.current = duration::zero();
        longest.current_since = now;
    }
    longest.current = std::max(longest.current, stated);
    const duration whole = std::max(longest.current, longest.previous);
    return whole - stated > tolerance ? whole - stated : duration::zero();
}

} // namespace dragonflymill::direct
