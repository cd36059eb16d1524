#include "edge/direct_gateway.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/units.h"
#include "edge/upstream_metrics.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Interval of checks that no event triggers: silent peers, deferred removals, queue timeouts.
constexpr duration tick_interval = 100ms;
/// Interval while calls are queued: checks for capacity that other gateways have released.
constexpr duration waiting_tick_interval = 25ms;
/// The source counts as being read if its last response isn't older. A watch completes after two seconds at
/// the latest, and a slow one takes some hundred milliseconds more.
constexpr duration source_freshness_limit = 2900ms;
/// Time after the start during which the number of gateways isn't known yet. Until then the highest number is
/// assumed that leaves one retry per gateway: when a whole fleet starts at once, each gateway would otherwise
/// use the retry budget of all.
constexpr duration gateway_count_settle_time = 5s;
/// Name of the source in log fields; peers are named by their address.
constexpr const char* source_name = "source";
/// Time that callers of a starting gateway wait for its configuration. Callers treat a request that isn't
/// read within a second as lost.
constexpr duration config_wait_limit = 700ms;
/// Retry-After for callers that still reach a gateway after its deregistration delay: no other gateway is
/// ready then, and the load balancer repeats its readiness checks once a second.
constexpr duration next_readiness_check = 1s;
/// Retry-After for requests that are aborted at the end of the grace time; another gateway can serve them at
/// once.
constexpr duration retry_after_shutdown = 100ms;
/// Time before the kill at which remaining requests are aborted, so that callers get an error rather than
/// silence.
constexpr duration kill_margin = 400ms;

} // namespace

direct_gateway::direct_gateway(asio::io_context& loop, direct_gateway_settings settings,
                               platform_adapter platform, record_source& source,
                               settings_reader reload_settings)
    : loop_(loop)
    , timers_(loop)
    , settings_(std::move(settings))
    , platform_(std::move(platform))
    , source_(source)
    , reload_settings_(std::move(reload_settings))
    , dispatcher_({settings_.failure_domain, settings_.retries, stable_hash(to_text(settings_.peers))})
    , statements_(platform_.read_statement, platform_.names, dispatcher_.availability(), metrics_,
                  [this] { send_gossip(true); })
    , cells_(to_text(settings_.peers))
    , peers_("", "", {})
    , other_cells_(to_text(settings_.peers), settings_.seeds)
    , relay_({})
    , context_{loop,
               timers_,
               platform_.names,
               platform_.orders,
               dispatcher_,
               statements_,
               retry_detector_,
               fleet_,
               records_,
               peers_,
               metrics_,
               [this] { schedule_dispatch(); },
               [this](std::uint64_t finished) {
                   // Deferred: the exchange that has finished is still on the call stack.
                   asio::post(loop_, [this, finished] {
                       exchanges_.erase(finished);
                       stop_loop_if_done();
                   });
               }}
    , link_(loop, timers_,
            {[this](const direct::peer_datagram& datagram) { handle_datagram(datagram); },
             [this](std::uint64_t after) { return records_.since(after); },
             [this](const direct::records_update& update, const std::string& peer) {
                 apply_records(update, peer);
             },
             [this](const std::string& why) {
                 ++fetches_failed_;
                 log_event(event::peer_fetch_failed, field("why", why));
             }},
            settings_.capacity.peer_fetches)
    , callers_(loop, timers_, metrics_, [this](tcp::socket socket) { start_session(std::move(socket)); })
    , ready_port_("readiness", loop, timers_,
                  {platform_.names.ready_path, [this] { return ready(); }, metrics_})
    , metrics_port_("metrics", loop, timers_,
                    {platform_.names.ready_path, [this] { return ready(); }, metrics_})
    , signals_(loop, SIGTERM, SIGINT, SIGHUP)
    , budget_(std::make_shared<caller_budget>(
          caller_budget_limits{settings_.capacity.memory_bytes, settings_.capacity.connections}))
{
    const auto started = runtime::wall_now().time_since_epoch().count();
    incarnation_name_ = settings_.name + "#" + std::to_string(started);
    fleet_.set_leave_bound(settings_.drain_delivery_bound);
    peers_ = direct::peer_table(incarnation_name_, to_text(settings_.peers), settings_.seeds,
                                settings_.millicores);
    (void)peers_.set_cells(cells_);
    relay_ = direct::gossip_relay(own_identity());
    reports_ = std::make_unique<report_poller>(
        report_poller::parts{loop_, timers_, platform_.reports, fleet_, dispatcher_.availability(), peers_,
                             dispatcher_.speeds(), statements_, metrics_},
        incarnation_name_, settings_.report_interval);
}

