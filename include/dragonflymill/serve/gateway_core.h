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

/// Settings of `gateway_core`.
struct gateway_core_options
{
    process_id self;                       ///< Process id of this gateway.
    failure_domain_id failure_domain;      ///< Failure domain that this gateway runs in.
    region_id region;                      ///< Region of that failure domain.
    std::string ticket_key;                ///< Signing key of tickets; the same as at the sidecars.
    std::size_t max_requests = 4'096;      ///< Maximum completions in flight; further ones are refused.
    std::size_t max_calls = 4'096;         ///< Maximum service calls in flight; further ones are refused.
    std::size_t upstreams_per_model = 16;  ///< Size of the gateway's subset of each model's upstreams.
    retry_settings retry;                  ///< Retry limits and backoff.
    duration probe_interval = 400ms;       ///< Minimum time between two rounds of probes for outdated loads.
    double reserved_for_short = 0.25;      ///< Fraction of a model's upstreams that receive no bulk prefill.
    overload_controller_settings overload; ///< Bounds above which work is refused or paused.
    std::uint64_t seed = 0;                ///< Seed of the retry jitter.
};

/// Makes every decision of a gateway without sockets, threads or a clock. The shell passes events in and
/// carries out the returned actions. The same events at the same times give the same actions.
class gateway_core
{
public:
    /// Creates a gateway without a bundle; it refuses every request as not ready until one is adopted.
    gateway_core(instant now, const gateway_core_options& options);
    gateway_core(const gateway_core&) = delete;
    auto operator=(const gateway_core&) -> gateway_core& = delete;
    ~gateway_core() = default;

    /// Handles one event and returns the actions to carry out.
    [[nodiscard]] auto step(instant now, const gateway_event& event) -> std::vector<gateway_action>;

    /// Grants shares of the limits of accounts that this gateway owns, to another gateway or to itself.
    [[nodiscard]] auto grant_shares(instant now, const std::vector<share_request>& requests)
        -> std::vector<share_grant>;
    /// Returns the number of completions and service calls in flight.
    [[nodiscard]] auto in_flight() const -> std::size_t { return completions_.size() + calls_.size(); }
    /// Returns the number of requests in flight whose work is paused.
    [[nodiscard]] auto paused() const -> std::size_t { return overload_.paused(); }
    /// Returns the state of the upstreams, for display.
    [[nodiscard]] auto table() const -> const upstream_table& { return routes_.table(); }

private:
    using actions_out = std::vector<gateway_action>;
    /// Admission of a request: its account and the tokens that were reserved for it.
    struct admitted
    {
        client_account_id account;
        token_count prompt_tokens = 0;
        token_count tokens = 0;
    };

    void handle(instant now, const gateway_input::completion_arrived& input, actions_out& actions);
    void handle(instant now, const gateway_input::service_arrived& input, actions_out& actions);
    void handle(instant now, const gateway_input::caller_left& input, actions_out& actions);
    void handle(instant now, const gateway_input::attempt_granted& input, actions_out& actions);
    void handle(instant now, const gateway_input::attempt_refused& input, actions_out& actions);
    void handle(instant now, const gateway_input::attempt_tokens& input, actions_out& actions);
    void handle(instant now, const gateway_input::attempt_finished& input, actions_out& actions);
    void handle(instant now, const gateway_input::attempt_broken& input, actions_out& actions);
    void handle(instant now, const gateway_input::service_answered& input, actions_out& actions);
    void handle(instant now, const gateway_input::service_refused& input, actions_out& actions);
    void handle(instant now, const gateway_input::ticket_given& input, actions_out& actions);
    void handle(instant now, const gateway_input::service_running& input, actions_out& actions);
    void handle(instant now, const gateway_input::load_reported& input, actions_out& actions);
    void handle(instant now, const gateway_input::upstream_changed& input, actions_out& actions);
    void handle(instant now, const gateway_input::bundle_adopted& input, actions_out& actions);
    void handle(instant now, const gateway_input::drains_changed& input, actions_out& actions);
    void handle(instant now, const gateway_input::gateways_changed& input, actions_out& actions);
    void handle(instant now, const gateway_input::shares_granted& input, actions_out& actions);
    void handle(instant now, const share_granted& input, actions_out& actions);
    void handle(instant now, const share_refused& input, actions_out& actions);
    void handle(instant now, const share_released& input, actions_out& actions);
    void handle(instant now, const gateway_input::stop_requested& input, actions_out& actions);
    void handle(instant now, const gateway_input::tick& input, actions_out& actions);

    [[nodiscard]] auto refuse_if_not_ready(exchange_number exchange, actions_out& actions) const -> bool;
    [[nodiscard]] static auto refuse_if_expired(exchange_number exchange, duration remaining,
                                                actions_out& actions) -> bool;
    [[nodiscard]] auto choose_own_upstreams() const -> std::vector<upstream_description>;
    [[nodiscard]] auto admit(instant now, exchange_number exchange, const client_account_id& account,
                             token_count tokens, actions_out& actions) -> bool;
    void release_admission(instant now, exchange_number exchange, token_count extra);
    void release_finished_requests(instant now, const actions_out& actions);
    void probe_outdated_loads(instant now, actions_out& actions);
    void update_overload_state(instant now, const actions_out& actions);
    void review_overload(instant now, actions_out& actions);
    void apply_drains();
    void apply_gang_outcomes(instant now, actions_out& actions);
    void report_if_done(actions_out& actions);

    gateway_core_options options_;
    gateway_router routes_;
    retry_rules rules_;
    account_limiter limiter_;
    std::map<exchange_number, admitted> admitted_; // one entry for each request in flight in the dispatchers
    gang_dispatcher gangs_;
    gateway_overload overload_;
    completion_dispatcher completions_;
    keyed_call_dispatcher calls_;
    std::shared_ptr<const bundle> in_force_;
    std::optional<gateway_input::drains_changed> drains_;
    instant next_probe_at_ = instant::min();
    bool stopping_ = false;
    bool all_done_sent_ = false;
};

/// Returns the routing descriptions of a bundle's upstreams. A plain service's upstream lists the names of
/// its routes as models.
[[nodiscard]] auto describe_upstreams(const bundle& in_force) -> std::vector<upstream_description>;

} // namespace dragonflymill
