#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_measurements.h"
#include "dragonflymill/direct/dispatch_policy.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/retry_window.h"
#include "dragonflymill/direct/saturation_tracker.h"
#include "dragonflymill/direct/upstream_availability.h"
#include "dragonflymill/direct/upstream_health.h"
#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/direct/waiting_call.h"
#include "dragonflymill/quarantine/part_quarantine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// An engine that takes a part of a call's prefill, with its address.
struct prefill_engine
{
    upstream_entry upstream;          ///< The engine.
    std::int64_t reserved_tokens = 0; ///< KV cache to reserve there before the call is sent; 0: none.

    friend auto operator==(const prefill_engine&, const prefill_engine&) -> bool = default;
};

/// A call that is to be sent now. Its load is in the load tracker until `finish`.
struct dispatch_assignment
{
    std::uint64_t call = 0;                      ///< Id of the call.
    placement_id placed = 0;                     ///< Its placement in the load tracker.
    dispatch_choice choice;                      ///< The policy's choice and its reason.
    upstream_entry upstream;                     ///< Answers the call.
    std::vector<prefill_engine> prefill_engines; ///< Other engines, each with a part of the prefill.
    wait_reason waited_for = wait_reason::none;  ///< Why the call was queued last.
    std::optional<rate_limit_belief> rate_limit; ///< Rate limit of `upstream`; nothing: none is known.
    std::uint64_t limited_calls = 0; ///< Calls of all gateways to `upstream` since its limit is known.
    bool is_quarantine_trial =
        false; ///< Sent though its prompt is quarantined, to see whether it still is unsafe.

    friend auto operator==(const dispatch_assignment&, const dispatch_assignment&) -> bool = default;
};

/// A call that is refused because it can't be served in time.
struct dispatch_refusal
{
    std::uint64_t call = 0;                       ///< Id of the call.
    duration retry_after{};                       ///< Time until capacity is expected.
    std::string reason;                           ///< For the log.
    refusal_code code = refusal_code::overloaded; ///< For the caller.

    friend auto operator==(const dispatch_refusal&, const dispatch_refusal&) -> bool = default;
};

/// The queued calls that one `decide` assigned or refused.
struct dispatch_round
{
    std::vector<dispatch_assignment> orders; ///< Calls to send.
    std::vector<dispatch_refusal> refusals;  ///< Calls to refuse.
};

/// Settings of a call dispatcher.
struct dispatch_settings
{
    std::string failure_domain;  ///< Failure domain of this gateway.
    retry_budget_limits retries; ///< Limits of the retry budget.
    std::uint64_t seed = 0;      ///< Differs between gateways.
};

/// Queues calls that have no upstream yet, and decides where and when each is sent.
///
/// A call is bound to an upstream only at the moment of sending, because upstreams can begin to drain, and
/// failure domains can be taken out of service, while calls are queued.
class call_dispatcher
{
public:
    explicit call_dispatcher(dispatch_settings settings)
        : settings_(std::move(settings))
        , availability_(settings_.seed)
    {
    }

    /// Queues a new call, or a call whose last attempt failed.
    void add(waiting_call call);
    /// Removes a queued call that ended.
    void drop(std::uint64_t call);
    /// Assigns or refuses queued calls; the others stay queued.
    [[nodiscard]] auto decide(const upstream_list& fleet, instant now) -> dispatch_round;

    /// Returns when the client of a call that is refused after it was dispatched, or at its deadline, should
    /// return: at its turn if the upstreams state rate limits, otherwise when capacity is expected.
    [[nodiscard]] auto retry_after(const upstream_list& fleet, const waiting_call& call, instant now)
        -> duration;

    /// Updates the load tracker with the upstreams that this gateway suspects, for the other gateways.
    void report_suspects(const upstream_list& fleet, instant now);
    /// Records an event of a placed call's answer. Returns how the forecast compares at the first one of a
    /// call to an engine.
    auto event_received(placement_id placed, instant now) -> std::optional<forecast_outcome>;
    /// Records the end of a placed call.
    void finish(placement_id placed, instant now);
    /// Returns whether the retry budget of a service allows another attempt.
    [[nodiscard]] auto retry_allowed(const std::string& service, instant now) -> bool;

