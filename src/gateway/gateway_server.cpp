#include "gateway/gateway_server.h"

#include "app/version.h"
#include "dragonflymill/core/stable_hash.h"
#include "gateway/completion_request.h"
#include "gateway/http_responses.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <set>
#include <utility>

namespace dragonflymill::gateway {

namespace {

constexpr duration tick_interval = 10ms;
constexpr duration grant_timeout = 200ms;
constexpr duration status_interval = 250ms;
constexpr metric_name first_token_name{"dragonflymill_first_token_seconds",
                                       "Time from a request's arrival to its first token, by length class"};
constexpr metric_name pauses_name{"dragonflymill_pauses_total",
                                  "Requests paused while upstreams were overloaded"};
constexpr metric_name requests_name{"dragonflymill_requests_total", "Requests by their final answer"};

auto state_text(const upstream_record& record) -> std::string
{
    if (record.drained()) {
        return "drained";
    }
    switch (record.state()) {
    case upstream_state::alive:
        return record.load().cold ? "cold" : "alive";
    case upstream_state::suspect:
        return "suspect";
    case upstream_state::leaving:
        return "leaving";
    case upstream_state::dead:
        return "dead";
    }
    return "dead";
}

/// Input that reports a service call that was never sent, and thus has not run.
auto unsent_service_call(const attempt_key& key) -> gateway_event
{
    return gateway_input::service_refused{
        key, {refusal_code::upstream_gone, ran_state::no, 500ms, "come back after the time given"}};
}

auto core_options(const gateway_settings& settings, std::string ticket_key) -> gateway_core_options
{
    gateway_core_options options;
    options.self = settings.process.name;
    options.failure_domain = settings.process.failure_domain;
    options.region = settings.process.region;
    options.ticket_key = std::move(ticket_key);
    options.max_requests = settings.rings.requests;
    options.max_calls = settings.rings.requests;
    options.seed = stable_hash(settings.process.name.text());
    options.overload.drain_time = settings.overload_drain_time;
    options.overload.seed = options.seed;
    return options;
}

/// Sets the time that a request has waited in the queue since it was parsed.
void set_wait_time(duration waited, gateway_event& event)
{
    if (auto* completion = std::get_if<gateway_input::completion_arrived>(&event)) {
        completion->waited = waited;
    }
    else if (auto* call = std::get_if<gateway_input::service_arrived>(&event)) {
        call->waited = waited;
    }
}

} // namespace

gateway_server::gateway_server(const gateway_settings& settings, std::string ticket_key,
                               timeline_recorder& timeline, metrics_registry& metrics,
                               gateway_server_handlers handlers)
    : self_(settings.process.name)
    , heartbeat_{settings.heartbeat.interval, settings.heartbeat.misses, settings.heartbeat.renewal}
    , timeline_(timeline)
    , metrics_(metrics)
    , handlers_(std::move(handlers))
    , core_(runtime::now(), core_options(settings, std::move(ticket_key)))
    , core_thread_(settings.rings.deliveries, tick_interval)
{
}

void gateway_server::start()
{
    core_thread_.start([this](std::optional<server_event> event) { handle(std::move(event)); });
}

void gateway_server::apply_snapshot(const control::control_snapshot& snapshot)
{
    if (snapshot.in_force && snapshot.in_force != adopted_bundle_) {
        adopted_bundle_ = snapshot.in_force;
        post(gateway_event(gateway_input::bundle_adopted{adopted_bundle_}));
    }
    member_info self;
    self.id = self_;
    self.role = process_role::gateway;
    post(gateway_event(gateway_input::drains_changed{snapshot.drained_domains, snapshot.drained_hosts}));
    post(gateway_event(
        gateway_input::gateways_changed{control::live_gateways(snapshot, self), snapshot.gateways_expected}));
}

auto gateway_server::grant_shares(const std::vector<share_request>& requests) -> std::vector<share_grant>
{
    const auto answer = std::make_shared<std::promise<std::vector<share_grant>>>();
    auto future = answer->get_future();
    const bool queued = core_thread_.post(grant_query{requests, answer});
    if (queued && future.wait_for(grant_timeout) == std::future_status::ready) {
        return future.get();
    }
    return {}; // without grants the other gateway keeps using equal shares
}

void gateway_server::shares_granted(std::vector<share_grant> grants, instant requested_at)
{
    post(gateway_event(gateway_input::shares_granted{std::move(grants), requested_at}));
}

auto gateway_server::submit(accepted_request accepted) -> bool
{
    return core_thread_.post(std::move(accepted));
}

void gateway_server::caller_disconnected(std::uint64_t exchange)
{
    post(gateway_event(gateway_input::caller_left{exchange_number(exchange)}));
}

void gateway_server::stop()
{
    post(gateway_event(gateway_input::stop_requested{}));
}

void gateway_server::join()
{
    core_thread_.stop();
    links_.clear();
    calls_.cancel_and_wait();
}

void gateway_server::post(link_event event)
{
    static_cast<void>(core_thread_.post_waiting(std::move(event)));
}

void gateway_server::handle(std::optional<server_event> event)
{
    const auto now = runtime::now();
    if (event) {
        if (auto* accepted = std::get_if<accepted_request>(&*event)) {
            const exchange_number number(accepted->pending.session_exchange);
            set_wait_time(now - accepted->pending.arrived, accepted->event);
            timeline_.record(accepted->pending.request, "arrived", accepted->pending.model);
            exchanges_.insert_or_assign(number, std::move(accepted->pending));
            log_.log(accepted->event);
            execute(core_.step(now, accepted->event));
        }
        else if (const auto* query = std::get_if<grant_query>(&*event)) {
            query->answer->set_value(core_.grant_shares(now, query->requests));
        }
        else {
            handle_link(std::move(std::get<link_event>(*event)));
        }
    }
    if (now - last_tick_ >= tick_interval) {
        pauses_.tick(now);
        last_tick_ = now;
        tick(now);
    }
}

void gateway_server::handle_link(link_event event)
{
    const auto now = runtime::now();
    if (const auto* answer = std::get_if<heartbeat_answered>(&event)) {
        const auto link = links_.find(answer->upstream);
        if (link != links_.end()) {
            link->second->heard(now);
        }
        execute(core_.step(now, gateway_input::load_reported{answer->upstream, answer->load}));
        return;
    }
    const auto& input = std::get<gateway_event>(event);
    record_message(input);
    log_.log(input);
    erase_placement(input);
    execute(core_.step(now, input));
    if (const auto* disconnected = std::get_if<gateway_input::caller_left>(&input)) {
        exchanges_.erase(disconnected->exchange);
    }
}

void gateway_server::erase_placement(const gateway_event& input)
{
    if (const auto* refused = std::get_if<gateway_input::attempt_refused>(&input)) {
        placements_.erase(refused->key);
    }
    else if (const auto* finished = std::get_if<gateway_input::attempt_finished>(&input)) {
        placements_.erase(finished->key);
    }
    else if (const auto* broken = std::get_if<gateway_input::attempt_broken>(&input)) {
        placements_.erase(broken->key);
    }
}

void gateway_server::record_message(const gateway_event& input)
{
    if (const auto* granted = std::get_if<gateway_input::attempt_granted>(&input)) {
        record_received(granted->key, "granted", grant_message);
    }
    else if (const auto* refused = std::get_if<gateway_input::attempt_refused>(&input)) {
        record_received(refused->key, "attempt_refused", end_message);
    }
    else if (const auto* finished = std::get_if<gateway_input::attempt_finished>(&input)) {
        record_received(finished->key, "answer_end", end_message);
    }
}

void gateway_server::record_received(const attempt_key& key, std::string_view step, std::string_view message)
{
    const auto pending = exchanges_.find(key.exchange);
    if (pending != exchanges_.end() && timeline_.enabled()) {
        const request_id& request = pending->second.request;
        timeline_.record_receive(request, step, attempt_message(request, key.attempt, message));
    }
}

void gateway_server::tick(instant now)
{
    execute(core_.step(now, gateway_input::tick{}));
    publish_status(now);
    for (const auto& [upstream, link] : links_) {
        const auto result = link->tick(now);
        if (result.connection_replaced) {
            log_event(event::upstream_connection_silent, field("upstream", upstream));
        }
        if (result.state) {
            log_state(upstream, *result.state);
            execute(core_.step(now, gateway_input::upstream_changed{upstream, *result.state}));
        }
        for (const auto& key : result.unsent_calls) {
            execute(core_.step(now, unsent_service_call(key)));
        }
    }
}

void gateway_server::log_state(const upstream_id& upstream, upstream_state state)
{
    if (state == upstream_state::dead) {
        log_event(event::upstream_lost, field("upstream", upstream));
    }
    else if (state == upstream_state::alive) {
        log_event(event::upstream_connected, field("upstream", upstream));
    }
}

void gateway_server::publish_status(instant now)
{
    if (now < next_status_) {
        return;
    }
    next_status_ = now + status_interval;
    process_status status;
    status.process = self_;
    status.role = "gateway";
    status.version = app::version_text();
    status.in_flight = core_.in_flight();
    for (const auto& record : core_.table().records()) {
        status.upstreams.push_back(
            {record.description().id, state_text(record), record.own_in_flight(), record.load().allowed});
    }
    status_.set(std::move(status));
}

void gateway_server::execute(const std::vector<gateway_action>& actions)
{
    for (const auto& action : actions) {
        execute(action);
    }
    while (!follow_ups_.empty()) {
        const auto next = std::move(follow_ups_.front());
        follow_ups_.pop_front();
        for (const auto& action : core_.step(runtime::now(), next)) {
            execute(action);
        }
    }
}

void gateway_server::execute(const gateway_action& action)
{
    log_.log(action);
    std::visit([this](const auto& each) { execute_action(each); }, action);
}

void gateway_server::enqueue_follow_up(gateway_event event)
{
    // Bypasses the event ring: this thread is its only consumer and would deadlock if it waited for free
    // capacity.
    follow_ups_.push_back(std::move(event));
}

void gateway_server::execute_action(const gateway_output::open_attempt& action)
{
    const auto pending = exchanges_.find(action.key.exchange);
    const auto link = links_.find(action.upstream);
    if (pending == exchanges_.end() || link == links_.end()) {
        enqueue_follow_up(gateway_input::attempt_broken{action.key, false});
        return;
    }
    pending->second.size = action.spec.size;
    placements_.insert_or_assign(action.key, placement{action.upstream, action.spec.size});
    timeline_.record_send(pending->second.request, "attempt",
                          attempt_message(action.spec.request, action.spec.attempt, open_message),
                          action.upstream.text() + " " + to_string(action.reason));
    if (action.spec.share != lease_id{} && !action.spec.is_export()) {
        log_event(event::gang_reserved, field("request", action.spec.request),
                  field("upstream", action.upstream));
    }
    auto prompt = pending->second.prompt;
    if (action.spec.is_export()) {
        prompt = std::make_shared<const std::string>(
            span_text(*prompt, action.spec.span_begin, action.spec.span_end));
    }
    link->second->open_attempt(runtime::now(), action.key, action.spec, std::move(prompt));
}

void gateway_server::execute_action(const gateway_output::send_prompt& action)
{
    const auto placed = placements_.find(action.key);
    const auto link = placed == placements_.end() ? links_.end() : links_.find(placed->second.upstream);
    if (link != links_.end()) {
        link->second->send_prompt(placed->second.size, action.key);
    }
}

void gateway_server::execute_action(const gateway_output::cancel_attempt& action)
{
    const auto placed = placements_.find(action.key);
    if (placed == placements_.end()) {
        return;
    }
    const auto link = links_.find(placed->second.upstream);
    if (link != links_.end()) {
        link->second->cancel_attempt(placed->second.size, action.key);
    }
    placements_.erase(placed);
}

void gateway_server::execute_action(const gateway_output::call_service& action)
{
    const auto link = links_.find(action.upstream);
    const bool connected = link != links_.end();
    timeline_.record(action.spec.request, connected ? "service_call" : "service_unreachable",
                     action.upstream.text());
    if (connected) {
        link->second->call_service(runtime::now(), action.key, action.operation, action.spec);
    }
    else {
        enqueue_follow_up(unsent_service_call(action.key));
    }
}

void gateway_server::execute_action(const gateway_output::deliver& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found == exchanges_.end()) {
        return;
    }
    auto& pending = found->second;
    if (std::exchange(pending.answer_tokens,
                      pending.answer_tokens + static_cast<token_count>(action.tokens.size())) == 0) {
        count_first_token(pending);
    }
    std::string text;
    for (const auto& token : action.tokens) {
        text += token;
    }
    if (!pending.stream) {
        pending.answer += text;
        return;
    }
    if (!std::exchange(pending.stream_open, true)) {
        pending.session->open_events(pending.session_exchange, {{"X-Request-Id", pending.request.text()}});
    }
    pending.session->send_event(pending.session_exchange,
                                completion_chunk(pending.request, pending.model, text, ""));
}