direct_gateway::~direct_gateway() = default;

auto direct_gateway::start() -> result<void>
{
    if (auto opened = ready_port_.open(settings_.ready); !opened) {
        return opened;
    }
    if (auto opened = callers_.open(settings_.callers); !opened) {
        return opened;
    }
    if (!settings_.metrics.empty()) {
        if (auto opened = metrics_port_.open(settings_.metrics); !opened) {
            return opened;
        }
    }
    if (auto opened = link_.listen(settings_.peers); !opened) {
        return opened;
    }
    started_at_ = runtime::now();
    // Until the configuration is known, callers wait in the socket's backlog: accepting them would refuse
    // those that retry during the first milliseconds after a start.
    timers_.at(started_at_ + config_wait_limit, [this] { callers_.start(); });
    update_gateway_count();
    log_event(event::gateway_started, field("gateway", incarnation_name_));
    wait_for_signals();
    start_source();
    send_gossip(true);
    send_to_other_cells();
    schedule_tick();
    return success();
}

void direct_gateway::start_session(tcp::socket socket)
{
    auto session = std::make_shared<caller_session>(std::move(socket), timers_, *this);
    sessions_.insert(session);
    session->start();
}

void direct_gateway::session_ended(caller_session* session)
{
    asio::post(loop_, [this, ended = session->shared_from_this()] {
        sessions_.erase(ended);
        stop_loop_if_done();
    });
}

auto direct_gateway::limits() const -> direct::caller_limits
{
    return fleet_.config() == nullptr ? direct::caller_limits{} : fleet_.config()->limits();
}

auto direct_gateway::body_time(const http::request_reader& head) const -> duration
{
    const auto stated = parse_count(head.field(platform_.names.time_left_ms));
    // Compares in milliseconds, since a stated time may overflow microseconds.
    const bool is_shorter = stated && stated.value() < settings_.capacity.body_time / 1ms;
    return is_shorter ? duration(std::chrono::milliseconds(stated.value())) : settings_.capacity.body_time;
}

auto direct_gateway::begin(const std::shared_ptr<caller_session>& session, caller_request request)
    -> std::shared_ptr<in_flight_request>
{
    const std::uint64_t id = ++next_exchange_;
    auto created = std::make_shared<exchange>(id, session, std::move(request), context_);
    exchanges_.emplace(id, created);
    if (!accepts_requests_) {
        created->abort(next_readiness_check);
    }
    else {
        created->begin();
    }
    return created;
}

auto direct_gateway::caller_port() const -> std::uint16_t
{
    return callers_.port();
}

void direct_gateway::start_source()
{
    source_.start(
        {[this](const direct::records_update& update) { apply_records(update, source_name); },
         [this](const std::string& why) {
             const bool first_failure = !outage_.is_lost();
             outage_.lost(runtime::now());
             if (first_failure) {
                 log_event(event::record_source_lost, field("why", why),
                           field("fleet_revision", records_.revision()));
             }
         },
         [this] {
             const bool was_reading = reads_source(runtime::now());
             source_read_at_ = runtime::now();
             if (outage_.is_lost()) {
                 outage_.regained(source_read_at_);
                 log_event(event::record_source_regained, field("fleet_revision", records_.revision()));
             }
             if (!was_reading) {
                 // Other gateways start to read until they know that this one does.
                 send_gossip(true);
             }
         },
         [this] { return records_.revision(); }, [this] { return peers_.must_read_source(runtime::now()); }});
}

void direct_gateway::apply_records(const direct::records_update& update, const std::string& from)
{
    const auto changes = records_.apply(update);
    for (const direct::fleet_record& record : changes) {
        apply_record(record, from);
    }
    if (!changes.empty()) {
        update_cells(runtime::now());
        schedule_dispatch();
        // Gateways that don't read the source depend on this digest, so changes from the source are announced
        // at once. Changes received from a peer wait for the next digest: announcing them at once from every
        // gateway would cost as many digests per change as there are pairs of gateways.
        send_gossip(from == source_name);
    }
    update_readiness();
}

