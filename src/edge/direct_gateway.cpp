#include "edge/direct_gateway.h"

#include "dragonflymill/core/stable_hash.h"
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

/// How often the gateway looks after what no event tells: silent peers, held removals, calls that waited
/// long.
constexpr duration tick_interval = 100ms;
/// While calls wait for an upstream, room that other gateways made is looked for this often.
constexpr duration waiting_tick_interval = 25ms;
/// The source is being read if its last answer is not older: a watch answers after two seconds at the latest,
/// and a slow one takes some hundred milliseconds more.
constexpr duration source_fresh = 2900ms;
/// For so long after its start a gateway doesn't know how many others there are and takes so many that one
/// second attempt is left for each: each of a fleet that starts at once would else use what all may use
/// together.
constexpr duration settling = 5s;
/// Name of the source in logs; peers are named by their address.
constexpr const char* source_name = "source";
/// A peer that knows more is asked after the source had this long to tell the same.
constexpr duration source_patience = 150ms;
/// A gateway that has just started lets callers wait for so long until it knows a configuration. Callers take
/// a request that isn't read within a second for lost.
constexpr duration configuration_patience = 700ms;
/// A caller that comes to a gateway which has been stopping for so long finds no other: it is asked back
/// after the balancer has asked all gateways once more.
constexpr duration next_ready_check = 1s;
/// A caller whose request is given up at the end of the grace time may go to another gateway at once.
constexpr duration retry_after_stop = 100ms;
/// Before the process is killed it ends what is left, so that callers see an end rather than silence.
constexpr duration end_before_kill = 400ms;

} // namespace

