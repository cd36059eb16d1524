#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/load_tracker.h"

#include <compare>
#include <map>
#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// Calls of the same service with the same time between tokens target.
struct call_class
{
    std::string service;   ///< Service that runs them.
    duration tbt_target{}; ///< Longest time between two events; 0 for plain services.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const call_class&, const call_class&) -> std::strong_ordering = default;
    friend auto operator==(const call_class&, const call_class&) -> bool = default;
};

/// Moving average of the time from dispatch to the first token, by class of calls.
class first_token_times
{
public:
    /// Starts the measurement for a call that is sent.
    void dispatched(placement_id placed, const call_class& of_class, instant now);
    /// Ends the measurement at the call's first token; later tokens are ignored.
    void first_token(placement_id placed, instant now);
    /// Discards the measurement of a call that ended without a first token.
    void finished(placement_id placed) { open_.erase(placed); }
    /// Returns the average of a class; zero before its first measurement.
    [[nodiscard]] auto expected(const call_class& of_class) const -> duration;

    /// Weight of the newest measurement.
    static constexpr double newest_weight = 0.05;

private:
    struct open_call
    {
        call_class of_class;
        instant since{};
    };

    std::unordered_map<placement_id, open_call> open_;
    std::map<call_class, duration> averages_;
};

} // namespace dragonflymill::direct
