#pragma once

#include "dragonflymill/overload/overload_policy.h"

#include <optional>
#include <vector>

namespace dragonflymill {

/// Bounds of the paused work of a gateway.
struct paused_work_settings
{
    std::size_t max_paused = 1'024; ///< Requests paused at once; more stay running.
    double calm = 0.7;              ///< Work resumes once the drain time is below this part of its bound.
    std::size_t resumes = 1;        ///< Requests resumed by one call while it is calm.

    friend auto operator==(const paused_work_settings&, const paused_work_settings&) -> bool = default;
};

/// What has to be done with paused work.
struct paused_work_due
{
    std::vector<request_id> resume; ///< Go on with these now.
    std::vector<request_id> expire; ///< End these with a refusal: their limit ran out.

    friend auto operator==(const paused_work_due&, const paused_work_due&) -> bool = default;
};

/// Overnight work that was paused. Every request in it is resumed while it can still end in its limit,
/// however loaded the upstreams are, or ends with its limit: none is lost.
class paused_work
{
public:
    /// Nothing is paused.
    explicit paused_work(paused_work_settings settings = {})
        : settings_(settings)
    {
    }

    /// Notes a pause; false if `max_paused` are there: then the request goes on running.
    [[nodiscard]] auto add(const running_work& running) -> bool;
    /// Drops a request whose caller left.
    void remove(const request_id& request);
    /// Takes out what is due. Those whose limit ends first are resumed first.
    [[nodiscard]] auto due(instant now, const load_signal& load) -> paused_work_due;
    /// Takes out all, to go on with it.
    [[nodiscard]] auto take_all() -> paused_work_due;
    /// When the next one must be resumed in any case; nothing if none is paused.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Requests paused.
    [[nodiscard]] auto size() const -> std::size_t { return paused_.size(); }

private:
    [[nodiscard]] static auto latest_start(const running_work& running) -> instant;

    paused_work_settings settings_;
    std::vector<running_work> paused_; // by latest start; at most max_paused
};

} // namespace dragonflymill
