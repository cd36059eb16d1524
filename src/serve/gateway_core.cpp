#include "dragonflymill/serve/gateway_core.h"

#include "dragonflymill/route/length_lanes.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

constexpr duration not_ready_retry_after = 1s;

auto policy_settings(const gateway_core_options& options) -> predicted_first_token_settings
{
    predicted_first_token_settings settings;
    settings.failure_domain = options.failure_domain;
    settings.region = options.region;
    return settings;
}

/// A lost sidecar is replaced, or excluded from routing, within about this time.
constexpr duration lost_sidecar_retry_after = 500ms;

auto connection_lost_refusal(bool sent) -> refusal
{
    return {refusal_code::upstream_gone, sent ? ran_state::unknown : ran_state::no, lost_sidecar_retry_after,
            "ask again"};
}

template <typename T>
auto contains(const std::vector<T>& list, const T& item) -> bool
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

auto describe_upstreams(const bundle& in_force) -> std::vector<upstream_description>
{
    std::vector<upstream_description> descriptions;
    for (const auto& entry : in_force.upstreams) {
        upstream_description made;
        made.id = entry.id;
        made.failure_domain = entry.domain;
        made.models = entry.models;
        made.memory = entry.memory_tokens;
        made.max_outstanding = entry.memory_tokens > 0 ? entry.max_outstanding : 0;
        for (const auto& domain : in_force.domains) {
            if (domain.id == entry.domain) {
                made.region = domain.region;
            }
        }
        for (const auto& model : in_force.models) {
            const bool served = std::count(entry.models.begin(), entry.models.end(), model.id) != 0;
            if (served) {
                made.adapters.insert(made.adapters.end(), model.adapters.begin(), model.adapters.end());
            }
        }
        for (const auto& route : in_force.service_routes) {
            if (std::count(route.upstreams.begin(), route.upstreams.end(), entry.id) != 0) {
                made.models.emplace_back(route.id.text());
            }
        }
        descriptions.push_back(std::move(made));
    }
    return descriptions;
}

gateway_core::gateway_core(instant now, const gateway_core_options& options)
    : options_(options)
    , routes_(predicted_first_token(policy_settings(options)))
    , rules_(options.seed, options.retry)
    , limiter_(account_limiter_settings{.self = options.self}, now)
    , gangs_(options.self, routes_.table(), options.seed)
    , overload_(routes_.table(), options.overload)
    , completions_(options.self, routes_, rules_, gangs_, options.max_requests)
    , calls_(routes_, rules_, options.ticket_key, options.max_calls)
{
}

auto gateway_core::step(instant now, const gateway_event& event) -> std::vector<gateway_action>
{
    actions_out actions;
    std::visit([&](const auto& input) { handle(now, input, actions); }, event);
    apply_gang_outcomes(now, actions);
    release_finished_requests(now, actions);
    update_overload_state(now, actions);
    return actions;
}

void gateway_core::apply_gang_outcomes(instant now, actions_out& actions)
{
    for (auto outcomes = gangs_.take_outcomes(); !outcomes.empty(); outcomes = gangs_.take_outcomes()) {
        for (const auto& outcome : outcomes) {
            if (const auto* made = std::get_if<gang_decode>(&outcome)) {
                completions_.decode(now, *made, actions);
            }
            else {
                completions_.lost(now, std::get<gang_attempt_lost>(outcome), actions);
            }
        }
    }
}

auto gateway_core::grant_shares(instant now, const std::vector<share_request>& requests)
    -> std::vector<share_grant>
{
    std::vector<share_grant> grants;
    grants.reserve(requests.size());
    for (const auto& request : requests) {
        grants.push_back(limiter_.grant_share(now, request));
    }
    return grants;
}

