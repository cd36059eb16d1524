#pragma once

#include "dragonflymill/core/ids.h"

#include <cstdint>

namespace dragonflymill {

/// Detects duplicate datagrams of one sender, so that a recorded datagram can't be replayed.
class replay_window
{
public:
    /// Returns whether the counter is new for this incarnation of the sender, and marks it as seen. Returns
    /// false for an earlier incarnation and for a counter too old for the window.
    [[nodiscard]] auto accept(incarnation start, std::uint64_t counter) -> bool
    {
        if (start != start_) {
            if (start < start_) {
                return false;
            }
            start_ = start;
            highest_ = counter;
            seen_ = 1;
            return true;
        }
        if (counter > highest_) {
            const auto ahead = counter - highest_;
            seen_ = ahead >= width ? 1 : (seen_ << ahead) | 1U;
            highest_ = counter;
            return true;
        }
        const auto behind = highest_ - counter;
        if (behind >= width || ((seen_ >> behind) & 1U) != 0) {
            return false;
        }
        seen_ |= std::uint64_t{1} << behind;
        return true;
    }

private:
    static constexpr std::uint64_t width = 64;

    incarnation start_;
    std::uint64_t highest_ = 0;
    std::uint64_t seen_ = 0;
};

} // namespace dragonflymill
