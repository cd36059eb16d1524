#pragma once

#include "dragonflymill/overload/overload_policy.h"

#include <optional>
#include <vector>

namespace dragonflymill {

/// Settings of `paused_work`.
struct paused_work_settings
{
    std::size_t max_paused = 1'024; ///< Maximum requests paused at once; further ones keep running.
    double resume_below = 0.7;   ///< Work resumes while the drain time is below this fraction of its bound.
    std::size_t max_resumes = 1; ///< Maximum requests resumed by one call below that fraction.

    friend auto operator==(const paused_work_settings&, const paused_work_settings&) -> bool = default;
};

/// Paused requests that have to be resumed or ended.
struct paused_work_due
{
    std::vector<request_id> resume; ///< Continue these now.
    std::vector<request_id> expire; ///< Refuse these: their time limit has expired.

    friend auto operator==(const paused_work_due&, const paused_work_due&) -> bool = default;
};

/// Overnight work that was paused. Every request is resumed while it can still finish within its limit,
/// however loaded the upstreams are, or is reported as expired, so none is lost.
class paused_work
{
public:
    /// Creates an empty queue.
    explicit paused_work(paused_work_settings settings = {})
        : settings_(settings)
    {
    }

    /// Adds a paused request; returns false at `max_paused`, and the request then keeps running.
    [[nodiscard]] auto add(const running_work& running) -> bool;
    /// Removes a request whose caller disconnected.
    void remove(const request_id& request);
    /// Removes and returns what is due, earliest latest-start first.
    [[nodiscard]] auto due(instant now, const load_signal& load) -> paused_work_due;
    /// Removes and returns all requests, to be resumed.
    [[nodiscard]] auto take_all() -> paused_work_due;
    /// Returns when the next request must be resumed in any case; nothing if none is paused.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Returns the number of paused requests.
    [[nodiscard]] auto size() const -> std::size_t { return paused_.size(); }

private:
    [[nodiscard]] static auto latest_start(const running_work& running) -> instant;

    paused_work_settings settings_;
    std::vector<running_work> paused_; // sorted by latest start; at most max_paused
};

} // namespace dragonflymill
