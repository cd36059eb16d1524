#pragma once

#include "dragonflymill/core/length_class.h"

#include <cstddef>

namespace dragonflymill {

/// Priority of a class at an engine; 0 is served first. Gangs go before bulk: while one waits in line it
/// holds the memory of several engines, so that bulk prompts behind it can't get in either.
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

/// Priority of work that may wait for the night: behind every class.
inline constexpr std::size_t overnight_engine_priority = length_class_count;

} // namespace dragonflymill
