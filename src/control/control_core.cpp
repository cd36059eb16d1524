#include "control/control_core.h"

#include "control/datagram_codec.h"
#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/stable_hash.h"
#include "log/logger.h"

#include <algorithm>

namespace dragonflymill::control {

namespace {

constexpr std::size_t max_alarms = 16;
constexpr duration boot_query_interval = 500ms;
constexpr std::size_t boot_query_peers = 8;
// The replies of peers queried in later rounds are used but not awaited.
constexpr std::uint32_t awaited_boot_rounds = 2;

void log_member_change(const member_update& update)
{
    const auto id = field("member", update.info.id);
    switch (update.state) {
    case member_state::alive:
        return log_event(event::member_joined, id);
    case member_state::suspect:
        return log_event(event::member_suspected, id);
    case member_state::dead:
        return log_event(event::member_failed, id);
    case member_state::leaving:
        return log_event(event::member_left, id);
    }
}

auto event_of(bundle_alarm::kind_type kind) -> event
{
    switch (kind) {
    case bundle_alarm::kind_type::two_of_one_version:
        return event::bundle_conflict;
    case bundle_alarm::kind_type::service_stale:
        return event::bundle_stale;
    case bundle_alarm::kind_type::term_ended:
        return event::bundle_term_ended;
    }
    return event::bundle_conflict;
}

} // namespace

auto control_core::create(control_core_options options, std::uint64_t seed, instant now)
    -> result<control_core>
{
    auto seal = datagram_seal::create(options.seal_keys);
    if (seal.has_error()) {
        return seal.error();
    }
    if (!fits_datagram(options.membership.self)) {
        return error(error_kind::invalid_input, "a name or address of this process is missing or too long",
                     "use names of at most 40 bytes for process, host, failure domain and region");
    }
    return control_core(std::move(options), std::move(seal).value(), seed, now);
}

control_core::control_core(control_core_options options, datagram_seal seal, std::uint64_t seed, instant now)
    : options_(std::move(options))
    , seal_(std::move(seal))
    , membership_(options_.membership, seed, now)
    , keeper_(options_.bundle, now)
    , next_boot_ask_(now)
{
}

auto control_core::datagram_arrived(instant now, std::string_view bytes, const std::string& from)
    -> control_outputs
{
    control_outputs out;
    const auto content = seal_.open(bytes);
    auto message = content.has_error() ? result<datagram>(content.error()) : decode_datagram(content.value());
    if (message.has_error()) {
        ++refused_datagrams_;
        log_event(event::datagram_rejected, field("from", from), field("reason", message.error().message()));
        return out;
    }
    const auto refutation = membership_.self().number.refutation;
    act(now, membership_.receive(now, message.value(), from), out);
    if (membership_.self().number.refutation != refutation) {
        log_event(event::membership_refuted, field("from", from));
    }
    return out;
}

auto control_core::tick(instant now, wall_instant wall) -> control_outputs
{
    control_outputs out;
    act(now, membership_.tick(now), out);
    act(now, keeper_.tick(now, wall), out);
    ask_at_boot(now, out);
    const auto isolated = membership_.isolated(now);
    changed_ = changed_ || isolated != was_isolated_ || keeper_.ready() != was_ready_;
    if (isolated && !was_isolated_) {
        log_event(event::membership_isolated);
    }
    was_isolated_ = isolated;
    was_ready_ = keeper_.ready();
    return out;
}

auto control_core::manifest_arrived(instant now, const bundle_origin& origin, const std::string& text)
    -> control_outputs
{
    control_outputs out;
    act(now, keeper_.manifest_arrived(now, origin, text), out);
    return out;
}

auto control_core::section_arrived(instant now, const std::string& text) -> control_outputs
{
    control_outputs out;
    act(now, keeper_.section_arrived(now, text), out);
    return out;
}

auto control_core::fetch_failed(instant now, const process_id& peer) -> control_outputs
{
    control_outputs out;
    act(now, keeper_.peer_lost(now, peer), out);
    return out;
}

void control_core::host_list_read(instant now, const std::vector<listed_host>& hosts)
{
    const auto before = drains_.drained_hosts();
    drains_.host_list_read(now, hosts);
    const auto after = drains_.drained_hosts();
    changed_ = changed_ || before != after;
    for (const auto& host : after) {
        if (std::count(before.begin(), before.end(), host) == 0) {
            log_event(event::host_leaving, field("host", host));
        }
    }
}

auto control_core::operator_drain(instant now, const drain_subject& subject, bool out_of_service)
    -> control_outputs
{
    control_outputs out;
    hear_drain(now, {subject, drains_.next_number(subject), out_of_service}, out);
    return out;
}

auto control_core::leave() -> control_outputs
{
    control_outputs out;
    for (const auto& output : membership_.leave()) {
        if (const auto* sent = std::get_if<send_datagram>(&output)) {
            send(*sent, out);
        }
    }
    return out;
}

// Only `watchers` processes watch, so the number of calls stays far below the service's budget regardless of
// the fleet's size. Each process elects the watchers by rendezvous hashing; temporarily different membership
// views cost only a few extra calls.
auto control_core::watches(instant now, wall_instant wall) const -> bool
{
    if (membership_.isolated(now)) {
        return true;
    }
    const auto slot = static_cast<std::uint64_t>(wall.time_since_epoch() / options_.watch_slot);
    const auto own = rendezvous_score(slot, membership_.self().info.id.text());
    std::uint32_t higher_scores = 0;
    for (const auto& [id, record] : membership_.table().records()) {
        if (record.update.state == member_state::alive && rendezvous_score(slot, id.text()) > own) {
            ++higher_scores;
        }
    }
    return higher_scores < options_.watchers;
}

auto control_core::nobody_to_ask() const -> bool
{
    return keeper_.in_force() == nullptr && membership_.table().live_count() == 0;
}

auto control_core::take_snapshot(instant now) -> std::shared_ptr<const control_snapshot>
{
    if (!std::exchange(changed_, false)) {
        return nullptr;
    }
    control_snapshot snapshot;
    snapshot.number = ++snapshot_number_;
    snapshot.in_force = keeper_.in_force();
    snapshot.word = keeper_.word();
    snapshot.ready = keeper_.ready();
    snapshot.isolated = membership_.isolated(now);
    snapshot.gateways_expected = membership_.self().info.role == process_role::gateway ? 1 : 0;
    for (const auto& [id, record] : membership_.table().records()) {
        snapshot.members.push_back(record.update);
        const bool stays = record.update.state != member_state::leaving;
        snapshot.gateways_expected += stays && record.update.info.role == process_role::gateway ? 1 : 0;
    }
    snapshot.drained_domains = drains_.drained_domains();
    snapshot.drained_hosts = drains_.drained_hosts();
    snapshot.alarms = alarms_;
    return std::make_shared<const control_snapshot>(std::move(snapshot));
}

void control_core::act(instant now, const membership_outputs& outputs, control_outputs& out)
{
    for (const auto& output : outputs) {
        if (const auto* sent = std::get_if<send_datagram>(&output)) {
            send(*sent, out);
        }
        else if (const auto* changed = std::get_if<member_changed>(&output)) {
            note_member(now, changed->update);
        }
        else if (const auto* heard = std::get_if<bundle_heard>(&output)) {
            act(now, keeper_.peer_said(now, heard->peer, heard->domain, heard->word), out);
        }
        else if (const auto* drain = std::get_if<drain_heard>(&output)) {
            hear_drain(now, drain->word, out);
        }
        else if (const auto* silent = std::get_if<member_silent>(&output)) {
            act(now, keeper_.peer_lost(now, silent->peer), out);
        }
        else {
            out.emplace_back(stop_process{});
        }
    }
}

void control_core::act(instant now, const bundle_manager_outputs& outputs, control_outputs& out)
{
    for (const auto& output : outputs) {
        if (const auto* adopted = std::get_if<adopt_bundle>(&output)) {
            adopt(now, *adopted, out);
        }
        else if (const auto* manifest = std::get_if<fetch_manifest>(&output)) {
            out.emplace_back(fetch_peer_manifest{manifest->peer, peer_address(manifest->peer)});
        }
        else if (const auto* sections = std::get_if<fetch_sections>(&output)) {
            fetch(*sections, out);
        }
        else if (const auto* rejected = std::get_if<reject_bundle>(&output)) {
            log_event(event::bundle_rejected, field("reason", rejected->why.text()));
        }
        else {
            note_alarm(std::get<bundle_alarm>(output));
        }
    }
}

void control_core::send(const send_datagram& sent, control_outputs& out)
{
    auto bytes = seal_.seal(encode_datagram(sent.message));
    DRAGONFLYMILL_ASSERT(bytes.size() <= max_datagram_bytes,
                         "a sealed datagram must not exceed max_datagram_bytes");
    out.emplace_back(send_bytes{sent.address, std::move(bytes)});
}

void control_core::note_member(instant now, const member_update& update)
{
    changed_ = true;
    log_member_change(update);
    drains_.process_heard(now, update.info.host, update.number.start, update.state == member_state::leaving);
}

void control_core::hear_drain(instant now, const drain_notice& word, control_outputs& out)
{
    if (!drains_.operator_said(now, word)) {
        return;
    }
    changed_ = true;
    const auto* domain = std::get_if<failure_domain_id>(&word.subject);
    const auto name = domain != nullptr ? domain->text() : std::get<host_id>(word.subject).text();
    log_event(word.out ? event::domain_drained : event::domain_returned, field("subject", name),
              field("number", word.number));
    membership_.pass_on(word);
    membership_.set_drains(drains_.words());
    act(now, membership_.announce(), out);
}

void control_core::adopt(instant now, const adopt_bundle& adopted, control_outputs& out)
{
    changed_ = true;
    log_event(event::bundle_adopted, field("version", adopted.word.version),
              field("digest", adopted.word.digest.hex()));
    drains_.bundle_adopted(now, *adopted.value);
    membership_.set_word(adopted.word);
    act(now, membership_.announce(), out);
}

void control_core::fetch(const fetch_sections& wanted, control_outputs& out)
{
    log_event(event::bundle_fetched, field("sections", wanted.digests.size()));
    if (wanted.origin.kind == bundle_origin_kind::peer) {
        out.emplace_back(
            fetch_peer_sections{wanted.origin.peer, peer_address(wanted.origin.peer), wanted.digests});
    }
    else {
        out.emplace_back(fetch_service_sections{wanted.digests});
    }
}

void control_core::note_alarm(const bundle_alarm& alarm)
{
    changed_ = true;
    if (alarms_.size() >= max_alarms) {
        alarms_.erase(alarms_.begin());
    }
    alarms_.push_back(alarm.text);
    log_event(event_of(alarm.kind), field("detail", alarm.text));
}

void control_core::ask_at_boot(instant now, control_outputs& out)
{
    if (keeper_.in_force() != nullptr || now < next_boot_ask_ || membership_.table().live_count() == 0) {
        return;
    }
    next_boot_ask_ = now + boot_query_interval;
    for (const auto& output : membership_.ask_peers(boot_query_peers)) {
        const auto* sent = std::get_if<send_datagram>(&output);
        if (sent == nullptr) {
            continue;
        }
        if (boot_asks_ < awaited_boot_rounds) {
            keeper_.peer_asked(sent->message.receiver);
        }
        send(*sent, out);
    }
    ++boot_asks_;
}

auto control_core::peer_address(const process_id& peer) const -> std::string
{
    const auto* record = membership_.table().find(peer);
    return record == nullptr ? std::string() : record->update.info.peer_address;
}

} // namespace dragonflymill::control
