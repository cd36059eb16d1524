#include "edge/peer_codec.h"

#include "fleet.pb.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflymill::edge {

namespace {

/// Slowdowns are sent in hundredths; one that isn't a number counts as none.
auto to_hundredths(double slowdown) -> std::uint32_t
{
    const double bounded =
        std::isfinite(slowdown) ? std::clamp(slowdown, 1.0, direct::upstream_speeds::max_slowdown) : 1.0;
    return static_cast<std::uint32_t>(std::lround(bounded * 100.0));
}

void encode_evidence(const evidence_report& evidence, wire::GatewayDigest& encoded)
{
    for (const crash_report& crash : evidence.crashes) {
        wire::UpstreamCrash& entry = *encoded.add_crashes();
        entry.set_upstream(crash.upstream);
        entry.set_age_ms(static_cast<std::uint32_t>(std::max(crash.age, duration::zero()) / 1ms));
        entry.set_survived(crash.survived);
        for (const reported_call& reported : crash.calls) {
            wire::SuspectCall& call = *entry.add_calls();
            call.mutable_parts()->Assign(reported.parts.begin(), reported.parts.end());
            call.set_in_flight_ms(static_cast<std::uint32_t>(reported.in_flight / 1ms));
        }
    }
    for (const cleared_part_report& cleared : evidence.cleared) {
        wire::ClearedPart& entry = *encoded.add_cleared_parts();
        entry.set_part(cleared.part);
        entry.set_age_ms(static_cast<std::uint32_t>(std::max(cleared.age, duration::zero()) / 1ms));
    }
}

void encode_message(const direct::peer_message& message, wire::GatewayDigest& encoded)
{
    const direct::peer_digest& digest = message.digest;
    encoded.set_gateway(digest.gateway);
    encoded.set_sequence(digest.sequence);
    encoded.set_address(digest.address);
    encoded.set_revision(digest.revision);
    encoded.set_leaving(digest.leaving);
    encoded.set_reads_source(digest.reads_source);
    encoded.set_failure_domain(digest.failure_domain);
    encoded.set_millicores(static_cast<std::uint32_t>(digest.millicores));
    encoded.set_relaying(digest.relaying);
    encoded.set_subscribes(digest.subscribes);
    encoded.set_urgent(digest.urgent);
    encoded.set_seeks_peers(digest.seeks_peers);
    encoded.set_whole_loads(message.report.is_complete);
    for (const std::string& peer : digest.peers) {
        encoded.add_peers(peer);
    }
    for (const auto& [upstream, load] : message.report.loads) {
        wire::UpstreamLoad& entry = *encoded.add_loads();
        entry.set_upstream(upstream);
        entry.set_short_calls(static_cast<std::uint32_t>(load.short_calls));
        entry.set_long_calls(static_cast<std::uint32_t>(load.long_calls));
        entry.set_unread_calls(static_cast<std::uint32_t>(load.unread_calls));
        entry.set_tightest_pause_us(static_cast<std::uint64_t>(load.tightest_tbt_target.count()));
        entry.set_suspect(load.suspected_by > 0);
        entry.set_parts(static_cast<std::uint32_t>(load.parts));
        entry.set_memory_tokens(static_cast<std::uint64_t>(load.memory_tokens));
        entry.set_reading_us(static_cast<std::uint64_t>(load.pending_prefill.count()));
    }
    for (const rate_limit_report& limit : message.rate_limits) {
        wire::UpstreamRateLimit& entry = *encoded.add_rate_limits();
        entry.set_upstream(limit.upstream);
        entry.set_limited(limit.calls_per_s.has_value());
        entry.set_calls_per_s(limit.calls_per_s.value_or(0.0));
        entry.set_age_us(static_cast<std::uint64_t>(limit.age.count()));
        entry.set_first_hand(limit.first_hand);
        entry.set_calls(limit.calls);
    }
    for (const direct::slowdown_report& report : message.slowdowns) {
        wire::UpstreamSlowdown& entry = *encoded.add_slowdowns();
        entry.set_upstream(report.upstream);
        entry.set_slowdown_hundredths(to_hundredths(report.slowdown));
        entry.set_age_ms(static_cast<std::uint32_t>(std::max(report.age, duration::zero()) / 1ms));
    }
    encode_evidence(message.evidence, encoded);
}

auto decode_evidence(const wire::GatewayDigest& encoded) -> evidence_report
{
    evidence_report evidence;
    for (const wire::UpstreamCrash& entry : encoded.crashes()) {
        if (evidence.crashes.size() >= crash_evidence::max_crashes) {
            break;
        }
        crash_report& crash = evidence.crashes.emplace_back();
        crash.upstream = entry.upstream();
        crash.age = std::chrono::milliseconds(entry.age_ms());
        crash.survived = entry.survived();
        for (const wire::SuspectCall& call : entry.calls()) {
            prompt_parts parts(call.parts().begin(), call.parts().end());
            std::sort(parts.begin(), parts.end());
            crash.calls.push_back({std::move(parts), std::chrono::milliseconds(call.in_flight_ms())});
        }
    }
    for (const wire::ClearedPart& entry : encoded.cleared_parts()) {
        evidence.cleared.push_back({entry.part(), std::chrono::milliseconds(entry.age_ms())});
    }
    return evidence;
}

auto decode_message(const wire::GatewayDigest& encoded) -> direct::peer_message
{
    direct::peer_message message;
    direct::peer_digest& digest = message.digest;
    digest.gateway = encoded.gateway();
    digest.sequence = encoded.sequence();
    digest.address = encoded.address();
    digest.revision = encoded.revision();
    digest.leaving = encoded.leaving();
    digest.reads_source = encoded.reads_source();
    digest.peers.assign(encoded.peers().begin(), encoded.peers().end());
    digest.failure_domain = encoded.failure_domain();
    digest.millicores = static_cast<std::int32_t>(encoded.millicores());
    digest.relaying = encoded.relaying();
    digest.subscribes = encoded.subscribes();
    digest.urgent = encoded.urgent();
    digest.seeks_peers = encoded.seeks_peers();
    message.report.gateway = encoded.gateway();
    message.report.sequence = encoded.sequence();
    message.report.is_complete = encoded.whole_loads();
    for (const wire::UpstreamLoad& entry : encoded.loads()) {
        direct::upstream_load& load = message.report.loads[entry.upstream()];
        load.short_calls = static_cast<std::int32_t>(entry.short_calls());
        load.long_calls = static_cast<std::int32_t>(entry.long_calls());
        load.unread_calls = static_cast<std::int32_t>(entry.unread_calls());
        load.parts = static_cast<std::int32_t>(entry.parts());
        load.memory_tokens = static_cast<std::int64_t>(entry.memory_tokens());
        load.tightest_tbt_target = duration(static_cast<duration::rep>(entry.tightest_pause_us()));
        load.suspected_by = entry.suspect() ? 1 : 0;
        load.pending_prefill = duration(static_cast<duration::rep>(entry.reading_us()));
    }
    for (const wire::UpstreamRateLimit& entry : encoded.rate_limits()) {
        const std::optional<double> calls_per_s =
            entry.limited() ? std::optional(entry.calls_per_s()) : std::nullopt;
        if (calls_per_s && !(std::isfinite(*calls_per_s) && *calls_per_s >= 0.0)) {
            continue;
        }
        message.rate_limits.push_back({entry.upstream(), calls_per_s,
                                       duration(static_cast<duration::rep>(entry.age_us())),
                                       entry.first_hand(), entry.calls()});
    }
    for (const wire::UpstreamSlowdown& entry : encoded.slowdowns()) {
        if (entry.slowdown_hundredths() == 0 ||
            message.slowdowns.size() >= direct::upstream_speeds::max_reports) {
            continue;
        }
        message.slowdowns.push_back({entry.upstream(), entry.slowdown_hundredths() / 100.0,
                                     std::chrono::milliseconds(entry.age_ms())});
    }
    message.evidence = decode_evidence(encoded);
    return message;
}

} // namespace

