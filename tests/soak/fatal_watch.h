#pragma once

#include "soak/promises.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace dragonflymill::soak {

/// Checks that a request under which upstreams end is sent to none any more once three have ended, however
/// often its caller repeats it.
class fatal_watch
{
public:
    explicit fatal_watch(promises& kept)
        : promises_(kept)
    {
    }

    /// Records that a gateway was killed, paused or started: what it sends in the next time doesn't count.
    void excuse(const std::string& gateway);
    /// Records that an upstream ends under a repetition of `name`, sent by its caller at `sent_at`.
    void ended(const std::string& name, const std::string& gateway, moment sent_at);
    /// Number of ends so far, under all such requests.
    [[nodiscard]] auto ends() const -> int;

    /// Ends after which a request must no longer be sent.
    static constexpr std::size_t enough_ends = 3;
    /// Time after the last of them, or after an excuse, from which on its repetitions count, on a loaded
    /// machine.
    static constexpr std::chrono::milliseconds reaction_time{1500};

private:
    promises& promises_;
    std::map<std::string, std::vector<moment>> ends_;
    std::map<std::string, moment> excused_;
};

} // namespace dragonflymill::soak
