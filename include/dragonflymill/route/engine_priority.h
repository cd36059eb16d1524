#pragma once

#include "dragonflymill/core/length_class.h"

#include <cstddef>

namespace dragonflymill {

/// Scheduling priority of a length class at an engine; 0 is served first. Gang requests precede bulk
/// requests: a waiting gang request reserves memory on several engines, which also blocks the bulk prompts
/// behind it.
[[nodiscard]] constexpr auto engine_priority(length_class size) -> std::size_t
{
    switch (size) {
    case length_class::interactive:
        return 0;
    case length_class::medium:
        return 1;
    case length_class::gang:
        return 2;
    case length_class::bulk:
        return 3;
    }
    return 3;
}

/// Priority of deferrable overnight work: lower than every length class.
inline constexpr std::size_t overnight_engine_priority = length_class_count;

} // namespace dragonflymill