    /// Removes what is over or known of upstreams that no longer run, and looks for silent streams; to be
    /// called regularly.
    void tick(const upstream_list& fleet, instant now);
    /// Removes the load, the counts and the reports of a gateway that no longer runs.
    void remove_gateway(const std::string& gateway);
    /// Which upstreams take calls, and what they state in their responses.
    [[nodiscard]] auto availability() -> upstream_availability& { return availability_; }
    [[nodiscard]] auto availability() const -> const upstream_availability& { return availability_; }

    /// Which prompts aren't sent, as upstreams crash under them.
    [[nodiscard]] auto quarantine() -> part_quarantine& { return quarantine_; }
    [[nodiscard]] auto quarantine() const -> const part_quarantine& { return quarantine_; }
    /// How much slower than their profile upstreams run.
    [[nodiscard]] auto speeds() -> upstream_speeds& { return measurements_.speeds(); }
    /// Health of the upstreams, from the outcome of calls.
    [[nodiscard]] auto health() -> upstream_health& { return health_; }
    /// Load of the upstreams from all gateways.
    [[nodiscard]] auto loads() -> load_tracker& { return loads_; }
    /// Number of queued calls.
    [[nodiscard]] auto waiting() const -> std::size_t { return waiting_.size(); }
    /// Sets the gateways of the cell, which share limits with this one. `max_count` is the highest number
    /// that there may be in the fleet, where their number isn't known yet; equal shares are computed from it.
    void set_gateways(int max_count, const gateway_reach& reach);
    /// Sets the number of gateways, all of them reachable.
    void set_gateways(int count) { set_gateways(count, {count, count, 0}); }
    /// Sets the division of the fleet into cells. Without a call there is one cell.
    void set_cells(const fleet_cells& cells)
    {
        cells_ = cells;
        availability_.set_cells(cells);
    }
    void set_settings(dispatch_settings settings) { settings_ = std::move(settings); }

    /// Calls of one class that may find no capacity in a round before the rest of the class is skipped. A
    /// smaller call may fit where a larger one doesn't, but examining the whole queue would take too long.
    static constexpr int max_blocked_per_class = 4;
    /// Number of other gateways that must suspect an upstream before this one does: a single gateway may have
    /// a faulty network path to it.
    static constexpr int suspicion_quorum = 2;
    /// Retry-after time of a call refused because no upstream accepts work.
    static constexpr duration retry_after_no_upstream = 700ms;

    /// Once there is capacity, each long call that was queued waits for a random backoff whose range grows by
    /// this much per gateway: the time that a load digest needs to reach the other gateways, on the processor
    /// of the smallest of them. Without the backoff, three of thirty gateways sent prompts of half a million
    /// tokens to one engine within 7 ms, and none of them could reserve the memory it needed.
    static constexpr duration backoff_per_gateway = 2ms;
    /// Time between removals of what is known of the speed of upstreams that no longer run. A restarted one
    /// has another key at once.
    static constexpr duration speeds_expiry_interval = 500ms;
    /// Maximum backoff of a call that was queued.
    static constexpr duration max_backoff = 80ms;

private:
    /// Upstreams of a service to which a call may be sent now.
    struct service_candidates
    {
        std::vector<dispatch_candidate> upstreams; // in the order that all gateways share
        /// Why there are none although some accept work: `rate_limit`, `pushback` or `none`.
        wait_reason blocked_by = wait_reason::none;
    };
    /// When a call can be sent, as all upstreams of its service are at rate limits or push back.
    struct turn_time
    {
        instant expected_at{}; // instant::max(): no upstream may be used
        duration interval{};   // between calls to the service
    };
    /// Candidates of each service during one round. Building the list takes a load lookup per upstream, so it
    /// is done once per round and not per call: a queue of a dozen calls is examined forty times per second.
    using candidate_cache = std::map<std::string, service_candidates, std::less<>>;

