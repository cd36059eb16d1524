#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/gang/span_plan.h"

#include <optional>
#include <span>
#include <vector>

namespace dragonflymill {

/// Bounds and times of a gang planner.
struct gang_planner_options
{
    std::size_t max_gangs = 4;       ///< Gangs of this gateway at once; more are refused.
    std::size_t max_releases = 256;  ///< Releases waiting for confirmation; no gang starts beyond.
    duration hold{10'000'000};       ///< How long a share stands without renewal.
    duration answer_wait{1'000'000}; ///< How long a reservation may stay unanswered.
    duration line_wait{60'000'000};  ///< How long a share may wait in line while the earlier ones are held.
    duration release_interval{500'000}; ///< How often an unconfirmed release is repeated.
    duration initial_backoff{100'000};  ///< Wait before the second round; doubles up to `max_backoff`.
    duration max_backoff{1'000'000};    ///< Longest wait between rounds.

    friend auto operator==(const gang_planner_options&, const gang_planner_options&) -> bool = default;
};

/// Gets a group of engines for a prompt that no single one can hold: all of the shares or none. Shares are
/// asked for one after the other in one global order, a refusal gives everything back, and nothing waits
/// while it holds something without an end: so gateways can't deadlock, and a gateway that dies leaves
/// nothing behind for longer than one hold.
class gang_planner
{
public:
    /// Draws the spread of waits with the sequence that belongs to `seed`.
    explicit gang_planner(std::uint64_t seed, gang_planner_options settings = {});

    /// Starts a gang. `first_round` is 1 for a new request and beyond every earlier round for a resumed one.
    [[nodiscard]] auto start(instant now, const gang_request& request, attempt_number first_round,
                             const deadline_budget& limit, std::span<const gang_candidate> candidates)
        -> std::vector<gang_output>;
    /// Takes in a grant.
    [[nodiscard]] auto step(instant now, const share_granted& granted) -> std::vector<gang_output>;
    /// Takes in a refusal.
    [[nodiscard]] auto step(instant now, const share_refused& refused) -> std::vector<gang_output>;
    /// Takes in the confirmation of a release.
    void step(instant now, const share_released& released);
    /// Gives up what an upstream that died, restarted or was taken out had a share in.
    [[nodiscard]] auto upstream_gone(instant now, const upstream_id& upstream) -> std::vector<gang_output>;
    /// Gives the gang of a request back: its answer ended, its caller left.
    [[nodiscard]] auto finish(instant now, const request_id& request) -> std::vector<gang_output>;
    /// Does what is due: repeats releases, renews shares, gives up unanswered rounds, and starts waiting
    /// gangs anew with `candidates`.
    [[nodiscard]] auto wake(instant now, std::span<const gang_candidate> candidates)
        -> std::vector<gang_output>;

    /// When `wake` has something to do; nothing if it never has.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Gangs under way.
    [[nodiscard]] auto gangs() const -> std::size_t { return gangs_.size(); }
    /// Releases not yet confirmed.
    [[nodiscard]] auto releases() const -> std::size_t { return releases_.size(); }

private:
    enum class phase
    {
        waiting,   // for the next round, holding nothing
        reserving, // share `next` is asked for, the ones before it are held
        ready,     // all shares are held
    };

    struct share
    {
        wanted_share wanted;
        lease_id lease;
        instant first_asked_at;
        instant asked_at;
        instant ends_at;       // counted from the asking, so that it is never later than the sidecar's end
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
        std::vector<upstream_id>
            avoided; // refused in the last rounds; at most as many as there are candidates
    };

    struct pending_release
    {
        release_share release;
        instant send_at;
        instant ended_at; // by then the share has ended by itself
    };

    using outputs = std::vector<gang_output>;

    [[nodiscard]] auto find(const gang_key& key) -> gang*;
    [[nodiscard]] auto share_of(gang& of, const upstream_id& upstream) const -> share*;
    void begin_round(instant now, gang& each, std::span<const gang_candidate> candidates, outputs& out);
    [[nodiscard]] auto plan_round(gang& each, std::span<const gang_candidate> candidates) const
        -> std::optional<std::vector<wanted_share>>;
    void ask(instant now, gang& each, outputs& out) const;
    void ask_next(instant now, gang& each, outputs& out);
    void give_back(instant now, gang& each, outputs& out);
    void add_release(instant now, const gang_key& key, const upstream_id& upstream, outputs& out);
    void round_failed(instant now, gang& each, duration retry_after, outputs& out);
    void fail(instant now, gang& each, refusal why, outputs& out);
    void lost(instant now, gang& each, outputs& out);
    void wake_one(instant now, gang& each, std::span<const gang_candidate> candidates, outputs& out);
    void wake_reserving(instant now, gang& each, outputs& out);
    void renew(instant now, gang& each, outputs& out) const;
    void repeat_releases(instant now, outputs& out);
    [[nodiscard]] auto wake_of(const gang& each) const -> instant;
    [[nodiscard]] auto backoff(const gang& each) -> duration;
    void drop_ended();

    gang_planner_options settings_;
    random_source random_;
    std::vector<gang> gangs_;               // at most max_gangs
    std::vector<pending_release> releases_; // at most max_releases and one gang's shares
    std::vector<gang_key> ended_;           // scratch: gangs to drop at the end of a step
};

} // namespace dragonflymill
