#pragma once

#include "dragonflymill/core/ids.h"

#include <cstdint>

namespace dragonflymill {

/// Recognises datagrams of one sender that come again, so that a recorded one can't be played back.
class replay_window
{
public:
    /// Whether the counter is new for this start of the sender; it is not new a second time.
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
