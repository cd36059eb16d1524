#include "dragonflymill/direct/client_retry_detector.h"

#include <algorithm>

namespace dragonflymill::direct {

auto client_retry_detector::elapsed(const std::string& route, duration stated, instant now) -> duration
{
    longest_times& longest = routes_[route];
    if (now - longest.current_since >= window) {
        const bool stale = now - longest.current_since >= 2 * window;
        longest.previous = stale ? duration::zero() : longest.current;
        longest.current = duration::zero();
        longest.current_since = now;
    }
    longest.current = std::max(longest.current, stated);
    const duration total = std::max(longest.current, longest.previous);
    return total - stated > tolerance ? total - stated : duration::zero();
}

} // namespace dragonflymill::direct
