#pragma once

#include "dragonflymill/route/subset.h"
#include "dragonflymill/serve/call_desk.h"
#include "dragonflymill/serve/completion_desk.h"
#include "dragonflymill/serve/gateway_messages.h"

#include <memory>
#include <set>
#include <vector>

namespace dragonflymill {

/// Settings of a gateway_core.
struct gateway_core_options
{
    process_id self;                      ///< The gateway.
    failure_domain_id failure_domain;     ///< Where it stands.
    region_id region;                     ///< Region of that failure domain.
    std::string ticket_key;               ///< Key of the tickets' seal, as sidecars have it.
    std::size_t max_requests = 4'096;     ///< Completions in hand; more are refused.
    std::size_t max_calls = 4'096;        ///< Service calls in hand; more are refused.
    std::size_t upstreams_per_model = 16; ///< Size of the gateway's subset of each model's upstreams.
    retry_settings retry;                 ///< Retry rules.
    double reserved_for_short = 0.25;     ///< Share of a model's upstreams that take no bulk prefill.
    std::uint64_t seed = 0;               ///< Spreads retry times.
};

/// Every decision of a gateway, without a socket, thread or clock: the shell feeds it events and carries out
/// its actions. The same events at the same times give the same actions.
class gateway_core
{
public:
    /// A gateway that knows no bundle yet, and refuses everything as not ready.
    explicit gateway_core(const gateway_core_options& options);
    gateway_core(const gateway_core&) = delete;
    auto operator=(const gateway_core&) -> gateway_core& = delete;
    ~gateway_core() = default;

    /// Takes in one event.
    [[nodiscard]] auto step(instant now, const gateway_event& event) -> std::vector<gateway_action>;

    /// Requests and calls in hand.
    [[nodiscard]] auto in_hand() const -> std::size_t { return completions_.size() + calls_.size(); }
    /// What is known of the upstreams, for display.
    [[nodiscard]] auto table() const -> const upstream_table& { return routes_.table(); }

private:
    using actions_out = std::vector<gateway_action>;

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
    void take(instant now, const gateway_input::load_heard& input, actions_out& actions);
    void take(instant now, const gateway_input::upstream_changed& input, actions_out& actions);
    void take(instant now, const gateway_input::bundle_adopted& input, actions_out& actions);
    void take(instant now, const gateway_input::domain_changed& input, actions_out& actions);
    void take(instant now, const gateway_input::stop_asked& input, actions_out& actions);
    void take(instant now, const gateway_input::tick& input, actions_out& actions);

    [[nodiscard]] auto refuse_if_not_ready(exchange_number exchange, actions_out& actions) const -> bool;
    [[nodiscard]] auto choose_own_upstreams() const -> std::vector<upstream_description>;
    void apply_drains();
    void say_if_done(actions_out& actions);

    gateway_core_options options_;
    gateway_router routes_;
    retry_rules rules_;
    completion_desk completions_;
    call_desk calls_;
    std::shared_ptr<const bundle> in_force_;
    std::set<failure_domain_id> out_by_word_; // at most the failure domains there are
    bool stopping_ = false;
    bool said_all_done_ = false;
};

/// What routing needs to know of a bundle's upstreams. A plain service's upstream serves its routes' names.
[[nodiscard]] auto describe_upstreams(const bundle& in_force) -> std::vector<upstream_description>;

} // namespace dragonflymill
