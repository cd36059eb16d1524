#pragma once

#include "soak/promises.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflymill::soak {

/// Checks that calls with a part of their prompts under which upstreams crash are sent to few upstreams once
/// five have crashed.
class crash_watch
{
public:
    explicit crash_watch(promises& kept)
        : promises_(kept)
    {
    }

    /// Records that a gateway was killed, paused or started: what it sends in the next time doesn't count.
    void excuse(const std::string& gateway);
    /// Records that a call with the part, sent by its caller at `sent_at`, has reached an upstream, which
    /// crashes.
    void crashed(const std::string& request, const std::string& gateway, moment sent_at);
    /// Number of crashes so far.
    [[nodiscard]] auto crashes() const -> int { return static_cast<int>(crashes_.size()); }

    /// Crashes after which calls with the part must no longer be sent.
    static constexpr std::size_t enough_crashes = 5;
    /// Calls that may be sent later.
    static constexpr int max_late_calls = 3;
    /// Time after the fifth crash, or after an excuse, from which on calls count: three seconds, and one for
    /// a loaded machine.
    static constexpr std::chrono::milliseconds reaction_time{4000};

private:
    promises& promises_;
    std::vector<moment> crashes_;
    std::map<std::string, moment> excused_;
    int late_calls_ = 0;
};

} // namespace dragonflymill::soak
