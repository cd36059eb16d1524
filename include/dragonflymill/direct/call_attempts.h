#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/attempt_rules.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::direct {

/// The upstream that caused the end of an attempt.
struct attempted_upstream
{
    std::string upstream;       ///< Id of the upstream that answered, did not respond, or is the lost prefill
                                ///< engine.
    std::string failure_domain; ///< Failure domain of the upstream.

    friend auto operator==(const attempted_upstream&, const attempted_upstream&) -> bool = default;
};

/// Counts the attempts of one call and derives which upstreams and failure domains the next one avoids.
///
/// Long prompts are prefilled by engines of all failure domains together. When a failure domain fails, each
/// plan names several lost engines, but a rejection reports only one of them. Excluding only that engine
/// would use up all attempts before the last lost engine is known, so the whole failure domain is avoided.
class call_attempts
{
public:
    /// Counts a dispatch of the call to an upstream.
    void dispatched() { ++dispatched_; }
    /// Records an attempt that ended without a response that may be forwarded.
    void ended(attempt_end end, const attempted_upstream& attempted, instant now);

    /// Returns whether an attempt at this upstream has already ended without a response.
    [[nodiscard]] auto tried(std::string_view upstream) const -> bool;
    /// Returns whether the upstream could not be reached lately.
    [[nodiscard]] auto is_unreachable(std::string_view upstream, instant now) const -> bool;
    /// Returns whether the next attempt should prefer other failure domains, if they have free capacity.
    [[nodiscard]] auto avoids(std::string_view failure_domain, instant now) const -> bool;
    /// Returns whether any failure domain is avoided.
    [[nodiscard]] auto avoids_any(instant now) const -> bool;
    /// Returns the minimum time from the end of the last attempt to the next one, however it ended. Some
    /// attempts follow at once, unless the last upstream had been tried before: then others to choose are
    /// lacking.
    [[nodiscard]] auto retry_delay() const -> duration;
    /// Number of times that the call was dispatched.
    [[nodiscard]] auto count() const -> std::uint64_t { return dispatched_; }
    /// Number of attempts that reached or may have reached an upstream.
    [[nodiscard]] auto arrivals() const -> int { return arrivals_; }
    /// Number of attempts in which the call may have run.
    [[nodiscard]] auto run() const -> int { return run_; }
    /// Number of attempts that an upstream ended by closing the connection.
    [[nodiscard]] auto disconnects() const -> int { return disconnects_; }
    /// Number of attempts that an upstream rejected for a reason of its own.
    [[nodiscard]] auto rejections() const -> int { return rejections_; }

    friend auto operator==(const call_attempts&, const call_attempts&) -> bool = default;

    /// Number of unreachable upstreams in a failure domain from which on the domain is avoided. A single one
    /// may merely have crashed.
    static constexpr int domain_avoidance_threshold = 2;
    /// Time for which an unreachable upstream, or a failure domain with several, is avoided. Lost upstreams
    /// disappear from the published list, or recover, within seconds.
    static constexpr duration domain_avoidance = 1s;

    /// Number of attempts at distinct upstreams that aren't delayed. Each of them may be lost without the
    /// gateway knowing, as when a failure domain has just failed.
    static constexpr std::uint64_t undelayed_attempts = 8;
    /// Delay of the next attempt; it doubles with each further one.
    static constexpr duration first_retry_delay = 10ms;
    static constexpr duration max_retry_delay = 200ms; ///< See `first_retry_delay`.

private:
    /// An upstream that could not be reached.
    struct unreachable_upstream
    {
        attempted_upstream attempted;
        instant seen_at{};

        friend auto operator==(const unreachable_upstream&, const unreachable_upstream&) -> bool = default;
    };

    void record_unreachable(const attempted_upstream& attempted, instant now);

    std::uint64_t dispatched_ = 0;
    int arrivals_ = 0;
    int run_ = 0;
    int rejections_ = 0;
    int disconnects_ = 0;
    std::vector<std::string> tried_;
    std::vector<unreachable_upstream> unreachable_;
};

} // namespace dragonflymill::direct
