#pragma once

#include "dragonflymill/core/time.h"

#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// Distinguishes a client's first attempt from a retry after a refusal.
///
/// A retrying client states less remaining time than a new one, and carries no identifier from the refusal.
/// The longest remaining time that clients of the same route state is taken as the total time of each.
class client_retry_detector
{
public:
    /// Records the remaining time that a client of `route` states. Returns how long ago its first attempt
    /// began; zero for a first attempt.
    auto elapsed(const std::string& route, duration stated, instant now) -> duration;

    /// Stated times that differ by no more than this count as equal, because clients round them.
    static constexpr duration tolerance = 20ms;
    /// The longest stated time expires after one to two windows. If clients shorten their timeouts, their
    /// first attempts are therefore not taken for retries permanently.
    static constexpr duration window = 10s;

private:
    struct longest_times
    {
        duration current{};
        duration previous{};
        instant current_since{};
    };

    std::unordered_map<std::string, longest_times> routes_;
};

} // namespace dragonflymill::direct
