#include "control/control_loop.h"

#include "control/drain_request.h"
#include "log/logger.h"
#include "settings/socket_address.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace dragonflymill::control {

namespace {

constexpr std::uint64_t udp_ip_header_bytes = 28; // IPv4 20, UDP 8
constexpr duration watch_backoff = 2s;
constexpr duration watch_backoff_jitter = 4s;
constexpr duration no_peers_read_interval = 5s;

} // namespace

control_loop::control_loop(boost::asio::io_context& context, const control_plane_options& options,
                           const control_plane_handlers& handlers, control_core core, datagram_seal seal,
                           std::unique_ptr<gossip_socket> socket, peer_service& service)
    : context_(context)
    , options_(options)
    , handlers_(handlers)
    , core_(std::move(core))
    , seal_(std::move(seal))
    , socket_(std::move(socket))
    , service_(service)
    , peers_(options.fetch_deadline)
    , platform_(context)
    , timer_(context)
    , random_(stable_hash(options.core.membership.self.id.text(), options.core.membership.start.value()))
{
}

void control_loop::start()
{
    socket_->start([this](std::string_view bytes, const std::string& from) { received(bytes, from); });
    next_hosts_ =
        runtime::now() +
        duration(random_.below(static_cast<std::uint64_t>(options_.host_list_interval.count()) + 1));
    tick();
}

void control_loop::leave()
{
    carry_out(core_.leave());
}

void control_loop::push(const pushed_bundle& bundle, const peer_answer& done)
{
    const auto now = runtime::now();
    const auto before = core_.keeper().rejected_count();
    log_event(event::bundle_pushed);
    carry_out(core_.manifest_arrived(now, {bundle_origin_kind::operator_push, {}}, bundle.manifest));
    for (const auto& section : bundle.sections) {
        carry_out(core_.section_arrived(now, section));
    }
    const auto manifest = decode_signed_manifest(bundle.manifest);
    const bool in_force = manifest.has_value() && core_.keeper().word() == word_of(manifest.value().manifest);
    publish();
    if (in_force) {
        done(success());
        return;
    }
    const bool rejected = core_.keeper().rejected_count() != before;
    done(rejected ? core_.keeper().rejections().back().why
                  : error(error_kind::conflict, "the bundle is not in force",
                          "raise its version, send every section, or wait until this process has started"));
}

void control_loop::drain(const drain_subject& subject, bool out)
{
    carry_out(core_.operator_drain(runtime::now(), subject, out));
    publish();
}

void control_loop::drain(const sealed_drain& word, const peer_answer& done)
{
    const auto checked = check_drain(seal_, word, runtime::wall_now(), last_drain_ms_);
    if (checked.has_value()) {
        last_drain_ms_ = word.time_ms;
        log_event(event::drain_requested);
        drain(word.subject, !word.back);
    }
    done(checked);
}

void control_loop::ask(const ask_shares& asked, const share_answer& done)
{
    const auto* record = core_.members().table().find(asked.home);
    if (record == nullptr) {
        done({});
        return;
    }
    peers_.ask_shares(record->update.info.peer_address, asked.requests, done);
}

auto control_loop::traffic() const -> control_traffic
{
    return {datagrams_sent_, bytes_sent_,    datagrams_received_,
            bytes_received_, fetched_bytes_, service_reads_};
}

void control_loop::tick()
{
    carry_out(core_.tick(runtime::now(), runtime::wall_now()));
    publish();
    look_at_service();
    look_at_hosts();
    timer_.expires_after(options_.tick);
    timer_.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            tick();
        }
    });
}

void control_loop::carry_out(const control_outputs& outputs)
{
    // Serves a new bundle before announcing it. A peer that fetched earlier would receive the old bundle and
    // retry only after its timeout.
    serve_peers();
    for (const auto& output : outputs) {
        if (const auto* sent = std::get_if<send_bytes>(&output)) {
            send(*sent);
        }
        else if (const auto* manifest = std::get_if<fetch_peer_manifest>(&output)) {
            fetch(*manifest);
        }
        else if (const auto* sections = std::get_if<fetch_peer_sections>(&output)) {
            fetch(*sections);
        }
        else if (const auto* from_service = std::get_if<fetch_service_sections>(&output)) {
            fetch(*from_service);
        }
        else if (handlers_.on_superseded) {
            handlers_.on_superseded();
        }
    }
}

void control_loop::send(const send_bytes& sent)
{
    ++datagrams_sent_;
    bytes_sent_ += sent.bytes.size() + udp_ip_header_bytes;
    socket_->send(sent.address, sent.bytes);
}

void control_loop::fetch(const fetch_peer_manifest& wanted)
{
    peers_.fetch_manifest(wanted.address, [this, peer = wanted.peer](std::optional<std::string> text) {
        boost::asio::post(context_, [this, peer, text = std::move(text)] {
            const auto now = runtime::now();
            fetched_bytes_ += text ? text->size() : 0;
            carry_out(text ? core_.manifest_arrived(now, {bundle_origin_kind::peer, peer}, *text)
                           : core_.fetch_failed(now, peer));
        });
    });
}

