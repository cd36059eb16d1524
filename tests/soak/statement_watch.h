#pragma once

#include "soak/promises.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::soak {

/// Checks that each gateway keeps to what upstreams have stated to it: that they want nothing for some time,
/// or that they are draining.
class statement_watch
{
public:
    explicit statement_watch(promises& kept)
        : promises_(kept)
    {
    }

    /// An upstream rejects a call of a gateway and asks it for a pause of this length.
    void rejected(const std::string& upstream, const std::string& gateway, std::chrono::milliseconds length);
    /// A caller has received a response through a gateway that states the drain of its upstream.
    void passed_on_drain(const std::string& upstream, const std::string& gateway);
    /// Records a call that an upstream received from a gateway; the caller sent it at `sent_at`.
    void received(const std::string& upstream, const std::string& gateway, moment sent_at);
    /// A gateway was killed, stopped or paused, or runs again: it may have missed what was stated to it.
    void excuse(const std::string& gateway);
    /// An upstream has restarted, and its new run has stated nothing.
    void restarted(const std::string& upstream);
    /// Number of pauses and drains that gateways have been asked to keep to.
    [[nodiscard]] auto statements() const -> int { return statements_; }

    /// Time for which calls that are under way may still arrive after a rejection.
    static constexpr std::chrono::milliseconds notice_time{500};
    /// Calls of one gateway that an upstream accepts during a pause.
    static constexpr int allowed_calls = 2;
    /// Time after a response that states a drain in which callers may still send calls for the upstream.
    static constexpr std::chrono::milliseconds drain_time{2000};

private:
    struct pause
    {
        moment asked_at;
        moment ends_at;
        int calls = 0;
    };
    using link = std::pair<std::string, std::string>; // upstream and gateway

    promises& promises_;
    std::map<link, std::vector<pause>> pauses_;
    std::map<link, moment> drains_;
    int statements_ = 0;
};

} // namespace dragonflymill::soak