void gateway_server::execute_action(const gateway_output::finish& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found == exchanges_.end()) {
        return;
    }
    auto& pending = found->second;
    timeline_.record(pending.request, "finished", action.reason);
    metrics_.counter(requests_name, {{"answer", "whole"}}).add();
    if (!pending.stream) {
        respond(action.exchange,
                completion_response(pending.request, pending.model, pending.answer, action.reason,
                                    pending.prompt_tokens, pending.answer_tokens));
        return;
    }
    if (!pending.stream_open) {
        pending.session->open_events(pending.session_exchange, {{"X-Request-Id", pending.request.text()}});
    }
    pending.session->send_event(pending.session_exchange,
                                completion_chunk(pending.request, pending.model, "", action.reason));
    pending.session->send_event(pending.session_exchange, "[DONE]");
    pending.session->close_events(pending.session_exchange);
    exchanges_.erase(found);
}

void gateway_server::execute_action(const gateway_output::refuse& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found == exchanges_.end()) {
        return;
    }
    auto& pending = found->second;
    timeline_.record(pending.request, "refused", to_string(action.why.code));
    metrics_.counter(requests_name, {{"answer", to_string(action.why.code)}}).add();
    log_event(pending.stream_open ? event::request_failed : event::request_refused,
              field("request", pending.request), field("code", to_string(action.why.code)),
              field("ran", to_string(action.why.ran)));
    if (!pending.stream_open) {
        respond(action.exchange, refusal_response(pending.request, action.why));
        return;
    }
    pending.session->send_event(pending.session_exchange, refusal_json(pending.request, action.why));
    pending.session->close_events(pending.session_exchange);
    exchanges_.erase(found);
}

