#pragma once

#include "dragonflymill/core/time.h"

#include <chrono>
#include <thread>

namespace dragonflymill::test {

/// How long a test waits for what has to come; far longer than it takes.
inline constexpr duration generous = 30s;

/// Polls until `condition` holds, at most `generous`.
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