direct_gateway::direct_gateway(asio::io_context& loop, direct_gateway_settings settings,
                               platform_adapter platform, record_source& source, settings_reader reread)
    : loop_(loop)
    , timers_(loop)
    , settings_(std::move(settings))
    , platform_(std::move(platform))
    , source_(source)
    , reread_(std::move(reread))
    , dispatcher_({settings_.failure_domain, settings_.retries, stable_hash(to_text(settings_.peers))})
    , peers_("", "", {})
    , relay_({})
    , context_{loop,
               timers_,
               platform_.names,
               platform_.orders,
               dispatcher_,
               returns_,
               fleet_,
               records_,
               metrics_,
               [this] { decide_soon(); },
               [this](std::uint64_t over) {
                   // Not here: the exchange that ends is still on the stack.
                   asio::post(loop_, [this, over] {
                       exchanges_.erase(over);
                       end_if_done();
                   });
               }}
    , link_(loop, timers_,
            {[this](const direct::peer_datagram& datagram) { take_datagram(datagram); },
             [this](std::uint64_t after) { return records_.since(after); },
             [this](const direct::records_update& extract, const std::string& peer) {
                 take_records(extract, peer);
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
    start_name_ = settings_.name + "#" + std::to_string(started);
    fleet_.set_leave_bound(settings_.drain_delivery_bound);
    peers_ = direct::peer_table(start_name_, to_text(settings_.peers), settings_.seeds, settings_.millicores);
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
    timers_.at(started_at_ + configuration_patience, [this] { accept_callers(); });
    count_gateways();
    log_event(event::gateway_started, field("gateway", start_name_));
    wait_for_signals();
    start_source();
    send_gossip(true);
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
    // Callers that came back to a gateway which has just started would be refused for the few milliseconds
    // until it knows a configuration; their connections wait in the socket's queue instead.
    if (!std::exchange(accepts_callers_, true)) {
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
    asio::post(loop_, [this, kept = session->shared_from_this()] {
        sessions_.erase(kept);
        end_if_done();
    });
}

auto direct_gateway::limits() const -> direct::caller_limits
{
    return fleet_.config() == nullptr ? direct::caller_limits{} : fleet_.config()->limits();
}

auto direct_gateway::begin(const std::shared_ptr<caller_session>& session, caller_request request)
    -> std::shared_ptr<open_request>
{
    const std::uint64_t id = ++next_exchange_;
    auto made = std::make_shared<exchange>(id, session, std::move(request), context_);
    exchanges_.emplace(id, made);
    if (!accepting_) {
        made->stop(next_ready_check);
    }
    else {
        made->begin();
    }
    return made;
}

auto direct_gateway::caller_port() const -> std::uint16_t
{
    return callers_.local_endpoint().port();
}

void direct_gateway::start_source()
{
    source_.start(
        {[this](const direct::records_update& extract) { take_records(extract, source_name); },
         [this](const std::string& why) {
             const bool news = !outage_.is_lost();
             outage_.lost(runtime::now());
             if (news) {
                 log_event(event::record_source_lost, field("why", why),
                           field("fleet_revision", records_.revision()));
             }
         },
         [this] {
             source_read_at_ = runtime::now();
             if (outage_.is_lost()) {
                 outage_.regained(source_read_at_);
                 log_event(event::record_source_regained, field("fleet_revision", records_.revision()));
             }
         },
         [this] { return records_.revision(); }, [this] { return peers_.must_read_source(runtime::now()); }});
}

void direct_gateway::take_records(const direct::records_update& extract, const std::string& from)
{
    const auto news = records_.apply(extract);
    for (const direct::fleet_record& record : news) {
        take_record(record, from);
    }
    if (!news.empty()) {
        decide_soon();
        // Gateways that don't read the source themselves wait for this digest. What was learned from one of
        // them is sent with the next digest: if each passed it on at once, a change would cost as many
        // digests as there are pairs of gateways.
        send_gossip(from == source_name);
    }
    note_ready();
}

void direct_gateway::take_record(const direct::fleet_record& record, const std::string& from)
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
    const direct::decoded_record fact = source_.decode(record);
    fleet_.take(record.key, fact, now);
    if (const auto* unusable = std::get_if<direct::unusable_record>(&fact)) {
        log_event(event::record_unusable, field("record", record.key), field("why", unusable->reason),
                  field("revision", record.revision));
        return;
    }
    if (const auto* entry = std::get_if<direct::upstream_entry>(&fact)) {
        log_event(event::fleet_changed, field("record", record.key),
                  field("change", entry->leaving ? "leaving" : "present"),
                  field("cold_us", entry->cold_remaining), field("revision", record.revision),
                  field("from", from));
        return;
    }
    if (std::holds_alternative<direct::drained_domain>(fact)) {
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

void direct_gateway::take_datagram(const direct::peer_datagram& datagram)
{
    const instant now = runtime::now();
    relay_.take(datagram, now);
    for (const direct::peer_message& message : datagram.messages) {
        take_message(message, now);
    }
    catch_up_from_peers();
    schedule_flush();
}

void direct_gateway::take_message(const direct::peer_message& message, instant now)
{
    if (peers_.take(message.digest, now)) {
        log_event(event::peer_gateway_found, field("peer", message.digest.gateway),
                  field("address", message.digest.address));
        count_gateways();
        // Only the new one is answered: a digest to all for each that is found is the cube of their number
        // when all start at once.
        link_.send({"", false, {full_digest()}}, {message.digest.address});
    }
    dispatcher_.loads().apply_report(message.report, now);
    if (message.digest.reads_source) {
        outage_.peer_reads_source(now);
    }
}

void direct_gateway::catch_up_from_peers()
{
    const auto newer = peers_.select_newer_peer(records_.revision(), fetches_failed_);
    const instant now = runtime::now();
    if (!newer) {
        behind_since_ = instant{};
        return;
    }
    if (behind_since_ == instant{}) {
        behind_since_ = now;
    }
    // The source tells most changes itself; asking a peer each time would double the traffic.
    const bool reads = now - source_read_at_ < source_fresh;
    if (now - behind_since_ >= source_patience || outage_.is_lost() || !reads) {
        link_.fetch(newer->address, records_.revision());
    }
}

auto direct_gateway::bare_digest() -> direct::peer_message
{
    const instant now = runtime::now();
    direct::peer_message message;
    message.digest = own_identity();
    message.digest.sequence = ++digest_sequence_;
    message.digest.revision = records_.revision();
    message.digest.leaving = stopping_;
    message.digest.reads_source = !outage_.is_lost() && now - source_read_at_ < source_fresh;
    message.digest.relaying = relay_.is_relay();
    return message;
}

auto direct_gateway::own_identity() const -> direct::peer_digest
{
    direct::peer_digest digest;
    digest.gateway = start_name_;
    digest.address = to_text(settings_.peers);
    digest.failure_domain = settings_.failure_domain;
    digest.millicores = settings_.millicores;
    return digest;
}

auto direct_gateway::full_digest() -> direct::peer_message
{
    direct::peer_message message = bare_digest();
    message.digest.peers = peers_.address_sample(message.digest.sequence);
    message.report.is_complete = true;
    message.report.loads = dispatcher_.loads().own_loads(runtime::now());
    return message;
}

auto direct_gateway::delta_digest(std::uint64_t since) -> direct::peer_message
{
    direct::peer_message message = bare_digest();
    message.report.is_complete = false;
    message.report.loads = dispatcher_.loads().own_loads(runtime::now(), since);
    return message;
}

void direct_gateway::send_gossip(bool at_once)
{
    const instant now = runtime::now();
    const direct::digest_state state{dispatcher_.loads().own_version(), records_.revision(),
                                     peers_.gateways(), !relay_.sends_to_all()};
    const auto due = gossip_schedule_.next(state, at_once, now);
    if (!due) {
        return;
    }
    direct::peer_message message = due->whole ? full_digest() : delta_digest(due->changes_since);
    message.digest.urgent = at_once;
    if (relay_.is_relay()) {
        relay_.enqueue_own(message);
        schedule_flush();
    }
    if (relay_.sends_to_all()) {
        link_.send({"", false, {message}}, peers_.targets(now));
    }
    else if (due->whole) {
        // Gateways that no relay knows yet, or that were cut off from all, are found again.
        link_.send({"", false, {message}}, peers_.unknown_addresses());
    }
    if (relay_.relay()) {
        message.digest.subscribes = true;
        link_.send({"", false, {std::move(message)}}, {*relay_.relay()});
    }
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
    // A subscription begins with a digest, and subscribers take a silent relay for lost.
    if (moved || relay_.keepalive_due(now)) {
        send_gossip(true);
    }
}

void direct_gateway::decide_soon()
{
    if (std::exchange(decide_pending_, true)) {
        return;
    }
    asio::post(loop_, [this] {
        decide_pending_ = false;
        decide();
    });
}

void direct_gateway::decide()
{
    const direct::dispatch_round round = dispatcher_.decide(fleet_, runtime::now());
    // A long prompt keeps many engines busy: another gateway that learns of it late sends its own there too.
    const bool long_sent =
        std::any_of(round.orders.begin(), round.orders.end(),
                    [](const direct::dispatch_assignment& order) { return order.choice.is_long; });
    if (long_sent) {
        send_gossip(true);
    }
    for (const direct::dispatch_assignment& order : round.orders) {
        if (const auto found = exchanges_.find(order.call); found != exchanges_.end()) {
            const auto kept = found->second;
            kept->dispatched(order);
        }
    }
    for (const direct::dispatch_refusal& refusal : round.refusals) {
        if (const auto found = exchanges_.find(refusal.call); found != exchanges_.end()) {
            const auto kept = found->second;
            kept->refused(refusal);
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
    for (const std::string& gone : peers_.expire_peers(now)) {
        dispatcher_.loads().remove_gateway(gone);
        log_event(event::peer_gateway_lost, field("peer", gone));
    }
    count_gateways();
    update_relay(now);
    catch_up_from_peers();
    if (dispatcher_.waiting() > 0) {
        decide();
    }
    send_gossip(false);
    schedule_tick();
}

void direct_gateway::count_gateways()
{
    const bool settled = runtime::now() - started_at_ >= settling;
    const int most = static_cast<int>(settings_.retries.slack * direct::retry_window::safety);
    dispatcher_.set_gateways(settled ? peers_.gateways() : std::max(peers_.gateways(), most));
    metrics_.gateways.set(peers_.gateways());
}

auto direct_gateway::ready() const -> bool
{
    return fleet_.config() != nullptr && !stopping_;
}

void direct_gateway::note_ready()
{
    if (ready() != was_ready_) {
        was_ready_ = ready();
        if (was_ready_) {
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
            begin_stop();
        }
        wait_for_signals();
    });
}

void direct_gateway::reload()
{
    const auto fresh = reread_();
    if (!fresh) {
        log_event(event::settings_kept);
        return;
    }
    // Addresses that are listened on stay until the process starts again.
    settings_.seeds = fresh->seeds;
    settings_.retries = fresh->retries;
    settings_.grace = fresh->grace;
    settings_.drain_delivery_bound = fresh->drain_delivery_bound;
    fleet_.set_leave_bound(settings_.drain_delivery_bound);
    peers_.set_seeds(settings_.seeds);
    dispatcher_.set_settings(
        {settings_.failure_domain, settings_.retries, stable_hash(to_text(settings_.peers))});
    log_event(event::settings_reloaded, field("seeds", settings_.seeds.size()));
}

void direct_gateway::begin_stop()
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    stop_begun_ = runtime::now();
    log_event(event::gateway_stopping, field("requests", exchanges_.size()));
    note_ready();
    send_gossip(true);
    timers_.at(stop_begun_ + settings_.deregistration_delay, [this] { stop_accepting(); });
    timers_.at(stop_begun_ + std::max(settings_.grace - end_before_kill, settings_.deregistration_delay),
               [this] { end(); });
}

void direct_gateway::stop_accepting()
{
    // The listening socket stays open: while no gateway is ready the balancer sends callers to any, and one
    // that is told when to come back is better off than one that finds no connection.
    accepting_ = false;
    const auto all = sessions_;
    for (const auto& session : all) {
        session->close_when_idle();
    }
    end_if_done();
}

void direct_gateway::end_if_done()
{
    const bool all_answered = std::all_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
        return session->over() || session->idle();
    });
    if (stopping_ && !accepting_ && exchanges_.empty() && all_answered) {
        loop_.stop();
    }
}

void direct_gateway::end()
{
    const auto all = exchanges_;
    for (const auto& [id, open] : all) {
        open->stop(retry_after_stop);
    }
    asio::post(loop_, [this] { loop_.stop(); });
}

} // namespace dragonflymill::edge