void direct_gateway::apply_record(const direct::fleet_record& record, const std::string& from)
{
    const instant now = runtime::now();
    const std::uint64_t version_before = fleet_.config() == nullptr ? 0 : fleet_.config()->version();
    if (record.removed) {
        const bool after_outage = outage_.removals_unreliable(now);
        fleet_.remove(record.key, after_outage, now);
        log_event(event::fleet_changed, field("record", record.key), field("change", "removed"),
                  field("held_back", after_outage), field("revision", record.revision), field("from", from));
        return;
    }
    const direct::decoded_record decoded = source_.decode(record);
    fleet_.take(record.key, decoded, now);
    if (const auto* unusable = std::get_if<direct::unusable_record>(&decoded)) {
        metrics_.unusable_records.add();
        log_event(event::record_unusable, field("record", record.key), field("why", unusable->reason),
                  field("revision", record.revision));
        return;
    }
    if (const auto* entry = std::get_if<direct::upstream_entry>(&decoded)) {
        log_event(event::fleet_changed, field("record", record.key),
                  field("change", entry->leaving ? "leaving" : "present"),
                  field("cold_us", entry->cold_remaining), field("revision", record.revision),
                  field("from", from));
        return;
    }
    if (std::holds_alternative<direct::drained_domain>(decoded)) {
        log_event(event::fleet_changed, field("record", record.key), field("change", "out"),
                  field("revision", record.revision), field("from", from));
        return;
    }
    if (fleet_.config() != nullptr && fleet_.config()->version() != version_before) {
        metrics_.config_version.set(static_cast<std::int64_t>(fleet_.config()->version()));
        log_event(event::config_taken, field("config_version", fleet_.config()->version()),
                  field("revision", record.revision), field("from", from));
    }
}

auto direct_gateway::reads_source(instant now) const -> bool
{
    return !outage_.is_lost() && now - source_read_at_ < source_freshness_limit;
}

void direct_gateway::update_cells(instant now)
{
    if (records_.revision() == 0) {
        return;
    }
    const bool were_known = cells_.known();
    const bool changed = cells_.update(fleet_.largest_service(), now);
    if (!changed && were_known) {
        return;
    }
    if (changed) {
        log_event(event::cells_changed, field("cells", cells_.count()), field("cell", cells_.own()));
    }
    for (const auto& [name, peer] : peers_.peers()) {
        if (!cells_.is_own(peer.digest.address)) {
            other_cells_.take(peer.digest, peer.last_received_at);
        }
    }
    for (const std::string& removed : peers_.set_cells(cells_)) {
        dispatcher_.remove_gateway(removed);
    }
    dispatcher_.set_cells(cells_);
    metrics_.cells.set(cells_.count());
    update_gateway_count();
}

void direct_gateway::schedule_dispatch()
{
    if (std::exchange(dispatch_scheduled_, true)) {
        return;
    }
    asio::post(loop_, [this] {
        dispatch_scheduled_ = false;
        dispatch_calls();
    });
}

void direct_gateway::dispatch_calls()
{
    const direct::dispatch_round round = dispatcher_.decide(fleet_, runtime::now());
    // A long prompt occupies many engines. It is announced at once, since a gateway that learns of it late
    // would dispatch its own long prompt to the same engines.
    const bool long_sent =
        std::any_of(round.orders.begin(), round.orders.end(),
                    [](const direct::dispatch_assignment& assignment) { return assignment.choice.is_long; });
    if (long_sent) {
        send_gossip(true);
    }
    for (const direct::dispatch_assignment& assignment : round.orders) {
        if (const auto found = exchanges_.find(assignment.call); found != exchanges_.end()) {
            const auto exchange_kept_alive = found->second;
            exchange_kept_alive->on_dispatched(assignment);
        }
    }
    for (const direct::dispatch_refusal& refusal : round.refusals) {
        if (const auto found = exchanges_.find(refusal.call); found != exchanges_.end()) {
            const auto exchange_kept_alive = found->second;
            exchange_kept_alive->on_refused(refusal);
        }
    }
    metrics_.waiting.set(static_cast<std::int64_t>(dispatcher_.waiting()));
    send_gossip(false);
}

void direct_gateway::schedule_tick()
{
    const duration interval = dispatcher_.waiting() > 0 ? waiting_tick_interval : tick_interval;
    timers_.at(runtime::now() + interval, [this] { tick(); });
}

