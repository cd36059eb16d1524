#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/gang/gang_planner.h"
#include "dragonflymill/route/upstream_table.h"
#include "dragonflymill/serve/gateway_messages.h"

#include <map>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflymill {

/// All spans but the last are computed: the answer is to be decoded at the engine of the last span.
struct gang_decode
{
    exchange_number exchange;
    upstream_id upstream;               ///< Upstream of the last span, which decodes.
    lease_id share;                     ///< Share to decode under.
    token_count prefill = 0;            ///< Tokens of the prompt that no other engine has computed.
    std::vector<span_import> imports{}; ///< Spans that the other engines computed.

    friend auto operator==(const gang_decode&, const gang_decode&) -> bool = default;
};

/// The gang of a request can't be reserved, or one of its members was lost.
struct gang_attempt_lost
{
    exchange_number exchange;
    refusal why;
    bool is_final = false; ///< Whether no other gang can help within the time limit.

    friend auto operator==(const gang_attempt_lost&, const gang_attempt_lost&) -> bool = default;
};

/// Outcome of a gang.
using gang_outcome = std::variant<gang_decode, gang_attempt_lost>;

/// Manages the gangs of one gateway: reserves their shares, has the spans computed one after the other, and
/// reports where to decode. Every share is released when the request ends or a member is lost.
///
/// Bound: `gang_planner_options::max_gangs` gangs over all models; further ones are refused.
class gang_dispatcher
{
public:
    /// Keeps a reference to `table`, which must outlive it. `self` is the gateway's process id.
    gang_dispatcher(process_id self, const upstream_table& table, std::uint64_t seed);

    /// Returns whether the request exceeds what any single engine could hold.
    [[nodiscard]] auto needed(const route_request& request) const -> bool;
    /// Starts a gang for a request; a request that had one before gets a new round.
    void start(instant now, const gateway_input::completion_arrived& asked, const deadline_budget& limit,
               std::vector<gateway_action>& actions);
    /// Releases the shares of a request; another gang may follow.
    void release_shares(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// Releases the shares of a request and forgets it.
    void finish(instant now, exchange_number exchange, std::vector<gateway_action>& actions);

    /// Returns whether a part of the request's prompt may have been sent to an engine.
    [[nodiscard]] auto may_have_run(exchange_number exchange) const -> bool;
    /// Returns whether the attempt computes a span, in the current round or an earlier one.
    [[nodiscard]] static auto is_export(const attempt_key& key) -> bool;
    /// Sends the text of a span whose attempt was granted.
    void granted(const attempt_key& key, std::vector<gateway_action>& actions);
    /// Handles the refusal or loss of a span's attempt.
    void refused(instant now, const gateway_input::attempt_refused& input,
                 std::vector<gateway_action>& actions);
    /// Handles a computed span and starts the next one.
    void finished(instant now, const gateway_input::attempt_finished& input,
                  std::vector<gateway_action>& actions);
    /// Handles the grant of a share.
    void step(instant now, const share_granted& granted, std::vector<gateway_action>& actions);
    /// Handles the refusal of a share.
    void step(instant now, const share_refused& refused, std::vector<gateway_action>& actions);
    /// Handles the confirmation of a release.
    void step(instant now, const share_released& released);
    /// Handles an upstream that died or became unreachable.
    void upstream_gone(instant now, const upstream_id& upstream, std::vector<gateway_action>& actions);
    /// Carries out renewals and repeats that are due.
    void tick(instant now, std::vector<gateway_action>& actions);

    /// Returns and clears the outcomes since the last call.
    [[nodiscard]] auto take_outcomes() -> std::vector<gang_outcome> { return std::exchange(outcomes_, {}); }
    /// Returns the number of releases that no sidecar has confirmed yet.
    [[nodiscard]] auto releases() const -> std::size_t;

private:
    enum class phase
    {
        idle,
        reserving,
        computing,
        decoding,
    };

    struct gang
    {
        gateway_input::completion_arrived asked;
        deadline_budget limit;
        attempt_number round{0}; // the highest that a sidecar may have received
        phase state = phase::idle;
        std::vector<kv_span> spans{};
        std::vector<span_import> computed{};
        attempt_number exporting{0}; // the running attempt at a span
        bool text_sent = false;      // for a span, in this round or an earlier one
    };
    using gangs = std::map<exchange_number, gang>;
    using model_key = std::pair<model_id, adapter_id>;
    using actions_out = std::vector<gateway_action>;

    [[nodiscard]] auto planner_of(const gang& item) -> gang_planner&;
    [[nodiscard]] auto find(const request_id& request) -> gangs::iterator;
    [[nodiscard]] auto find_export(const attempt_key& key) -> gangs::iterator;
    [[nodiscard]] auto candidates_of(const model_key& model) const -> std::vector<gang_candidate>;
    [[nodiscard]] auto active_gangs() const -> std::size_t;
    void apply_outputs(instant now, std::vector<gang_output> outputs, actions_out& actions);
    void record_round(const gang_key& key);
    void ready(instant now, const gang_ready& made, actions_out& actions);
    void failed(const gang_failed& lost, actions_out& actions);
    void start_next_span(instant now, gangs::iterator entry, actions_out& actions);
    static void cancel_export(exchange_number exchange, gang& item, actions_out& actions);

    process_id self_;
    const upstream_table& table_;
    std::uint64_t seed_;
    gangs gangs_;
    std::map<model_key, gang_planner> planners_; // candidates differ between models
    gang_planner orphan_shares_; // releases shares that are granted after their request has ended
    std::vector<gang_outcome> outcomes_;
    std::uint64_t last_export_ = 0;
};

} // namespace dragonflymill
