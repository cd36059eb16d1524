#include "edge/direct_gateway.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/digest_reports.h"
#include "edge/belief_report.h"
#include "log/logger.h"
#include "runtime/clock.h"
#include "settings/listening_socket.h"

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
/// Time for the source to deliver a change before it is fetched from a peer that already has it.
constexpr duration peer_fetch_delay = 150ms;
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
             }})
    , callers_(loop)
    , ready_listener_(loop)
    , metrics_listener_(loop)
    , signals_(loop, SIGTERM, SIGINT, SIGHUP)
    , status_({platform_.names.ready_path, [this] { return ready(); }, metrics_,
               [this](caller_session* session) { session_ended(session); }})
{
    const auto started = runtime::wall_now().time_since_epoch().count();
    incarnation_name_ = settings_.name + "#" + std::to_string(started);
    fleet_.set_leave_bound(settings_.drain_delivery_bound);
    peers_ = direct::peer_table(incarnation_name_, to_text(settings_.peers), settings_.seeds,
                                settings_.millicores);
    (void)peers_.set_cells(cells_);
    relay_ = direct::gossip_relay(own_identity());
}

direct_gateway::~direct_gateway() = default;

auto direct_gateway::start() -> result<void>
{
    if (auto opened = listen(ready_listener_, settings_.ready, status_); !opened) {
        return opened;
    }
    if (auto opened = open_socket(callers_, settings_.callers); !opened) {
        return opened;
    }
    if (!settings_.metrics.empty()) {
        if (auto opened = listen(metrics_listener_, settings_.metrics, status_); !opened) {
            return opened;
        }
    }
    if (auto opened = link_.listen(settings_.peers); !opened) {
        return opened;
    }
    started_at_ = runtime::now();
    timers_.at(started_at_ + config_wait_limit, [this] { accept_callers(); });
    update_gateway_count();
    log_event(event::gateway_started, field("gateway", incarnation_name_));
    wait_for_signals();
    start_source();
    send_gossip(true);
    send_to_other_cells();
    schedule_tick();
    return success();
}

auto direct_gateway::listen(tcp::acceptor& acceptor, const socket_address& address, request_handler& handler)
    -> result<void>
{
    if (auto opened = open_socket(acceptor, address); !opened) {
        return opened;
    }
    accept(acceptor, handler);
    return success();
}

auto direct_gateway::open_socket(tcp::acceptor& acceptor, const socket_address& address) -> result<void>
{
    auto opened = open_listening(acceptor, address);
    if (!opened) {
        log_event(event::listen_failed, field("address", to_text(address)),
                  field("why", opened.error().message()));
    }
    return opened;
}

void direct_gateway::accept_callers()
{
    // Until the configuration is known, callers wait in the socket's backlog: accepting them would refuse
    // those that retry during the first milliseconds after a start.
    if (!std::exchange(accept_loop_started_, true)) {
        accept(callers_, *this);
    }
}

