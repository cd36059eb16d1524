#include "sidecar/sidecar_server.h"

#include "app/version.h"
#include "rpc/wire_convert.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"
#include "sidecar/declared_state.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace dragonflymill::sidecar {

namespace {

constexpr std::size_t ring_capacity = 16 * 1024;
constexpr duration tick_interval = 20ms;
constexpr duration status_interval = 250ms;
constexpr std::uint64_t microseconds_per_second = 1'000'000;

/// Returns a prompt of about `tokens` tokens. It begins with the unique `name`, so the engine can't serve it
/// from its prefix cache.
auto warm_up_prompt(const std::string& name, token_count tokens) -> std::string
{
    constexpr std::size_t bytes_per_token = 4;
    auto prompt = name;
    prompt.resize(static_cast<std::size_t>(tokens) * bytes_per_token, '.');
    return prompt;
}

} // namespace

sidecar_server::sidecar_server(const sidecar_settings& settings, std::string ticket_key,
                               timeline_recorder& timeline, std::function<void()> on_all_done,
                               std::function<void()> on_superseded)
    : own_upstream_(settings.upstream.id)
    , process_(settings.process.name)
    , timeline_(timeline)
    , attempt_timeline_(timeline)
    , on_all_done_(std::move(on_all_done))
    , on_superseded_(std::move(on_superseded))
    , incarnation_(static_cast<std::uint64_t>(runtime::wall_now().time_since_epoch().count()))
    , core_(runtime::now(), core_options(settings, std::move(ticket_key)))
    , decision_thread_(ring_capacity, tick_interval)
    , gate_service_([this](shell_event event) { return decision_thread_.post(std::move(event)); })
    , engine_(upstream_thread_.context(), tcp_endpoint(settings.upstream.address).value(),
              {settings.upstream.connect_timeout, settings.upstream.state_interval},
              [this](sidecar_event event) { post(std::move(event)); })
    , service_client_(upstream_thread_.context(), tcp_endpoint(settings.upstream.address).value(),
                      settings.upstream.connect_timeout,
                      [this](sidecar_event event) { post(std::move(event)); })
    // A probe's answer that finds the event ring full is dropped: the probe is repeated.
    , probe_(process_,
             [this](sidecar_event event) { static_cast<void>(decision_thread_.post(std::move(event))); })
{
}

auto sidecar_server::core_options(const sidecar_settings& settings, std::string ticket_key) const
    -> sidecar_core_options
{
    sidecar_core_options options;
    options.gate.lease_term = settings.lease.permit;
    if (settings.upstream.prefill_rate > 0) {
        options.gate.first_token.expected =
            first_token_line{settings.upstream.first_token,
                             static_cast<double>(microseconds_per_second) / settings.upstream.prefill_rate};
    }
    options.ledger.upstream = settings.upstream.id;
    // Hosts store no state, so the incarnation is the wall-clock time of the start in microseconds: later
    // starts get higher numbers, and two starts of one sidecar are always more than a microsecond apart.
    options.ledger.self = incarnation_;
    options.start_seconds = static_cast<std::uint32_t>(incarnation_.value() / microseconds_per_second);
    options.ledger.started = runtime::now();
    options.ledger.started_wall = runtime::wall_now();
    options.ledger.ticket_key = std::move(ticket_key);
    options.ledger.max_bytes = settings.once.max_bytes;
    options.ledger.predecessor_lease = settings.lease.order;
    options.own_lease_term = settings.lease.order;
    options.cancel_backoff = settings.lease.cancel_retry;
    options.watch.floor = settings.upstream.stream_silence;
    options.seed = options.ledger.self.value();
    return options;
}

void sidecar_server::start()
{
    decision_thread_.start([this](std::optional<shell_event> event) { handle(std::move(event)); });
    upstream_thread_.start();
}

void sidecar_server::adopt(const control::control_snapshot& snapshot)
{
    post(sidecar_input::peers_changed{!snapshot.members.empty()});
    if (!snapshot.in_force || !snapshot.ready) {
        return;
    }
    const auto& upstreams = snapshot.in_force->upstreams;
    const auto own = std::find_if(upstreams.begin(), upstreams.end(),
                                  [this](const upstream_entry& entry) { return entry.id == own_upstream_; });
    if (own == upstreams.end()) {
        post(sidecar_input::drain_changed{true}); // the bundle no longer lists this upstream
        return;
    }
    if (snapshot.in_force != adopted_bundle_) {
        adopted_bundle_ = snapshot.in_force;
        adopt_bundle(*adopted_bundle_, *own);
    }
    post(sidecar_input::drain_changed{!control::accepts_new_work(snapshot, own->domain, own->host)});
}