auto gateway_core::admit(instant now, exchange_number exchange, const client_account_id& account,
                         token_count tokens, actions_out& actions) -> bool
{
    auto refused = limiter_.admit(now, account, tokens);
    if (refused) {
        actions.push_back(gateway_output::refuse{exchange, std::move(*refused)});
        return false;
    }
    admitted_.insert_or_assign(exchange, admitted{account, 0, tokens});
    return true;
}

void gateway_core::release_admission(instant now, exchange_number exchange, token_count extra)
{
    const auto found = admitted_.find(exchange);
    if (found != admitted_.end()) {
        limiter_.done(now, found->second.account, extra);
        admitted_.erase(found);
    }
}

void gateway_core::release_finished_requests(instant now, const actions_out& actions)
{
    for (const auto& action : actions) {
        if (const auto* finished = std::get_if<gateway_output::finish>(&action)) {
            const auto found = admitted_.find(finished->exchange);
            if (found != admitted_.end()) {
                const auto taken = found->second.prompt_tokens + finished->tokens;
                release_admission(now, finished->exchange, taken - found->second.tokens);
            }
        }
        else if (const auto* refused = std::get_if<gateway_output::refuse>(&action)) {
            release_admission(now, refused->exchange, 0);
        }
        else if (const auto* answered = std::get_if<gateway_output::answer_service>(&action)) {
            release_admission(now, answered->exchange, 0);
        }
        else if (const auto* ticket = std::get_if<gateway_output::give_ticket>(&action)) {
            release_admission(now, ticket->exchange, 0);
        }
        else if (const auto* running = std::get_if<gateway_output::report_running>(&action)) {
            release_admission(now, running->exchange, 0);
        }
    }
}

void gateway_core::update_overload_state(instant now, const actions_out& actions)
{
    for (const auto& action : actions) {
        if (const auto* opened = std::get_if<gateway_output::open_attempt>(&action)) {
            overload_.sent(opened->key.exchange);
        }
        else if (const auto* tokens = std::get_if<gateway_output::deliver>(&action)) {
            overload_.prefilled(tokens->exchange);
        }
        else if (const auto* finished = std::get_if<gateway_output::finish>(&action)) {
            overload_.ended(now, finished->exchange, true);
        }
        else if (const auto* refused = std::get_if<gateway_output::refuse>(&action)) {
            // Only an expired time limit says something about the class; every other refusal concerns one
            // request.
            if (refused->why.code == refusal_code::deadline) {
                overload_.ended(now, refused->exchange, false);
            }
            overload_.left(refused->exchange);
        }
    }
}

void gateway_core::review_overload(instant now, actions_out& actions)
{
    const auto due = overload_.review(now);
    for (const auto exchange : due.pause) {
        completions_.pause(now, exchange, actions);
    }
    for (const auto exchange : due.resume) {
        completions_.resume(now, exchange, actions);
    }
}

auto gateway_core::refuse_if_not_ready(exchange_number exchange, actions_out& actions) const -> bool
{
    if (in_force_) {
        return false;
    }
    actions.push_back(gateway_output::refuse{
        exchange,
        {refusal_code::not_ready, ran_state::no, not_ready_retry_after, "try another gateway or come back"}});
    return true;
}

// Guards against a request that starts after its time limit, because it waited for this thread or because the
// process was paused. The caller has given up by then and doesn't expect an answer, or a booking, any more.
auto gateway_core::refuse_if_expired(exchange_number exchange, duration remaining, actions_out& actions)
    -> bool
{
    if (remaining > duration::zero()) {
        return false;
    }
    actions.push_back(gateway_output::refuse{
        exchange,
        {refusal_code::deadline, ran_state::no, duration::zero(), "send it again if it is wanted"}});
    return true;
}

