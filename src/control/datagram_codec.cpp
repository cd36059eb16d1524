#include "control/datagram_codec.h"

#include "peer.pb.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr std::uint32_t last_state = static_cast<std::uint32_t>(member_state::leaving);
constexpr std::uint32_t last_role = static_cast<std::uint32_t>(process_role::sidecar);

auto malformed_datagram(const char* what) -> error
{
    return {error_kind::corrupt, std::string("a datagram with ") + what,
            "run the same version at all processes; if it goes on, look for a sender that is not ours"};
}

void write(const member_update& update, wire::gossip_member& out)
{
    out.set_id(update.info.id.text());
    out.set_role(static_cast<std::uint32_t>(update.info.role));
    out.set_region(update.info.region.text());
    out.set_failure_domain(update.info.domain.text());
    out.set_host(update.info.host.text());
    out.set_gossip_address(update.info.gossip_address);
    out.set_peer_address(update.info.peer_address);
    out.set_state(static_cast<std::uint32_t>(update.state));
    out.set_start(update.number.start.value());
    out.set_refutation(update.number.refutation);
}

void write(const drain_notice& word, wire::gossip_drain& out)
{
    if (const auto* domain = std::get_if<failure_domain_id>(&word.subject)) {
        out.set_failure_domain(domain->text());
    }
    else {
        out.set_host(std::get<host_id>(word.subject).text());
    }
    out.set_number(word.number);
    out.set_out(word.out);
}

struct body_writer
{
    wire::gossip_datagram& out;

    void operator()(const ping_message& body) const { out.set_ping(body.sequence); }
    void operator()(const ack_message& body) const { out.set_ack(body.sequence); }
    void operator()(const ping_request_message& body) const
    {
        out.mutable_ping_request()->set_sequence(body.sequence);
        out.mutable_ping_request()->set_target(body.target.text());
    }
    void operator()(const sync_request_message& body) const { out.set_sync_after(body.after.text()); }
    void operator()(const sync_page_message& body) const { out.set_sync_page_last(body.last); }
    void operator()(const announce_message& /*body*/) const { out.set_announce(true); }
};

auto read_member(const wire::gossip_member& in) -> result<member_update>
{
    member_update update;
    update.info.id = process_id(in.id());
    update.info.role = static_cast<process_role>(in.role());
    update.info.region = region_id(in.region());
    update.info.domain = failure_domain_id(in.failure_domain());
    update.info.host = host_id(in.host());
    update.info.gossip_address = in.gossip_address();
    update.info.peer_address = in.peer_address();
    if (!fits_datagram(update.info) || in.state() > last_state || in.role() > last_role) {
        return malformed_datagram("a member out of bounds");
    }
    update.state = static_cast<member_state>(in.state());
    update.number = {incarnation(in.start()), in.refutation()};
    return update;
}

auto read_drain(const wire::gossip_drain& in) -> result<drain_notice>
{
    const bool one = in.failure_domain().empty() != in.host().empty();
    if (!one || in.failure_domain().size() > max_member_name || in.host().size() > max_member_name) {
        return malformed_datagram("an operator's word out of bounds");
    }
    drain_subject subject = failure_domain_id(in.failure_domain());
    if (!in.host().empty()) {
        subject = host_id(in.host());
    }
    return drain_notice{std::move(subject), in.number(), in.out()};
}

auto read_body(const wire::gossip_datagram& in) -> result<datagram_body>
{
    switch (in.body_case()) {
    case wire::gossip_datagram::kPing:
        return datagram_body(ping_message{in.ping()});
    case wire::gossip_datagram::kAck:
        return datagram_body(ack_message{in.ack()});
    case wire::gossip_datagram::kPingRequest:
        return datagram_body(ping_request_message{
            in.ping_request().sequence(), process_id(in.ping_request().target().substr(0, max_member_name))});
    case wire::gossip_datagram::kSyncAfter:
        return datagram_body(sync_request_message{process_id(in.sync_after().substr(0, max_member_name))});
    case wire::gossip_datagram::kSyncPageLast:
        return datagram_body(sync_page_message{in.sync_page_last()});
    case wire::gossip_datagram::kAnnounce:
        return datagram_body(announce_message{});
    case wire::gossip_datagram::BODY_NOT_SET:
        break;
    }
    return malformed_datagram("no body");
}

auto read_bundle_notice(const wire::gossip_datagram& in, datagram& message) -> bool
{
    const auto& bytes = in.bundle_digest();
    if (bytes.empty()) {
        return true;
    }
    if (bytes.size() != sha256_digest::size) {
        return false;
    }
    sha256_digest::bytes_type digest{};
    std::copy(bytes.begin(), bytes.end(), digest.begin());
    message.word = bundle_notice{bundle_version(in.bundle_version()), sha256_digest(digest)};
    return true;
}

template <typename In, typename Out, typename Read>
auto read_list(const In& in, std::size_t bound, std::vector<Out>& out, Read read) -> bool
{
    if (static_cast<std::size_t>(in.size()) > bound) {
        return false;
    }
    for (const auto& item : in) {
        auto value = read(item);
        if (value.has_error()) {
            return false;
        }
        out.push_back(std::move(value).value());
    }
    return true;
}

} // namespace

auto encode_datagram(const datagram& message) -> std::string
{
    wire::gossip_datagram out;
    write(message.sender, *out.mutable_sender());
    out.set_receiver(message.receiver.text());
    out.set_counter(message.counter);
    std::visit(body_writer{out}, message.body);
    if (message.word) {
        const auto& digest = message.word->digest.bytes();
        out.set_bundle_version(message.word->version.value());
        out.set_bundle_digest(std::string(digest.begin(), digest.end()));
    }
    out.set_members_digest(message.members_digest);
    out.set_members_count(message.members_count);
    for (const auto& news : message.news) {
        write(news, *out.add_news());
    }
    for (const auto& word : message.drains) {
        write(word, *out.add_drains());
    }
    return out.SerializeAsString();
}

auto decode_datagram(std::string_view bytes) -> result<datagram>
{
    wire::gossip_datagram in;
    if (bytes.size() > max_datagram_bytes ||
        !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return malformed_datagram("unreadable content");
    }
    datagram message;
    auto sender = read_member(in.sender());
    auto body = read_body(in);
    if (sender.has_error() || body.has_error()) {
        return sender.has_error() ? sender.error() : body.error();
    }
    message.sender = std::move(sender).value();
    message.receiver = process_id(in.receiver().substr(0, max_member_name));
    message.counter = in.counter();
    message.body = std::move(body).value();
    message.members_digest = in.members_digest();
    message.members_count = in.members_count();
    if (!read_bundle_notice(in, message) ||
        !read_list(in.news(), max_datagram_news, message.news, read_member) ||
        !read_list(in.drains(), max_datagram_drains, message.drains, read_drain)) {
        return malformed_datagram("a list out of bounds");
    }
    return message;
}

} // namespace dragonflymill
