#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_attempts.h"
#include "dragonflymill/direct/cold_start_limiter.h"
#include "dragonflymill/direct/dispatch_policy.h"
#include "dragonflymill/direct/first_token_times.h"
#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/retry_window.h"
#include "dragonflymill/direct/saturation_tracker.h"
#include "dragonflymill/direct/upstream_health.h"
#include "dragonflymill/direct/upstream_list.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// A call that waits for an upstream.
struct waiting_call
{
    std::uint64_t id = 0;                     ///< Given by the caller of the dispatcher.
    std::string service;                      ///< Where it has to run.
    std::int64_t prompt_tokens = 0;           ///< 0 for plain services.
    std::int64_t answer_tokens = 0;           ///< Most tokens of the answer.
    duration tbt_target{};                    ///< Longest pause between its events that is on time; 0: none.
    int priority = 0;                         ///< 0 goes first.
    instant latency_target_at{};              ///< An answer that begins later is late.
    duration aim{};                           ///< The whole time from arrival to `latency_target_at`.
    instant client_timeout_at{};              ///< When the caller leaves without an answer.
    instant deadline_at{};                    ///< When its time ends, returns included.
    instant queue_timeout_at{};               ///< Refused if it still waits then.
    instant not_before{};                     ///< Not sent earlier.
    call_attempts attempts;                   ///< What was tried so far.
    wait_reason obstacle = wait_reason::none; ///< What kept it from being placed last; set by the dispatcher.

    friend auto operator==(const waiting_call&, const waiting_call&) -> bool = default;
};

/// An engine that reads a part of a prompt, with its address.
struct prefill_engine
{
    upstream_entry upstream;          ///< The engine.
    std::int64_t reserved_tokens = 0; ///< Memory to be reserved there before the call is sent; 0: none.

    friend auto operator==(const prefill_engine&, const prefill_engine&) -> bool = default;
};

/// A call is to be sent now. Its load is on the board; `finish` takes it off.
struct dispatch_assignment
{
    std::uint64_t call = 0;                      ///< Which.
    placement_id placed = 0;                     ///< Its place on the board.
    dispatch_choice choice;                      ///< Where and why.
    upstream_entry upstream;                     ///< Answers it.
    std::vector<prefill_engine> prefill_engines; ///< Read a part of its prompt each.
    wait_reason waited_for = wait_reason::none;  ///< What kept it from being placed last.

    friend auto operator==(const dispatch_assignment&, const dispatch_assignment&) -> bool = default;
};

/// A call can't be served in time.
struct dispatch_refusal
{
    std::uint64_t call = 0; ///< Which.
    duration retry_after{}; ///< When room is expected.
    std::string reason;     ///< For the log.

    friend auto operator==(const dispatch_refusal&, const dispatch_refusal&) -> bool = default;
};

/// What became of the calls that waited.
struct dispatch_round
{
    std::vector<dispatch_assignment> orders; ///< To be sent.
    std::vector<dispatch_refusal> refusals;  ///< To be answered.
};

/// Settings of a dispatch dispatcher.
struct dispatch_settings
{
    std::string failure_domain;  ///< Where this gateway runs.
    retry_budget_limits retries; ///< Of second attempts.
    std::uint64_t seed = 0;      ///< Differs from gateway to gateway.
};

/// Holds the calls that have no upstream yet and decides where and when each goes.
///
/// A call is bound to an upstream at the moment of sending, never before: an upstream may leave, and a
/// failure domain may be taken out, while calls wait.
class call_dispatcher
{
public:
    explicit call_dispatcher(dispatch_settings settings)
        : settings_(std::move(settings))
    {
    }

    /// A call arrives, or comes back after an attempt that failed.
    void add(waiting_call call);
    /// A call ended while it waited.
    void drop(std::uint64_t call);
    /// Decides for all that wait.
    [[nodiscard]] auto decide(const upstream_list& fleet, instant now) -> dispatch_round;

    /// Puts the upstreams that this gateway finds faulty on the board, for the other gateways.
    void report_suspects(const upstream_list& fleet, instant now);
    /// The first token of a placed call came.
    void first_token(placement_id placed, instant now);
    /// A placed call is over.
    void finish(placement_id placed, instant now);
    /// Whether a second attempt at this service would be allowed.
    [[nodiscard]] auto retry_allowed(const std::string& service, instant now) -> bool;

