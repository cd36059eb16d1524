#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/load_tracker.h"

#include <compare>
#include <map>
#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// Calls that are alike in where they go and how soon their answer is wanted.
struct call_class
{
    std::string service;   ///< Where they run.
    duration tbt_target{}; ///< Longest pause between their events that is on time; 0 for plain calls.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const call_class&, const call_class&) -> std::strong_ordering = default;
    friend auto operator==(const call_class&, const call_class&) -> bool = default;
};

/// How long upstreams have lately taken from a call's dispatch to its first token, by class of calls.
class first_token_times
{
public:
    /// A call was sent.
    void dispatched(placement_id placed, const call_class& kind, instant now);
    /// Its first token came; later ones are left out.
    void first_token(placement_id placed, instant now);
    /// It is over, with or without a first token.
    void finished(placement_id placed) { open_.erase(placed); }
    /// Moving average; zero while none is known.
    [[nodiscard]] auto expected(const call_class& kind) const -> duration;

    /// Weight of the newest time in the average.
    static constexpr double newest_weight = 0.05;

private:
    struct open_call
    {
        call_class kind;
        instant since{};
    };

    std::unordered_map<placement_id, open_call> open_;
    std::map<call_class, duration> averages_;
};

} // namespace dragonflymill::direct
