#pragma once

#include "dragonflymill/direct/dispatch_policy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Shortest pause aim of the streams in tests.
inline constexpr duration tight_pause = 200ms;
/// Memory of a sample engine, in tokens.
inline constexpr std::int64_t sample_memory = 450'000;

/// A model engine of eight accelerators: 256 tokens are read in a millisecond, an event is a pass of 46
/// steps.
inline auto sample_figures() -> engine_profile
{
    return {16, sample_memory, 46, 0.925, 0.00483, 0.00254, 256.0, 0.0917, 2048};
}

/// Idle engines of 16 slots, in the order that all gateways share.
inline auto idle_engines(int count) -> std::vector<dispatch_candidate>
{
    std::vector<dispatch_candidate> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        made.push_back({"engine-" + std::to_string(i), "a", 16, false, {}});
    }
    sort_for_partition(made);
    return made;
}

} // namespace dragonflymill::direct