void gateway_core::handle(instant now, const gateway_input::completion_arrived& input, actions_out& actions)
{
    const auto most_tokens = input.prompt_tokens + input.max_tokens;
    if (refuse_if_not_ready(input.exchange, actions) ||
        refuse_if_expired(input.exchange, input.remaining(), actions) ||
        !admit(now, input.exchange, input.account, most_tokens, actions)) {
        return;
    }
    admitted_.at(input.exchange).prompt_tokens = input.prompt_tokens;
    auto answer = overload_.offer(now, input);
    if (auto* refused = std::get_if<refusal>(&answer)) {
        actions.push_back(gateway_output::refuse{input.exchange, std::move(*refused)});
    }
    else if (std::holds_alternative<defer_work>(answer)) {
        completions_.arrived_deferred(now, input, actions);
    }
    else {
        completions_.arrived(now, input, actions);
    }
}

void gateway_core::handle(instant now, const gateway_input::service_arrived& input, actions_out& actions)
{
    auto remaining_call = input;
    remaining_call.spec.remaining -= input.waited;
    if (!refuse_if_not_ready(input.exchange, actions) &&
        !refuse_if_expired(input.exchange, remaining_call.spec.remaining, actions) &&
        admit(now, input.exchange, input.spec.account, 0, actions)) {
        calls_.arrived(now, remaining_call, actions);
    }
}

void gateway_core::handle(instant now, const gateway_input::caller_left& input, actions_out& actions)
{
    completions_.caller_left(now, input.exchange, actions);
    calls_.caller_left(now, input.exchange);
    overload_.left(input.exchange);
    release_admission(now, input.exchange, 0);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::attempt_granted& input, actions_out& actions)
{
    if (gang_dispatcher::is_export(input.key)) {
        gangs_.granted(input.key, actions);
        return;
    }
    completions_.granted(now, input.key, actions);
}

