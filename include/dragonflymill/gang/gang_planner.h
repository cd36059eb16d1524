#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/gang/span_plan.h"

#include <optional>
#include <span>
#include <vector>

namespace dragonflymill {

/// Settings of a gang_planner.
struct gang_planner_options
{
    std::size_t max_gangs = 4;          ///< Maximum concurrent gangs of this gateway; more are refused.
    std::size_t max_releases = 256;     ///< Maximum unconfirmed releases; beyond it no gang starts.
    duration hold{10'000'000};          ///< Term of a share unless renewed.
    duration answer_timeout{1'000'000}; ///< Timeout of an unanswered reservation.
    duration queue_timeout{60'000'000}; ///< Maximum time a share is queued while earlier ones are held.
    duration release_interval{500'000}; ///< Interval between repeats of an unconfirmed release.
    duration initial_backoff{100'000};  ///< Delay before the second round; doubles up to `max_backoff`.
    duration max_backoff{1'000'000};    ///< Maximum delay between rounds.

    friend auto operator==(const gang_planner_options&, const gang_planner_options&) -> bool = default;
};

/// Reserves a group of engines for a prompt that no single one can hold: all of the shares or none. Shares
/// are requested one after the other in one global order, a refusal releases all of them, and every wait
/// while holding shares is bounded. So gateways can't deadlock, and the shares of a dead gateway expire
/// within one hold.
class gang_planner
{
public:
    /// `seed` sets the jitter of the backoff.
    explicit gang_planner(std::uint64_t seed, gang_planner_options settings = {});

    /// Starts a gang. `first_round` is 1 for a new request and above every earlier round for a resumed one.
    [[nodiscard]] auto start(instant now, const gang_request& request, attempt_number first_round,
                             const deadline_budget& limit, std::span<const gang_candidate> candidates)
        -> std::vector<gang_output>;
    /// Handles a grant.
    [[nodiscard]] auto step(instant now, const share_granted& granted) -> std::vector<gang_output>;
    /// Handles a refusal.
    [[nodiscard]] auto step(instant now, const share_refused& refused) -> std::vector<gang_output>;
    /// Handles the confirmation of a release.
    void step(instant now, const share_released& released);
    /// Ends the rounds and gangs that have a share at an upstream that died, restarted or was drained.
    [[nodiscard]] auto upstream_gone(instant now, const upstream_id& upstream) -> std::vector<gang_output>;
    /// Releases the gang of a request whose answer ended or whose caller disconnected.
    [[nodiscard]] auto finish(instant now, const request_id& request) -> std::vector<gang_output>;
    /// Performs the actions that are due: repeats releases, renews shares, ends unanswered rounds, and starts
    /// the next round of waiting gangs with `candidates`.
    [[nodiscard]] auto wake(instant now, std::span<const gang_candidate> candidates)
        -> std::vector<gang_output>;

    /// Returns when `wake` is due next; nothing if it isn't.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Returns the number of gangs.
    [[nodiscard]] auto gangs() const -> std::size_t { return gangs_.size(); }
    /// Returns the number of unconfirmed releases.
    [[nodiscard]] auto releases() const -> std::size_t { return releases_.size(); }

private:
    enum class phase
    {
        waiting,   // for the next round, without shares
        reserving, // share `next` is requested, the ones before it are held
        ready,     // all shares are held
    };

    struct share
    {
        planned_share wanted;
        lease_id lease;
        instant first_asked_at;
        instant asked_at;
        instant ends_at;       // counted from the request, so that it is never later than at the sidecar
        std::uint64_t ask = 0; // number of the last reservation or renewal; 0 before the first
        bool in_line = false;
        bool held = false;
    };

    struct gang
    {
        gang_request request;
        attempt_number round;
        deadline_budget limit;
        phase state = phase::waiting;
        instant wake_at;
        std::size_t next = 0;
        std::uint64_t failures = 0;
        std::vector<share> shares;
        std::vector<upstream_id> excluded; // refused in the last rounds; bounded by the number of candidates
    };

    struct pending_release
    {
        release_share release;
        instant send_at;
        instant ended_at; // the share has expired by then
    };

    using outputs = std::vector<gang_output>;

    [[nodiscard]] auto find(const gang_key& key) -> gang*;
    [[nodiscard]] auto share_of(gang& owner, const upstream_id& upstream) const -> share*;
    void begin_round(instant now, gang& entry, std::span<const gang_candidate> candidates, outputs& out);
    [[nodiscard]] auto plan_round(gang& entry, std::span<const gang_candidate> candidates) const
        -> std::optional<std::vector<planned_share>>;
    void reserve(instant now, gang& entry, outputs& out) const;
    void reserve_next(instant now, gang& entry, outputs& out);
    void release_shares(instant now, gang& entry, outputs& out);
    void add_release(instant now, const gang_key& key, const upstream_id& upstream, outputs& out);
    void round_failed(instant now, gang& entry, duration retry_after, outputs& out);
    void fail(instant now, gang& entry, refusal why, outputs& out);
    void fail_lost_gang(instant now, gang& entry, outputs& out);
    void wake_one(instant now, gang& entry, std::span<const gang_candidate> candidates, outputs& out);
    void wake_reserving(instant now, gang& entry, outputs& out);
    void renew(instant now, gang& entry, outputs& out) const;
    void repeat_releases(instant now, outputs& out);
    [[nodiscard]] auto wake_of(const gang& entry) const -> instant;
    [[nodiscard]] auto backoff(const gang& entry) -> duration;
    void drop_ended();

    gang_planner_options settings_;
    random_source random_;
    std::vector<gang> gangs_;               // at most max_gangs
    std::vector<pending_release> releases_; // at most max_releases and one gang's shares
    std::vector<gang_key> ended_;           // gangs to remove at the end of a step
};

} // namespace dragonflymill