void sidecar_server::adopt_bundle(const bundle& in_force, const upstream_entry& own)
{
    sidecar_input::routes_changed routes;
    for (const auto& route : in_force.service_routes) {
        routes.routes.push_back({route.id, route.upstreams, route.remember_for});
    }
    post(std::move(routes));
    post(declared_state_of(in_force, own));
    const auto warm_up_model = own.models.empty() ? model_id{} : own.models.front();
    post(sidecar_input::capacity_changed{own.cold_outstanding, own.max_outstanding, warm_up_model});
    if (own.kind == upstream_kind::engine) {
        boost::asio::post(upstream_thread_.context(), [this] {
            if (!std::exchange(is_engine_, true)) {
                engine_.start();
            }
        });
    }
}

void sidecar_server::stop()
{
    post(sidecar_input::stop_requested{});
}

void sidecar_server::join()
{
    decision_thread_.stop();
    upstream_thread_.stop();
}

void sidecar_server::post(sidecar_event event)
{
    // Blocks while the ring is full. The caller reads from the upstream, so this applies backpressure and no
    // part of an answer is lost.
    static_cast<void>(decision_thread_.post_waiting(std::move(event)));
}

void sidecar_server::handle(std::optional<shell_event> event)
{
    const auto now = runtime::now();
    if (event) {
        if (const auto* heartbeat = std::get_if<heartbeat_event>(&*event)) {
            if (!heartbeat->from_sidecar) {
                apply_actions(core_.step(now, sidecar_input::gateway_heartbeat{heartbeat->gateway}));
            }
            answer_heartbeat(*heartbeat);
        }
        else {
            const auto& input = std::get<sidecar_event>(*event);
            attempt_timeline_.note(input);
            sidecar_log_.log(input);
            order_log_.log(input);
            apply_actions(core_.step(now, input));
        }
    }
    if (now - last_tick_ >= tick_interval) {
        pause_log_.tick(now);
        last_tick_ = now;
        apply_actions(core_.step(now, sidecar_input::tick{}));
        publish_status(now);
    }
    if (core_.superseded()) {
        on_superseded_();
    }
}

void sidecar_server::publish_status(instant now)
{
    if (now < next_status_) {
        return;
    }
    next_status_ = now + status_interval;
    const auto load = core_.load(now);
    sidecar_log_.log(load);
    process_status status;
    status.process = process_;
    status.role = "sidecar";
    status.version = app::version_text();
    status.in_flight = core_.in_flight();
    std::string state = load.cold ? "cold" : "alive";
    if (load.draining) {
        state = "drained";
    }
    status.upstreams.push_back({own_upstream_, state, load.outstanding, load.allowed});
    status_.set(std::move(status));
    order_log_.log(core_.holds_own_lease(now), core_.orders().superseded());
}

void sidecar_server::answer_heartbeat(const heartbeat_event& event)
{
    wire::heartbeat_pong pong;
    pong.set_number(event.number);
    pong.set_sender(process_.text());
    *pong.mutable_load() = rpc::to_wire(core_.load(runtime::now()));
    if (event.from_sidecar) {
        pong.set_upstream(own_upstream_.text());
        pong.set_holder(incarnation_.value());
        for (const auto& model : core_.orders().models()) {
            pong.add_models(model.text());
        }
        for (const auto& model : core_.orders().loading()) {
            pong.add_loading(model.text());
        }
    }
    event.connection->answer(std::move(pong));
}

void sidecar_server::apply_actions(const std::vector<sidecar_action>& actions)
{
    for (const auto& action : actions) {
        attempt_timeline_.note(action);
        sidecar_log_.log(action);
        order_log_.log(action);
        std::visit([this](const auto& what) { apply(what); }, action);
    }
}

void sidecar_server::apply(const sidecar_output::grant_attempt& action)
{
    if (const auto call = gate_service_.find_attempt(action.call)) {
        wire::attempt_event event;
        event.mutable_granted()->set_lease(action.lease.value());
        *event.mutable_load() = rpc::to_wire(core_.load(runtime::now()));
        call->send(std::move(event));
    }
}

void sidecar_server::apply(const sidecar_output::refuse_call& action)
{
    gate_service_.refuse(action.call, action.why, core_.load(runtime::now()));
}