void control_loop::fetch(const fetch_peer_sections& wanted)
{
    const auto each = [this](std::string text) {
        boost::asio::post(context_, [this, text = std::move(text)] {
            fetched_bytes_ += text.size();
            carry_out(core_.section_arrived(runtime::now(), text));
        });
    };
    const auto done = [this, peer = wanted.peer](bool ok) {
        if (!ok) {
            boost::asio::post(context_,
                              [this, peer] { carry_out(core_.fetch_failed(runtime::now(), peer)); });
        }
    };
    peers_.fetch_sections(wanted.address, wanted.digests, each, done);
}

void control_loop::fetch(const fetch_service_sections& wanted)
{
    if (!options_.configuration_service) {
        return;
    }
    for (const auto& digest : wanted.digests) {
        ++service_reads_;
        platform_.read(*options_.configuration_service, section_key(digest),
                       [this](const config_value& read) {
                           if (read.end == read_end::value) {
                               fetched_bytes_ += read.value.size();
                               carry_out(core_.section_arrived(runtime::now(), read.value));
                           }
                       });
    }
}

void control_loop::received(std::string_view bytes, const std::string& from)
{
    ++datagrams_received_;
    bytes_received_ += bytes.size() + udp_ip_header_bytes;
    if (options_.drop_received > 0 && random_.chance(options_.drop_received)) {
        return;
    }
    carry_out(core_.datagram_arrived(runtime::now(), bytes, from));
    const auto confirmed = core_.members().bundle_confirmed();
    if (confirmed != bundle_confirmed_ && handlers_.on_bundle_confirmed) {
        handlers_.on_bundle_confirmed(*confirmed);
    }
    bundle_confirmed_ = confirmed;
}

void control_loop::publish()
{
    serve_peers();
    if (auto snapshot = core_.take_snapshot(runtime::now()); snapshot && handlers_.on_snapshot) {
        handlers_.on_snapshot(std::move(snapshot));
    }
}

void control_loop::serve_peers()
{
    const auto word = core_.keeper().word();
    if (!word || word == served_) {
        return;
    }
    served_ = word;
    auto served = std::make_shared<served_bundle>();
    served->manifest = core_.keeper().manifest_text();
    const auto manifest = decode_signed_manifest(served->manifest);
    for (const auto& section : manifest.value().manifest.sections) {
        served->sections[section.digest] = core_.keeper().section(section.digest);
    }
    service_.serve(std::move(served));
}

void control_loop::look_at_service()
{
    const auto now = runtime::now();
    if (!options_.configuration_service || watching_ || now < next_watch_) {
        return;
    }
    const bool no_peers = core_.nobody_to_ask();
    if (!no_peers && !core_.watches(now, runtime::wall_now())) {
        return;
    }
    watching_ = true;
    ++service_reads_;
    const auto done = [this](const config_value& read) { on_service(read); };
    if (no_peers) {
        next_watch_ = now + no_peers_read_interval;
        platform_.read(*options_.configuration_service, manifest_key, done);
        return;
    }
    platform_.watch(*options_.configuration_service, manifest_key, revision_, options_.watch_wait, done);
}

void control_loop::on_service(const config_value& read)
{
    watching_ = false;
    const auto now = runtime::now();
    const bool failing = read.end == read_end::failed || read.end == read_end::over_budget;
    if (failing) {
        // A restarted service may restart its revision numbers.
        revision_ = 0;
        // Jitter keeps the watchers from reconnecting simultaneously when the service recovers.
        next_watch_ = now + watch_backoff +
                      duration(random_.below(static_cast<std::uint64_t>(watch_backoff_jitter.count())));
    }
    if (failing != std::exchange(service_failing_, failing)) {
        const auto failure_event =
            read.end == read_end::over_budget ? event::config_over_budget : event::config_unreachable;
        log_event(failing ? failure_event : event::config_reachable);
    }
    if (read.end == read_end::value) {
        revision_ = read.revision;
        carry_out(core_.manifest_arrived(now, {}, read.value));
        publish();
    }
}

void control_loop::add_seeds(const std::vector<listed_host>& hosts)
{
    std::vector<std::string> seeds;
    for (const auto& host : hosts) {
        if (options_.gossip_port != 0 && !host.leaving && !host.address.empty()) {
            seeds.push_back(to_text(socket_address{host.address, options_.gossip_port}));
        }
    }
    core_.add_seeds(seeds);
}

void control_loop::look_at_hosts()
{
    const auto now = runtime::now();
    if (!options_.host_list || reading_hosts_ || now < next_hosts_) {
        return;
    }
    reading_hosts_ = true;
    next_hosts_ = now + options_.host_list_interval;
    platform_.read_hosts(*options_.host_list, [this](const host_list_value& read) {
        reading_hosts_ = false;
        if (read.end != read_end::value) {
            log_event(event::hosts_unreachable);
            return;
        }
        core_.host_list_read(runtime::now(), read.hosts);
        add_seeds(read.hosts);
        publish();
    });
}

} // namespace dragonflymill::control