void direct_gateway::tick()
{
    const instant now = runtime::now();
    fleet_.tick(now);
    dispatcher_.report_suspects(fleet_, now);
    dispatcher_.tick(fleet_, now);
    update_statement_metrics(dispatcher_.availability(), metrics_, now);
    speed_log_.update(fleet_, dispatcher_.speeds(), metrics_, now);
    quarantine_log_.update(dispatcher_.quarantine(), metrics_, now);
    budget_log_.update(*budget_, metrics_, now);
    metrics_.caller_memory.set(static_cast<std::int64_t>(budget_->held()));
    metrics_.caller_connections.set(static_cast<std::int64_t>(budget_->connections()));
    ready_port_.publish(metrics_, now);
    metrics_port_.publish(metrics_, now);
    if (!stopping_) {
        reports_->tick(now);
    }
    for (const std::string& expired : peers_.expire_peers(now)) {
        dispatcher_.remove_gateway(expired);
        log_event(event::peer_gateway_lost, field("peer", expired));
    }
    update_cells(now);
    dispatcher_.quarantine().set_gateways(incarnation_name_, peers_.reachable(now), cells_.own() == 0);
    other_cells_.expire(cells_, now);
    update_gateway_count();
    update_relay(now);
    send_to_other_cells();
    fetch_missing_records();
    if (dispatcher_.waiting() > 0) {
        dispatch_calls();
    }
    send_gossip(false);
    schedule_tick();
}

void direct_gateway::update_gateway_count()
{
    const bool settled = runtime::now() - started_at_ >= gateway_count_settle_time;
    const int max_gateways = static_cast<int>(settings_.retries.slack * direct::retry_window::safety);
    const gateway_reach reach = peers_.reach(runtime::now(), !settled);
    dispatcher_.set_gateways(settled ? reach.known : std::max(reach.known, max_gateways), reach);
    metrics_.gateways.set(peers_.gateways());
}

auto direct_gateway::ready() const -> bool
{
    return fleet_.config() != nullptr && !stopping_;
}

void direct_gateway::update_readiness()
{
    if (ready() != reported_ready_) {
        reported_ready_ = ready();
        if (reported_ready_) {
            callers_.start();
            log_event(event::gateway_ready, field("fleet_revision", records_.revision()));
        }
        else {
            log_event(event::gateway_not_ready, field("why", stopping_ ? "stopping" : "no configuration"));
        }
    }
}

void direct_gateway::wait_for_signals()
{
    signals_.async_wait([this](const boost::system::error_code& failed, int number) {
        if (failed) {
            return;
        }
        if (number == SIGHUP) {
            reload();
        }
        else {
            begin_shutdown();
        }
        wait_for_signals();
    });
}

void direct_gateway::reload()
{
    const auto fresh = reload_settings_();
    if (!fresh) {
        log_event(event::settings_kept);
        return;
    }
    // Listening addresses can't change while the process runs.
    settings_.seeds = fresh->seeds;
    settings_.retries = fresh->retries;
    settings_.grace = fresh->grace;
    settings_.capacity = fresh->capacity;
    budget_->set_limits({settings_.capacity.memory_bytes, settings_.capacity.connections});
    settings_.drain_delivery_bound = fresh->drain_delivery_bound;
    fleet_.set_leave_bound(settings_.drain_delivery_bound);
    peers_.set_seeds(settings_.seeds);
    other_cells_.set_seeds(settings_.seeds);
    dispatcher_.set_settings(
        {settings_.failure_domain, settings_.retries, stable_hash(to_text(settings_.peers))});
    log_event(event::settings_reloaded, field("seeds", settings_.seeds.size()));
}

void direct_gateway::begin_shutdown()
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    shutdown_started_at_ = runtime::now();
    log_event(event::gateway_stopping, field("requests", exchanges_.size()));
    update_readiness();
    send_gossip(true);
    // Where the grace time is short, half of it is left for the requests that were accepted.
    const duration accept_time = std::min(settings_.deregistration_delay, settings_.grace / 2);
    timers_.at(shutdown_started_at_ + accept_time, [this] { stop_accepting_requests(); });
    timers_.at(shutdown_started_at_ + std::max(settings_.grace - kill_margin, accept_time),
               [this] { finish_shutdown(); });
}

void direct_gateway::stop_accepting_requests()
{
    // The listening socket stays open: while no gateway is ready, the load balancer sends callers to any of
    // them, and a 503 with Retry-After serves callers better than a refused connection.
    accepts_requests_ = false;
    const auto all = sessions_;
    for (const auto& session : all) {
        session->close_when_idle();
    }
    stop_loop_if_done();
}

void direct_gateway::stop_loop_if_done()
{
    const bool all_answered = std::all_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
        return session->closed() || session->idle();
    });
    if (stopping_ && !accepts_requests_ && exchanges_.empty() && all_answered) {
        loop_.stop();
    }
}

void direct_gateway::finish_shutdown()
{
    const auto all = exchanges_;
    for (const auto& [id, open] : all) {
        open->abort(retry_after_shutdown);
    }
    asio::post(loop_, [this] { loop_.stop(); });
}

} // namespace dragonflymill::edge
