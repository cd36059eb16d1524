#pragma once

#include "soak/promises.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace dragonflymill::soak {

/// Checks that the gateways together stay within the rate limits that upstreams state.
///
/// Counts the calls of gateways that have received a statement at least half a second before. A gateway that
/// was restarted knows nothing, and one that was paused is excused for some seconds.
class limit_watch
{
public:
    explicit limit_watch(promises& kept)
        : promises_(kept)
    {
    }

    /// An upstream states a limit in its responses from now on.
    void begin(const std::string& upstream, double calls_per_s);
    /// An upstream states no limit any more.
    void end(const std::string& upstream) { episodes_.erase(upstream); }
    /// Records a call that an upstream received from a gateway, and answers with its limit.
    void received(const std::string& upstream, const std::string& gateway);
    /// Records that a gateway was killed or stopped, or that it was paused for `pause` from now on.
    void struck(const std::string& gateway, std::chrono::milliseconds pause = {});

    /// Time from the first statement of a limit until it must hold, and after a pause until it must hold
    /// again.
    static constexpr std::chrono::milliseconds settle_time{3000};
    /// Time after a gateway received a statement until its calls count.
    static constexpr std::chrono::milliseconds notice_time{500};
    /// Any time span of this length counts.
    static constexpr std::chrono::milliseconds window{4000};

private:
    struct episode
    {
        double calls_per_s = 0.0;
        moment since;
        std::map<std::string, moment> informed; // by gateway, when it received the first statement
        std::deque<moment> calls;
        bool reported = false;
    };

    promises& promises_;
    std::map<std::string, episode> episodes_;
    std::map<std::string, moment> excused_until_;
};

} // namespace dragonflymill::soak