void sidecar_server::apply(const sidecar_output::start_stream& action)
{
    const auto call = gate_service_.find_attempt(action.call);
    if (!call) {
        return; // cancelled in the meantime; the core receives the cancellation as one of its next events
    }
    timeline_.record(action.spec.request, "engine_start", action.engine_request);
    boost::asio::post(upstream_thread_.context(),
                      [this, action, prompt = call->take_prompt()] { engine_.start_stream(action, prompt); });
}

void sidecar_server::apply(const sidecar_output::start_warm_up& action)
{
    timeline_.record(action.spec.request, "warm_up", std::to_string(action.spec.prompt_tokens) + " tokens");
    const sidecar_output::start_stream stream{action.call, action.engine_request, action.spec,
                                              action.not_after};
    boost::asio::post(upstream_thread_.context(), [this, stream] {
        engine_.start_stream(stream, warm_up_prompt(stream.engine_request, stream.spec.prompt_tokens));
    });
}

void sidecar_server::apply(const sidecar_output::send_tokens& action)
{
    if (const auto call = gate_service_.find_attempt(action.call)) {
        wire::attempt_event event;
        event.mutable_tokens()->set_offset(action.offset);
        for (const auto& text : action.tokens) {
            event.mutable_tokens()->add_text(text);
        }
        call->send(std::move(event));
    }
}

void sidecar_server::apply(const sidecar_output::finish_attempt& action)
{
    if (const auto call = gate_service_.find_attempt(action.call)) {
        wire::attempt_event event;
        event.mutable_finished()->set_tokens(action.tokens);
        event.mutable_finished()->set_reason(action.reason);
        event.mutable_finished()->set_source(action.source);
        *event.mutable_load() = rpc::to_wire(core_.load(runtime::now()));
        call->finish(std::move(event));
    }
}

void sidecar_server::apply(const sidecar_output::cancel_stream& action)
{
    boost::asio::post(upstream_thread_.context(), [this, action] { engine_.cancel_stream(action); });
}

void sidecar_server::apply(const sidecar_output::release_span& action)
{
    boost::asio::post(upstream_thread_.context(), [this, action] { engine_.release_span(action.span); });
}

void sidecar_server::apply(const sidecar_output::grant_share& action)
{
    wire::gang_share_reply reply;
    reply.set_lease(action.lease.value());
    reply.set_ask(action.ask);
    *reply.mutable_load() = rpc::to_wire(core_.load(runtime::now()));
    gate_service_.answer_share(action.call, std::move(reply));
}

void sidecar_server::apply(const sidecar_output::refuse_share& action)
{
    wire::gang_share_reply reply;
    *reply.mutable_refused() = rpc::to_wire(action.why);
    reply.set_in_line(action.in_line);
    *reply.mutable_load() = rpc::to_wire(core_.load(runtime::now()));
    gate_service_.answer_share(action.call, std::move(reply));
}

void sidecar_server::apply(const sidecar_output::confirm_share_return& action)
{
    gate_service_.answer_share(action.call, wire::gang_share_reply{});
}

void sidecar_server::apply(const sidecar_output::run_service& action)
{
    timeline_.record(action.spec.request, "service_send", action.spec.target);
    boost::asio::post(upstream_thread_.context(), [this, action] { service_client_.run(action); });
}

void sidecar_server::apply(const sidecar_output::answer_service& action)
{
    wire::service_reply reply;
    reply.set_status(static_cast<std::uint32_t>(action.answer.status));
    reply.set_content_type(action.answer.content_type);
    reply.set_body(action.answer.body);
    reply.set_replayed(action.replayed);
    *reply.mutable_load() = rpc::to_wire(core_.load(runtime::now()));
    gate_service_.answer(action.call, reply);
}

void sidecar_server::apply(const sidecar_output::send_ticket& action)
{
    gate_service_.send_ticket(action.call, action.ticket);
}

void sidecar_server::apply(const sidecar_output::report_running& action)
{
    wire::service_reply reply;
    reply.set_running(true);
    gate_service_.answer(action.call, reply);
}

void sidecar_server::apply(const sidecar_output::ask_sidecar& action)
{
    probe_.probe(action.place.address);
}

void sidecar_server::apply(const sidecar_output::send_order& action)
{
    boost::asio::post(upstream_thread_.context(), [this, action] { engine_.send_order(action); });
}

void sidecar_server::apply(const sidecar_output::all_done& /*action*/)
{
    on_all_done_();
}

} // namespace dragonflymill::sidecar