    /// How calls to upstreams ended.
    [[nodiscard]] auto health() -> upstream_health& { return health_; }
    /// Work in hand everywhere.
    [[nodiscard]] auto loads() -> load_tracker& { return board_; }
    /// Calls that wait.
    [[nodiscard]] auto waiting() const -> std::size_t { return waiting_.size(); }
    /// Gateways that share bounds with this one, itself included.
    void set_gateways(int count) { gateways_ = count; }
    /// New settings.
    void set_settings(dispatch_settings settings) { settings_ = std::move(settings); }

    /// Calls of one service and length that are tried in a round after the first had to wait: a smaller one
    /// may fit where a larger one doesn't, but a whole line isn't gone through for it.
    static constexpr int tries_past_blocked = 4;
    /// Other gateways that have to find an upstream faulty before this one believes it: one may have a faulty
    /// way to it.
    static constexpr int suspects_to_believe = 2;
    /// When a refused caller is asked to come back: about the time in which a short answer ends and frees a
    /// place.
    static constexpr duration retry_after_full = 400ms;
    /// When a caller is asked to come back after no upstream could take work at all.
    static constexpr duration retry_after_none = 700ms;

    /// A long call that waited goes at a moment of its own within so much time a gateway, once there is room:
    /// that is how long a digest takes to the other gateways, with the processor time of the smallest of
    /// them. Three of thirty gateways sent prompts of half a million tokens to one engine within 7 ms, and
    /// none of them got the memory that it had to reserve.
    static constexpr duration backoff_per_gateway = 2ms;
    /// Longest back-off of a call that waited.
    static constexpr duration max_backoff = 80ms;

private:
    /// The upstreams of each service as one round sees them, in the order that all gateways share. Gathering
    /// them costs a look at the board for each upstream, so that it is done once a round and not once a call:
    /// a line of a dozen calls is gone through forty times a second.
    using round_view = std::map<std::string, std::vector<dispatch_candidate>, std::less<>>;

    [[nodiscard]] auto candidates(const upstream_list& fleet, const service_rule& service, instant now) const
        -> std::vector<dispatch_candidate>;
    [[nodiscard]] auto try_to_place(const upstream_list& fleet, const waiting_call& call, int failures,
                                    instant now, round_view& view) const -> dispatch_decision;
    [[nodiscard]] auto choose(const upstream_list& fleet, const waiting_call& call, instant now,
                              round_view& view) const -> dispatch_decision;
    [[nodiscard]] auto choose_among(const upstream_list& fleet, const waiting_call& call, instant now,
                                    std::span<const dispatch_candidate> found) const -> dispatch_decision;
    void refresh_load(dispatch_candidate& candidate, instant now) const;
    void refresh(const upstream_list& fleet, const dispatch_assignment& order, instant now,
                 std::vector<dispatch_candidate>& candidates) const;
    [[nodiscard]] auto cold_full(const upstream_list& fleet, const upstream_state& upstream,
                                 instant now) const -> bool;
    [[nodiscard]] auto order_for(const upstream_list& fleet, const waiting_call& call,
                                 const dispatch_choice& choice, instant now) -> dispatch_assignment;
    [[nodiscard]] auto any_upstream(const upstream_list& fleet, const std::string& service) const -> bool;
    [[nodiscard]] auto cold_rate(const upstream_list& fleet, const upstream_state& upstream,
                                 instant now) const -> double;
    void sort_waiting(const fleet_config& config, instant now);
    [[nodiscard]] auto expected_first_token(const waiting_call& call) const -> duration;
    [[nodiscard]] auto is_late(const waiting_call& call, instant now) const -> bool;
    [[nodiscard]] auto backoff_elapsed(const waiting_call& call, const dispatch_choice& choice, instant now)
        -> bool;
    void note_no_room(const waiting_call& call, instant now);
    [[nodiscard]] auto shape_of(const waiting_call& call, instant now) const -> call_shape;
    [[nodiscard]] auto refusal_of(const upstream_list& fleet, const waiting_call& call, instant now) const
        -> std::optional<dispatch_refusal>;

    dispatch_settings settings_;
    load_tracker board_;
    upstream_health health_;
    std::unordered_map<std::string, cold_start_limiter> cold_;
    std::unordered_map<std::string, retry_window> retries_;
    std::vector<waiting_call> waiting_;
    /// Calls that found no room, and since when there is room again; nothing: there is none.
    std::unordered_map<std::uint64_t, std::optional<instant>> room_since_;
    std::map<call_class, saturation_tracker> saturated_;
    first_token_times first_tokens_;
    int gateways_ = 1;
};

} // namespace dragonflymill::direct