void gateway_server::execute_action(const gateway_output::answer_service& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found != exchanges_.end()) {
        metrics_.counter(requests_name, {{"answer", action.replayed ? "replayed" : "whole"}}).add();
        respond(action.exchange, service_response(found->second.request, action.answer, action.replayed));
    }
}

void gateway_server::execute_action(const gateway_output::give_ticket& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found != exchanges_.end()) {
        respond(action.exchange, ticket_response(found->second.request, action.ticket));
    }
}

void gateway_server::execute_action(const gateway_output::report_running& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found != exchanges_.end()) {
        respond(action.exchange, running_response(found->second.request));
    }
}

template <typename ShareRequest>
void gateway_server::call_share(const ShareRequest& request)
{
    const auto link = links_.find(request.upstream);
    if (link != links_.end()) {
        link->second->call_share(runtime::now(), request);
    }
}

void gateway_server::execute_action(const reserve_share& action)
{
    timeline_.record(action.gang.request, "share_asked", action.upstream.text());
    call_share(action);
}

void gateway_server::execute_action(const renew_share& action)
{
    call_share(action);
}

void gateway_server::execute_action(const release_share& action)
{
    timeline_.record(action.gang.request, "share_released", action.upstream.text());
    call_share(action);
}

void gateway_server::execute_action(const gateway_output::connect_upstreams& action)
{
    std::set<upstream_id> wanted;
    for (const auto& upstream : action.upstreams) {
        wanted.insert(upstream.id);
        auto& link = links_[upstream.id];
        if (!link || link->address() != upstream.sidecar_address) {
            link = std::make_unique<sidecar_link>(
                runtime::now(), upstream, self_, heartbeat_,
                [this](link_event event) { post(std::move(event)); }, calls_);
        }
    }
    for (auto link = links_.begin(); link != links_.end();) {
        link = wanted.count(link->first) == 0 ? links_.erase(link) : std::next(link);
    }
}