void gateway_core::handle(instant now, const gateway_input::attempt_refused& input, actions_out& actions)
{
    if (gang_dispatcher::is_export(input.key)) {
        gangs_.refused(now, input, actions);
        return;
    }
    completions_.refused(now, input, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::attempt_tokens& input, actions_out& actions)
{
    completions_.tokens(now, input, actions);
}

void gateway_core::handle(instant now, const gateway_input::attempt_finished& input, actions_out& actions)
{
    if (gang_dispatcher::is_export(input.key)) {
        gangs_.finished(now, input, actions);
        return;
    }
    completions_.finished(now, input, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::attempt_broken& input, actions_out& actions)
{
    handle(now, gateway_input::attempt_refused{input.key, connection_lost_refusal(input.prompt_sent)},
           actions);
}

void gateway_core::handle(instant now, const gateway_input::service_answered& input, actions_out& actions)
{
    calls_.answered(now, input, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::service_refused& input, actions_out& actions)
{
    calls_.refused(now, input, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::ticket_given& input, actions_out& actions)
{
    calls_.ticket_given(now, input, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::service_running& input, actions_out& actions)
{
    calls_.running(now, input, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::load_reported& input, actions_out& /*actions*/)
{
    routes_.report(now, input.upstream, input.load);
}

void gateway_core::handle(instant now, const gateway_input::upstream_changed& input, actions_out& actions)
{
    routes_.table().set_state(input.upstream, input.state);
    if (input.state == upstream_state::dead) {
        gangs_.upstream_gone(now, input.upstream, actions);
    }
}

void gateway_core::handle(instant now, const share_granted& input, actions_out& actions)
{
    gangs_.step(now, input, actions);
}

void gateway_core::handle(instant now, const share_refused& input, actions_out& actions)
{
    gangs_.step(now, input, actions);
}

void gateway_core::handle(instant now, const share_released& input, actions_out& /*actions*/)
{
    gangs_.step(now, input);
}

void gateway_core::handle(instant now, const gateway_input::bundle_adopted& input, actions_out& actions)
{
    in_force_ = input.in_force;
    limiter_.bundle_adopted(now, *in_force_);
    overload_.bundle_adopted(*in_force_);
    auto chosen = choose_own_upstreams();
    gateway_output::connect_upstreams connect;
    for (const auto& description : chosen) {
        const auto entry = std::find_if(in_force_->upstreams.begin(), in_force_->upstreams.end(),
                                        [&](const upstream_entry& e) { return e.id == description.id; });
        connect.upstreams.push_back(*entry);
    }
    const auto configured = routes_.table().configure(std::move(chosen));
    static_cast<void>(configured); // the subset never exceeds the table's bound
    calls_.routes_changed(in_force_->service_routes);
    apply_drains();
    actions.push_back(std::move(connect));
}

auto gateway_core::choose_own_upstreams() const -> std::vector<upstream_description>
{
    auto engines = describe_upstreams(*in_force_);
    const auto is_engine = [](const upstream_description& d) { return d.memory > 0; };
    const auto first_service = std::stable_partition(engines.begin(), engines.end(), is_engine);
    // Every gateway keeps all plain services: a key is owned by one of them, and no other may run its call.
    std::vector<upstream_description> services(first_service, engines.end());
    engines.erase(first_service, engines.end());
    reserve_for_short(options_.reserved_for_short, engines);
    const subset_settings wanted{options_.self, options_.region, options_.upstreams_per_model};
    auto chosen = choose_subset(wanted, engines);
    chosen.insert(chosen.end(), services.begin(), services.end());
    return chosen;
}

void gateway_core::handle(instant /*now*/, const gateway_input::drains_changed& input,
                          actions_out& /*actions*/)
{
    drains_ = input;
    if (in_force_) {
        apply_drains();
    }
}

void gateway_core::apply_drains()
{
    for (const auto& domain : in_force_->domains) {
        const bool out = drains_ ? contains(drains_->domains, domain.id) : !domain.in_service;
        routes_.table().set_drained(domain.id, out);
    }
    for (const auto& upstream : in_force_->upstreams) {
        routes_.table().set_drained(upstream.id, drains_ && contains(drains_->hosts, upstream.host));
    }
}

void gateway_core::handle(instant now, const gateway_input::gateways_changed& input, actions_out& /*actions*/)
{
    limiter_.gateways_changed(now, input.live, input.configured);
}

void gateway_core::handle(instant now, const gateway_input::shares_granted& input, actions_out& /*actions*/)
{
    for (const auto& grant : input.grants) {
        limiter_.share_granted(now, grant, input.asked);
    }
}

void gateway_core::handle(instant now, const gateway_input::stop_requested& /*input*/, actions_out& actions)
{
    stopping_ = true;
    overload_.stop();
    review_overload(now, actions);
    report_if_done(actions);
}

void gateway_core::handle(instant now, const gateway_input::tick& /*input*/, actions_out& actions)
{
    completions_.tick(now, actions);
    gangs_.tick(now, actions);
    calls_.tick(now, actions);
    review_overload(now, actions);
    for (auto& shares : limiter_.tick(now)) {
        if (shares.home == options_.self) {
            for (const auto& grant : grant_shares(now, shares.requests)) {
                limiter_.share_granted(now, grant, shares.asked);
            }
        }
        else {
            actions.push_back(gateway_output::request_account_shares{std::move(shares)});
        }
    }
    probe_outdated_loads(now, actions);
    report_if_done(actions);
}

void gateway_core::probe_outdated_loads(instant now, actions_out& actions)
{
    // Probes are sent only while there is work, since an idle gateway needs no loads. The interval bounds
    // their cost for any number of upstreams; upstreams that receive requests also report their load with the
    // answers.
    if (in_flight() == 0 || now < next_probe_at_) {
        return;
    }
    next_probe_at_ = now + options_.probe_interval;
    for (auto& upstream : routes_.table().probes_due(now)) {
        actions.push_back(gateway_output::probe_load{std::move(upstream)});
    }
}

void gateway_core::report_if_done(actions_out& actions)
{
    if (stopping_ && in_flight() == 0 && gangs_.releases() == 0 && !all_done_sent_) {
        all_done_sent_ = true;
        actions.push_back(gateway_output::all_done{});
    }
}

} // namespace dragonflymill
