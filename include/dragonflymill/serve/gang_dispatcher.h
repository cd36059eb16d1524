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

/// Every span but the last stands at its engine: the answer is to be decoded at the last one's.
struct gang_decode
{
    exchange_number exchange;           ///< The request.
    upstream_id upstream;               ///< Where to decode.
    lease_id share;                     ///< Share to decode under.
    token_count prefill = 0;            ///< Tokens of the prompt that no other engine has computed.
    std::vector<span_import> imports{}; ///< The spans of the others.

    friend auto operator==(const gang_decode&, const gang_decode&) -> bool = default;
};

/// The gang of a request can't be had, or one of its members was lost.
struct gang_attempt_lost
{
    exchange_number exchange; ///< The request.
    refusal why;              ///< Why.
    bool is_final = false;    ///< Whether another gang can't help within the time limit.

    friend auto operator==(const gang_attempt_lost&, const gang_attempt_lost&) -> bool = default;
};

/// What becomes of a gang.
using gang_outcome = std::variant<gang_decode, gang_attempt_lost>;

/// The gangs that one gateway has in hand: asks for their shares, has the spans computed one after the other,
/// and says where to decode. Every share is given back when the request ends or a member is lost.
///
/// Bound: `gang_planner_options::max_gangs` gangs over all models; more are refused.
class gang_dispatcher
{
public:
    /// Works with `table`, which the owner keeps alive, for the gateway `self`.
    gang_dispatcher(process_id self, const upstream_table& table, std::uint64_t seed);

    /// Whether no single engine could ever take the request.
    [[nodiscard]] auto needed(const route_request& request) const -> bool;
    /// Starts a gang for a request, in a new round if it had one before.
    void start(instant now, const gateway_input::completion_arrived& asked, const deadline_budget& limit,
               std::vector<gateway_action>& actions);
    /// Gives the shares of a request back; another gang may follow.
    void give_back(instant now, exchange_number exchange, std::vector<gateway_action>& actions);
    /// Gives the shares of a request back for good.
    void finish(instant now, exchange_number exchange, std::vector<gateway_action>& actions);

    /// Whether a part of the request's prompt may have left for an engine.
    [[nodiscard]] auto may_have_run(exchange_number exchange) const -> bool;
    /// Whether the try computes a span, now or some time ago.
    [[nodiscard]] static auto is_export(const attempt_key& key) -> bool;
    /// A sidecar took the try at a span: its text may travel.
    void granted(const attempt_key& key, std::vector<gateway_action>& actions);
    /// A try at a span was refused or lost.
    void refused(instant now, const gateway_input::attempt_refused& input,
                 std::vector<gateway_action>& actions);
    /// A span is computed.
    void finished(instant now, const gateway_input::attempt_finished& input,
                  std::vector<gateway_action>& actions);
    /// Takes in a grant of a share.
    void step(instant now, const share_granted& granted, std::vector<gateway_action>& actions);
    /// Takes in the refusal of a share.
    void step(instant now, const share_refused& refused, std::vector<gateway_action>& actions);
    /// Takes in the confirmation of a release.
    void step(instant now, const share_released& released);
    /// An upstream died or was taken out of reach.
    void upstream_gone(instant now, const upstream_id& upstream, std::vector<gateway_action>& actions);
    /// Does what is due.
    void tick(instant now, std::vector<gateway_action>& actions);

    /// What became of gangs since the last call.
    [[nodiscard]] auto take_outcomes() -> std::vector<gang_outcome> { return std::exchange(outcomes_, {}); }
    /// Releases that no sidecar has confirmed yet.
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
        attempt_number round{0}; // the highest that a sidecar may know of
        phase state = phase::idle;
        std::vector<kv_span> spans{};
        std::vector<span_import> computed{};
        attempt_number exporting{0}; // the running try at a span
        bool text_sent = false;      // of a span, in this round or an earlier one
    };
    using gangs = std::map<exchange_number, gang>;
    using model_key = std::pair<model_id, adapter_id>;
    using actions_out = std::vector<gateway_action>;

    [[nodiscard]] auto planner_of(const gang& item) -> gang_planner&;
    [[nodiscard]] auto find(const request_id& request) -> gangs::iterator;
    [[nodiscard]] auto find_export(const attempt_key& key) -> gangs::iterator;
    [[nodiscard]] auto candidates_of(const model_key& model) const -> std::vector<gang_candidate>;
    [[nodiscard]] auto under_way() const -> std::size_t;
    void carry_out(instant now, std::vector<gang_output> outputs, actions_out& actions);
    void note_round(const gang_key& key);
    void ready(instant now, const gang_ready& made, actions_out& actions);
    void failed(const gang_failed& lost, actions_out& actions);
    void next_span(instant now, gangs::iterator held, actions_out& actions);
    static void end_export(exchange_number exchange, gang& item, actions_out& actions);

    process_id self_;
    const upstream_table& table_;
    std::uint64_t seed_;
    gangs gangs_;
    std::map<model_key, gang_planner> planners_; // candidates differ from model to model
    gang_planner late_;                          // gives back what is granted for requests that are over
    std::vector<gang_outcome> outcomes_;
    std::uint64_t exports_ = 0;
};

} // namespace dragonflymill