void gateway_server::execute_action(const gateway_output::request_account_shares& action)
{
    handlers_.request_account_shares(action.asked);
}

void gateway_server::execute_action(const gateway_output::probe_load& action)
{
    const auto link = links_.find(action.upstream);
    if (link != links_.end()) {
        link->second->probe(runtime::now());
    }
}

void gateway_server::execute_action(const gateway_output::log_paused& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found != exchanges_.end()) {
        timeline_.record(found->second.request, "paused", "");
        metrics_.counter(pauses_name).add();
        log_event(event::work_paused, field("request", found->second.request));
    }
}

void gateway_server::execute_action(const gateway_output::log_resumed& action)
{
    const auto found = exchanges_.find(action.exchange);
    if (found != exchanges_.end()) {
        timeline_.record(found->second.request, "resumed", "");
        log_event(event::work_resumed, field("request", found->second.request));
    }
}

void gateway_server::execute_action(const gateway_output::all_done& /*action*/)
{
    handlers_.on_all_done();
}

void gateway_server::respond(exchange_number number, http::http_response response)
{
    const auto found = exchanges_.find(number);
    found->second.session->respond(found->second.session_exchange, std::move(response));
    exchanges_.erase(found);
}

void gateway_server::count_first_token(const exchange& pending)
{
    timeline_.record(pending.request, "first_token", to_string(pending.size));
    const auto waited = std::chrono::duration<double>(runtime::now() - pending.arrived).count();
    metrics_.histogram(first_token_name, second_buckets, {{"class", to_string(pending.size)}}).record(waited);
}

} // namespace dragonflymill::gateway
