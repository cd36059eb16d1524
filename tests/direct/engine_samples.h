#pragma once

#include "dragonflymill/direct/dispatch_policy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Tightest time between tokens (TBT) target of the streams in tests.
inline constexpr duration tight_tbt_target = 200ms;
/// KV cache of a sample engine, in tokens.
inline constexpr std::int64_t sample_memory = 450'000;

/// Profile of an engine with eight accelerators: prefill of 256 tokens per millisecond, and one event per
/// iteration of 46 steps.
inline auto sample_profile() -> engine_profile
{
    return {16, sample_memory, 46, 0.925, 0.00483, 0.00254, 256.0, 0.0917, 2048};
}

/// Returns idle engines with 16 slots, in the order that all gateways share.
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