auto encode_datagram(const direct::peer_datagram& datagram) -> std::string
{
    wire::GatewayDatagram encoded;
    encoded.set_relay(datagram.relay);
    encoded.set_for_relays(datagram.for_relays);
    for (const direct::peer_message& message : datagram.messages) {
        encode_message(message, *encoded.add_digests());
    }
    return encoded.SerializeAsString();
}

auto decode_datagram(std::string_view bytes) -> std::optional<direct::peer_datagram>
{
    wire::GatewayDatagram encoded;
    if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || encoded.digests().empty()) {
        return std::nullopt;
    }
    direct::peer_datagram datagram{encoded.relay(), encoded.for_relays(), {}};
    datagram.messages.reserve(static_cast<std::size_t>(encoded.digests_size()));
    for (const wire::GatewayDigest& digest : encoded.digests()) {
        if (digest.gateway().empty()) {
            return std::nullopt;
        }
        datagram.messages.push_back(decode_message(digest));
    }
    return datagram;
}

auto encode_records_update(const direct::records_update& update) -> std::string
{
    wire::RecordsReply reply;
    reply.set_as_of(update.as_of);
    reply.set_whole(update.whole);
    for (const direct::fleet_record& record : update.records) {
        wire::FleetRecord& encoded = *reply.add_records();
        encoded.set_key(record.key);
        encoded.set_value(record.value);
        encoded.set_revision(record.revision);
        encoded.set_removed(record.removed);
    }
    return reply.SerializeAsString();
}

auto decode_records_update(std::string_view bytes) -> std::optional<direct::records_update>
{
    wire::RecordsReply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    direct::records_update update;
    update.as_of = reply.as_of();
    update.whole = reply.whole();
    for (const wire::FleetRecord& encoded : reply.records()) {
        update.records.push_back({encoded.key(), encoded.value(), encoded.revision(), encoded.removed()});
    }
    return update;
}

} // namespace dragonflymill::edge