void direct_gateway::accept(tcp::acceptor& acceptor, request_handler& handler)
{
    acceptor.async_accept(
        [this, &acceptor, &handler](const boost::system::error_code& failed, tcp::socket socket) {
            if (failed == asio::error::operation_aborted) {
                return;
            }
            if (!failed) {
                auto session = std::make_shared<caller_session>(std::move(socket), timers_, handler);
                sessions_.insert(session);
                session->start();
            }
            accept(acceptor, handler);
        });
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
    return callers_.local_endpoint().port();
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

void direct_gateway::handle_datagram(const direct::peer_datagram& datagram)
{
    const instant now = runtime::now();
    relay_.take(datagram, now);
    for (const direct::peer_message& message : datagram.messages) {
        handle_message(message, now);
    }
    fetch_missing_records();
    schedule_flush();
}

void direct_gateway::handle_message(const direct::peer_message& message, instant now)
{
    if (!cells_.is_own(message.digest.address)) {
        handle_other_cell(message.digest, now);
        return;
    }
    if (peers_.take(message.digest, now)) {
        log_event(event::peer_gateway_found, field("peer", message.digest.gateway),
                  field("address", message.digest.address));
        // Replies to the new peer only. A digest to all gateways for each one found would cost the cube of
        // their number when all start at once.
        link_.send({"", false, {full_digest()}}, {message.digest.address});
    }
    for (const rate_limit_report& report : message.rate_limits) {
        if (dispatcher_.availability().apply_rate_limit_report(message.digest.gateway, report, now)) {
            log_rate_limit(report, message.digest.gateway);
        }
    }
    direct::take_reports(message, dispatcher_, now);
    if (message.digest.reads_source) {
        outage_.peer_reads_source(now);
    }
}

void direct_gateway::handle_other_cell(const direct::peer_digest& digest, instant now)
{
    other_cells_.take(digest, now);
    other_cells_.learn(cells_, digest.peers, now);
    peers_.learn(digest.peers, now);
    if (digest.reads_source) {
        outage_.peer_reads_source(now);
    }
    if (digest.seeks_peers) {
        direct::peer_message answer = digest_header();
        answer.digest.peers =
            other_cells_.introductions(cells_, cells_.cell_of(digest.address), answer.digest.sequence);
        link_.send({"", false, {std::move(answer)}}, {digest.address});
    }
}

void direct_gateway::log_rate_limit(const rate_limit_report& report, const std::string& from) const
{
    const auto& upstreams = fleet_.upstreams();
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), [&](const auto& item) {
        return direct::run_of(item.second.entry) == report.upstream;
    });
    log_event(event::upstream_limit_changed,
              field("upstream", found == upstreams.end() ? "unknown" : found->first),
              field("limited", report.calls_per_s.has_value()),
              field("calls_per_s", report.calls_per_s.value_or(0.0)), field("age_us", report.age),
              field("from", from));
}

void direct_gateway::fetch_missing_records()
{
    const std::uint64_t revision = records_.revision();
    if (!peers_.has_newer_peer(revision) && !other_cells_.has_newer(revision)) {
        behind_since_ = instant{};
        return;
    }
    const instant now = runtime::now();
    if (behind_since_ == instant{}) {
        behind_since_ = now;
    }
    // The source delivers most changes by itself; fetching each of them from a peer too would double the
    // traffic.
    const bool must_fetch =
        now - behind_since_ >= peer_fetch_delay || outage_.is_lost() || !reads_source(now);
    if (!must_fetch || link_.fetching()) {
        return;
    }
    if (const auto newer = peers_.select_newer_peer(revision, fetches_failed_)) {
        link_.fetch(newer->address, revision);
    }
    else if (const auto other = other_cells_.select_newer(revision, fetches_failed_, now)) {
        link_.fetch(*other, revision);
    }
}

auto direct_gateway::reads_source(instant now) const -> bool
{
    return !outage_.is_lost() && now - source_read_at_ < source_freshness_limit;
}

auto direct_gateway::digest_header() -> direct::peer_message
{
    const instant now = runtime::now();
    direct::peer_message message;
    message.digest = own_identity();
    message.digest.sequence = ++digest_sequence_;
    message.digest.revision = records_.revision();
    message.digest.leaving = stopping_;
    message.digest.reads_source = reads_source(now);
    message.digest.relaying = relay_.is_relay();
    message.report.is_complete = false;
    return message;
}

auto direct_gateway::own_identity() const -> direct::peer_digest
{
    direct::peer_digest digest;
    digest.gateway = incarnation_name_;
    digest.address = to_text(settings_.peers);
    digest.failure_domain = settings_.failure_domain;
    digest.millicores = settings_.millicores;
    return digest;
}

auto direct_gateway::full_digest() -> direct::peer_message
{
    direct::peer_message message = digest_header();
    message.digest.peers = peers_.address_sample(message.digest.sequence);
    direct::add_reports(message, dispatcher_, {true}, runtime::now());
    return message;
}

