#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/quarantine/crash_evidence.h"

#include <optional>
#include <string_view>

namespace dragonflymill {

/// Upstreams that ended under one request, one after the other, since it was answered last.
struct consecutive_ends
{
    int count = 0;  ///< Distinct upstreams.
    int alone = 0;  ///< Of these, the ones that didn't end together with several others.
    instant last{}; ///< When the latest of them ended.

    friend auto operator==(const consecutive_ends&, const consecutive_ends&) -> bool = default;
};

/// Returns the ends under calls with an own part. Calls that were in flight at the same time count once: what
/// ended their upstreams may be a cause that these have in common.
[[nodiscard]] auto count_consecutive_ends(const crash_evidence& evidence, prompt_part own, instant now)
    -> consecutive_ends;

/// Returns until when a gateway doesn't send calls with an own part, since too many upstreams have ended
/// under them; nothing if it may send them. Gateways differ by up to `release_spread`, so that not all of
/// them try a popular request at once.
[[nodiscard]] auto request_blocked_until(const consecutive_ends& ends, prompt_part own,
                                         std::string_view gateway) -> std::optional<instant>;

/// Upstreams that may end alone under one request, over all of its caller's repetitions at all gateways.
inline constexpr int max_ends = 3;
/// Upstreams that may end under it in any way. Those that end together with several others may be a lost
/// rack.
inline constexpr int max_shared_ends = 5;
/// Upstreams that end within this time end together.
inline constexpr duration same_moment = 20ms;
/// Number of upstreams that must end together for a common cause to be likely. Two may do by chance.
inline constexpr int min_common_losses = 3;
/// Time from the last of these ends in which the request isn't sent. It exceeds the deadlines of calls,
/// so that a caller's repetitions end before.
inline constexpr duration first_block_time = 30s;
/// The same after one more end, and after each further one.
inline constexpr duration second_block_time = 5min;
inline constexpr duration later_block_time = 10min; ///< See `second_block_time`.
/// Time over which gateways release a request.
inline constexpr duration release_spread = 30s;

} // namespace dragonflymill
