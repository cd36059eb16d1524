#pragma once

#include "dragonflymill/limit/account_limiter.h"
#include "dragonflymill/route/subset.h"
#include "dragonflymill/serve/completion_dispatcher.h"
#include "dragonflymill/serve/gateway_messages.h"
#include "dragonflymill/serve/keyed_call_dispatcher.h"
#include "dragonflymill/serve/overload_controller.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflymill {

/// Settings of a gateway_core.
struct gateway_core_options
{
    process_id self;                       ///< The gateway.
    failure_domain_id failure_domain;      ///< Where it stands.
    region_id region;                      ///< Region of that failure domain.
    std::string ticket_key;                ///< Key of the tickets' seal, as sidecars have it.
    std::size_t max_requests = 4'096;      ///< Completions in hand; more are refused.
    std::size_t max_calls = 4'096;         ///< Service calls in hand; more are refused.
    std::size_t upstreams_per_model = 16;  ///< Size of the gateway's subset of each model's upstreams.
    retry_settings retry;                  ///< Retry rules.
    duration probe_spacing = 400ms;        ///< Between two looks for load words that are too old.
    double reserved_for_short = 0.25;      ///< Share of a model's upstreams that take no bulk prefill.
    overload_controller_settings overload; ///< Bounds above which work is refused or paused.
    std::uint64_t seed = 0;                ///< Spreads retry times.
};

/// Every decision of a gateway, without a socket, thread or clock: the shell feeds it events and carries out
/// its actions. The same events at the same times give the same actions.
class gateway_core
{
public:
    /// A gateway that knows no bundle yet, and refuses everything as not ready.
    gateway_core(instant now, const gateway_core_options& options);
    gateway_core(const gateway_core&) = delete;
    auto operator=(const gateway_core&) -> gateway_core& = delete;
    ~gateway_core() = default;

    /// Takes in one event.
    [[nodiscard]] auto step(instant now, const gateway_event& event) -> std::vector<gateway_action>;

    /// Another gateway, or this one, asks for shares of accounts whose home this is.
    [[nodiscard]] auto grant_shares(instant now, const std::vector<share_request>& requests)
        -> std::vector<share_grant>;
    /// Requests and calls in hand.
    [[nodiscard]] auto in_flight() const -> std::size_t { return completions_.size() + calls_.size(); }
    /// Requests in hand whose work is paused.
    [[nodiscard]] auto paused() const -> std::size_t { return overload_.paused(); }
    /// What is known of the upstreams, for display.
    [[nodiscard]] auto table() const -> const upstream_table& { return routes_.table(); }

private:
    using actions_out = std::vector<gateway_action>;
    /// What a request was admitted for.
    struct admitted
    {
        client_account_id account;
        token_count prompt_tokens = 0;
        token_count tokens = 0;
    };

    void take(instant now, const gateway_input::completion_arrived& input, actions_out& actions);
    void take(instant now, const gateway_input::service_arrived& input, actions_out& actions);
    void take(instant now, const gateway_input::caller_left& input, actions_out& actions);
    void take(instant now, const gateway_input::attempt_granted& input, actions_out& actions);
    void take(instant now, const gateway_input::attempt_refused& input, actions_out& actions);
    void take(instant now, const gateway_input::attempt_tokens& input, actions_out& actions);
    void take(instant now, const gateway_input::attempt_finished& input, actions_out& actions);
    void take(instant now, const gateway_input::attempt_broken& input, actions_out& actions);
    void take(instant now, const gateway_input::service_answered& input, actions_out& actions);
    void take(instant now, const gateway_input::service_refused& input, actions_out& actions);
    void take(instant now, const gateway_input::ticket_given& input, actions_out& actions);
    void take(instant now, const gateway_input::service_running& input, actions_out& actions);
    void take(instant now, const gateway_input::load_reported& input, actions_out& actions);
    void take(instant now, const gateway_input::upstream_changed& input, actions_out& actions);
    void take(instant now, const gateway_input::bundle_adopted& input, actions_out& actions);
    void take(instant now, const gateway_input::drains_changed& input, actions_out& actions);
    void take(instant now, const gateway_input::gateways_changed& input, actions_out& actions);
    void take(instant now, const gateway_input::shares_granted& input, actions_out& actions);
    void take(instant now, const share_granted& input, actions_out& actions);
    void take(instant now, const share_refused& input, actions_out& actions);
    void take(instant now, const share_released& input, actions_out& actions);
    void take(instant now, const gateway_input::stop_requested& input, actions_out& actions);
    void take(instant now, const gateway_input::tick& input, actions_out& actions);

    [[nodiscard]] auto refuse_if_not_ready(exchange_number exchange, actions_out& actions) const -> bool;
    [[nodiscard]] static auto refuse_if_late(exchange_number exchange, duration remaining,
                                             actions_out& actions) -> bool;
    [[nodiscard]] auto choose_own_upstreams() const -> std::vector<upstream_description>;
    [[nodiscard]] auto admit(instant now, exchange_number exchange, const client_account_id& account,
                             token_count tokens, actions_out& actions) -> bool;
    void give_back(instant now, exchange_number exchange, token_count extra);
    void settle_accounts(instant now, const actions_out& actions);
    void probe_old_loads(instant now, actions_out& actions);
    void note_progress(instant now, const actions_out& actions);
    void review_overload(instant now, actions_out& actions);
    void apply_drains();
    void follow_gangs(instant now, actions_out& actions);
    void say_if_done(actions_out& actions);

    gateway_core_options options_;
    gateway_router routes_;
    retry_rules rules_;
    account_limiter limiter_;
    std::map<exchange_number, admitted> admitted_; // in step with what the dispatchers have in hand
    gang_dispatcher gangs_;
    gateway_overload overload_;
    completion_dispatcher completions_;
    keyed_call_dispatcher calls_;
    std::shared_ptr<const bundle> in_force_;
    std::optional<gateway_input::drains_changed> drains_;
    instant next_probes_ = instant::min();
    bool stopping_ = false;
    bool said_all_done_ = false;
};

/// What routing needs to know of a bundle's upstreams. A plain service's upstream serves its routes' names.
[[nodiscard]] auto describe_upstreams(const bundle& in_force) -> std::vector<upstream_description>;

} // namespace dragonflymill
