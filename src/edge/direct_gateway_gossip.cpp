#include "dragonflymill/direct/digest_reports.h"
#include "edge/direct_gateway.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::edge {

namespace {

/// Time for the source to deliver a change before it is fetched from a peer that already has it.
constexpr duration peer_fetch_delay = 150ms;

} // namespace

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
        handle_other_cell(message, now);
        return;
    }
    dispatcher_.quarantine().evidence().apply(message.evidence, report_origin::same_cell, now);
    if (peers_.take(message.digest, now)) {
        log_event(event::peer_gateway_found, field("peer", message.digest.gateway),
                  field("address", message.digest.address));
        // Replies to the new peer only. A digest to all gateways for each one found would cost the cube of
        // their number when all start at once.
        direct::peer_message introduction = full_digest();
        introduction.evidence = dispatcher_.quarantine().evidence().known(now);
        link_.send({"", false, {std::move(introduction)}}, {message.digest.address});
    }
    const bool is_newer = dispatcher_.loads().apply_report(message.report, now);
    for (const rate_limit_report& report : message.rate_limits) {
        if (dispatcher_.availability().apply_rate_limit_report(message.digest.gateway, report, now)) {
            log_rate_limit(report, message.digest.gateway);
        }
    }
    if (is_newer) {
        dispatcher_.speeds().apply_reports(message.digest.gateway, message.slowdowns, now);
    }
    if (message.digest.reads_source) {
        outage_.peer_reads_source(now);
    }
}

void direct_gateway::handle_other_cell(const direct::peer_message& message, instant now)
{
    const direct::peer_digest& digest = message.digest;
    dispatcher_.quarantine().evidence().apply(message.evidence, report_origin::other_cell, now);
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
        answer.evidence = dispatcher_.quarantine().evidence().known_lately(now);
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
        schedule_evidence(state);
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

void direct_gateway::schedule_evidence(const direct::digest_state& state)
{
    const auto due = gossip_schedule_.evidence_due_at(state);
    if (!due || evidence_timer_) {
        return;
    }
    evidence_timer_ = timers_.at(*due, [this] {
        evidence_timer_.reset();
        send_gossip(false);
    });
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
        message.evidence = dispatcher_.quarantine().evidence().known_lately(now);
        link_.send({"", false, {std::move(message)}}, addresses);
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
    // A subscription starts with a digest, and subscribers treat a silent relay as lost.
    if (moved || relay_.keepalive_due(now)) {
        send_gossip(true);
    }
}

} // namespace dragonflymill::edge