auto direct_gateway::delta_digest(const direct::due_digest& due) -> direct::peer_message
{
    direct::peer_message message = digest_header();
    direct::add_reports(message, dispatcher_, due, runtime::now());
    return message;
}

void direct_gateway::send_gossip(bool at_once)
{
    const instant now = runtime::now();
    direct::digest_state state{0, records_.revision(), peers_.gateways(), !relay_.sends_to_all()};
    direct::set_versions(state, dispatcher_);
    const auto due = gossip_schedule_.next(state, at_once, now);
    if (!due) {
        return;
    }
    direct::peer_message message = due->whole ? full_digest() : delta_digest(*due);
    message.digest.urgent = at_once;
    if (relay_.is_relay()) {
        relay_.enqueue_own(message);
        schedule_flush();
    }
    if (relay_.sends_to_all()) {
        link_.send({"", false, {message}}, peers_.targets());
    }
    else if (due->whole) {
        // Reaches gateways that no relay knows yet and those that were partitioned from all others.
        link_.send({"", false, {message}}, peers_.unknown_addresses());
    }
    if (relay_.relay()) {
        message.digest.subscribes = true;
        link_.send({"", false, {std::move(message)}}, {*relay_.relay()});
    }
}

void direct_gateway::send_to_other_cells()
{
    const instant now = runtime::now();
    const bool is_alone = peers_.gateways() == 1;
    const duration interval =
        is_alone ? direct::cell_directory::round_length_alone : direct::cell_directory::round_length;
    if (now - contacted_at_ < interval) {
        return;
    }
    contacted_at_ = now;
    const auto addresses = other_cells_.targets(cells_, contact_round_++, is_alone);
    if (!addresses.empty()) {
        direct::peer_message message = digest_header();
        message.digest.seeks_peers = true;
        link_.send({"", false, {std::move(message)}}, addresses);
    }
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

void direct_gateway::schedule_flush()
{
    const auto due = relay_.flush_at();
    if (!due || (flush_timer_ && flush_timer_at_ <= *due)) {
        return;
    }
    if (flush_timer_) {
        timers_.cancel(*flush_timer_);
    }
    flush_timer_at_ = *due;
    flush_timer_ = timers_.at(*due, [this] {
        flush_timer_.reset();
        flush_relay();
    });
}

void direct_gateway::flush_relay()
{
    const instant now = runtime::now();
    const direct::relay_batch batch = relay_.take_batch();
    relay_.flushed(now);
    const std::string self = to_text(settings_.peers);
    for (const direct::peer_datagram& datagram :
         direct::split_into_datagrams(batch.for_subscribers, self, false)) {
        link_.send(datagram, relay_.subscribers());
    }
    for (const direct::peer_datagram& datagram : direct::split_into_datagrams(batch.for_relays, self, true)) {
        link_.send(datagram, relay_.other_relays(peers_, now));
    }
}

void direct_gateway::update_relay(instant now)
{
    const bool moved = relay_.update(peers_, now);
    if (moved) {
        log_event(event::gossip_relay_chosen, field("relay", *relay_.relay()),
                  field("gateways", peers_.gateways()));
    }
    // A subscription starts with a digest, and subscribers treat a silent relay as lost.
    if (moved || relay_.keepalive_due(now)) {
        send_gossip(true);
    }
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
    // So is an upstream that can't be reached, before the others' calls fail there too.
    if (long_sent || dispatcher_.domains().take_urgent(runtime::now())) {
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
    dispatcher_.domains().update(fleet_, peers_, now);
    report_beliefs(dispatcher_, metrics_, now);
    for (const std::string& expired : peers_.expire_peers(now)) {
        dispatcher_.remove_gateway(expired);
        log_event(event::peer_gateway_lost, field("peer", expired));
    }
    update_cells(now);
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
            accept_callers();
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
    timers_.at(shutdown_started_at_ + settings_.deregistration_delay, [this] { stop_accepting_requests(); });
    timers_.at(shutdown_started_at_ + std::max(settings_.grace - kill_margin, settings_.deregistration_delay),
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
