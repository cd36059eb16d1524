#pragma once

#include "dragonflymill/core/time.h"

#include <chrono>
#include <thread>

namespace dragonflymill::test {

/// Longest wait for an expected event; far longer than any takes.
inline constexpr duration generous = 30s;

/// Polls until `condition` holds; false if it does not within `generous`.
template <typename Condition>
[[nodiscard]] auto comes_true(Condition condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + generous;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace dragonflymill::test