    [[nodiscard]] auto candidates(const upstream_list& fleet, const service_rule& service, instant now) const
        -> service_candidates;
    void update_blocked_by(const upstream_list& fleet, const std::string& service, instant now,
                           service_candidates& found) const;
    [[nodiscard]] auto try_to_place(const upstream_list& fleet, const waiting_call& call, int failures,
                                    instant now, candidate_cache& cache) const -> dispatch_decision;
    [[nodiscard]] auto choose(const upstream_list& fleet, const waiting_call& call, instant now,
                              candidate_cache& cache) const -> dispatch_decision;
    [[nodiscard]] auto choose_among(const upstream_list& fleet, const waiting_call& call, instant now,
                                    std::span<const dispatch_candidate> all) const -> dispatch_decision;
    void refresh_load(dispatch_candidate& candidate, upstream_run run, instant now) const;
    void refresh(const upstream_list& fleet, const dispatch_assignment& assignment, instant now,
                 service_candidates& found) const;
    /// Returns when a call can be sent under the rate limits and pushbacks of its service, behind
    /// `calls_ahead` others.
    [[nodiscard]] auto turn_of(const upstream_list& fleet, const waiting_call& call, int calls_ahead,
                               instant now) const -> turn_time;
    /// Returns the calls per second that this gateway can expect to send to an upstream without a limit: all
    /// gateways use its slots, for one latency target per call.
    [[nodiscard]] auto expected_rate(const upstream_state& upstream, const waiting_call& call) const
        -> double;
    /// Returns when the client of a call with that turn should return, and takes the turn for it.
    auto take_return_turn(const waiting_call& call, const turn_time& turn, instant now) -> instant;
    /// Returns the refusal of a call that is blocked by rate limits or pushbacks; nothing if it can wait.
    [[nodiscard]] auto refusal_until_turn(const upstream_list& fleet, const waiting_call& call,
                                          wait_reason blocked_by, int calls_ahead, instant now)
        -> std::optional<dispatch_refusal>;
    /// Returns when a call refused for lack of capacity should return.
    [[nodiscard]] auto retry_after_saturation(const waiting_call& call, duration time_left, instant now) const
        -> duration;
    [[nodiscard]] auto assignment_for(const upstream_list& fleet, const waiting_call& call,
                                      const dispatch_choice& choice, instant now) -> dispatch_assignment;
    [[nodiscard]] auto backoff_elapsed(const waiting_call& call, const dispatch_choice& choice, instant now)
        -> bool;
    void record_no_capacity(const waiting_call& call, instant now);
    [[nodiscard]] auto requirements_of(const waiting_call& call, instant now) const -> call_requirements;
    [[nodiscard]] auto refusal_of(const upstream_list& fleet, const waiting_call& call, instant now) const
        -> std::optional<dispatch_refusal>;
    /// Refuses the queued calls whose prompts are quarantined, but for those that may be sent as a trial.
    void refuse_quarantined(instant now, dispatch_round& round);

    dispatch_settings settings_;
    load_tracker loads_;
    upstream_health health_;
    upstream_availability availability_;
    part_quarantine quarantine_;
    call_measurements measurements_;
    instant speeds_expired_at_{};
    /// Time at which the last caller refused until its turn was asked to return, by service.
    std::unordered_map<std::string, instant> last_return_at_;
    std::unordered_map<std::string, retry_window> retries_;
    std::vector<waiting_call> waiting_;
    /// Queued calls that found no capacity, and since when there is capacity again; nothing: still none.
    std::unordered_map<std::uint64_t, std::optional<instant>> capacity_since_;
    std::map<call_class, saturation_tracker> saturation_;
    fleet_cells cells_{""};
    gateway_reach gateways_;       // of the cell
    gateway_reach fleet_gateways_; // of all cells, if each has as many as this one
};

} // namespace dragonflymill::direct
