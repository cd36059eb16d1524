#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/attempt_rules.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::direct {

/// An upstream that an attempt ended at.
struct attempt_place
{
    std::string upstream;       ///< The one at fault: it answered, was silent, or is the reader that is gone.
    std::string failure_domain; ///< Where it runs.

    friend auto operator==(const attempt_place&, const attempt_place&) -> bool = default;
};

/// What a call's attempts count for, and where the next one had better not go.
///
/// Load that it answers: a failure domain of engines goes away, and each long prompt is read by engines of
/// all domains together. Each plan then names several that are gone, of which a rejection tells one; leaving
/// out only that one uses up all attempts before the last of them is known.
class call_attempts
{
public:
    /// The call was handed to an upstream.
    void dispatched() { ++dispatched_; }
    /// An attempt ended without an answer that may be passed on.
    void ended(attempt_end end, const attempt_place& place, instant now);

    /// Whether an attempt has already been made in vain at this upstream.
    [[nodiscard]] auto tried(std::string_view upstream) const -> bool;
    /// Whether the next attempt had better go to another failure domain, if another has room.
    [[nodiscard]] auto avoids(std::string_view failure_domain, instant now) const -> bool;
    /// Whether any failure domain is avoided.
    [[nodiscard]] auto avoids_any(instant now) const -> bool;
    /// How often it was handed to an upstream.
    [[nodiscard]] auto count() const -> std::uint64_t { return dispatched_; }
    /// Attempts that reached an upstream, or may have.
    [[nodiscard]] auto arrivals() const -> int { return arrivals_; }
    /// Attempts that may have run.
    [[nodiscard]] auto run() const -> int { return run_; }
    /// Attempts that an upstream refused for a reason of its own.
    [[nodiscard]] auto rejections() const -> int { return rejections_; }

    friend auto operator==(const call_attempts&, const call_attempts&) -> bool = default;

    /// Upstreams of a failure domain that have to be out of reach before the domain is avoided: one alone may
    /// have crashed.
    static constexpr int unreachable_to_avoid = 2;
    /// How long a failure domain is avoided: upstreams that are gone leave the published list, or are back,
    /// within seconds.
    static constexpr duration domain_avoidance = 1s;

private:
    /// An upstream that could not be reached.
    struct unreachable_upstream
    {
        attempt_place place;
        instant seen_at{};

        friend auto operator==(const unreachable_upstream&, const unreachable_upstream&) -> bool = default;
    };

    void note_unreachable(const attempt_place& place, instant now);

    std::uint64_t dispatched_ = 0;
    int arrivals_ = 0;
    int run_ = 0;
    int rejections_ = 0;
    std::vector<std::string> tried_;
    std::vector<unreachable_upstream> unreachable_;
};

} // namespace dragonflymill::direct
