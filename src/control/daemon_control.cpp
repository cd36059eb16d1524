#include "control/daemon_control.h"

#include "control/bundle_package.h"
#include "dragonflymill/bundle/bundle_source.h"
#include "runtime/clock.h"
#include "runtime/text_file.h"
#include "settings/socket_endpoint.h"

#include <set>
#include <utility>

namespace dragonflymill::control {

namespace {

/// Contents of a bundle file: a signed package, or an unsigned source text.
struct bundle_file
{
    std::shared_ptr<const bundle> content;
    std::optional<pushed_bundle> package;
};

auto read_bundle_file(const std::string& path) -> result<bundle_file>
{
    if (path.empty()) {
        return bundle_file{};
    }
    auto text = runtime::read_text_file(path, max_package_bytes);
    if (!text) {
        return text.error();
    }
    if (!is_package(text.value())) {
        auto source = parse_bundle_source(text.value());
        if (!source) {
            return source.error();
        }
        return bundle_file{std::make_shared<const bundle>(std::move(source.value())), std::nullopt};
    }
    auto package = decode_package(text.value());
    if (!package) {
        return package.error();
    }
    return bundle_file{
        std::make_shared<const bundle>(package.value().content),
        pushed_bundle{encode_signed_manifest(package.value().manifest), package.value().sections}};
}

/// Converts an address; empty if the setting is absent.
auto optional_endpoint(const socket_address& address) -> std::optional<boost::asio::ip::tcp::endpoint>
{
    const auto endpoint = tcp_endpoint(address);
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

auto core_options(const daemon_control_settings& settings, const bundle* from_file) -> control_core_options
{
    control_core_options core;
    auto& self = core.membership.self;
    self.id = settings.process.name;
    self.role = settings.role;
    self.region = settings.process.region;
    self.domain = settings.process.failure_domain;
    self.host = settings.process.host;
    const auto since_epoch = runtime::wall_now().time_since_epoch();
    core.membership.start = incarnation(
        static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(since_epoch).count()));
    for (const auto& seed : settings.control.seeds) {
        core.membership.seeds.push_back(to_text(seed));
    }
    core.bundle.trusted = settings.bundle.partners;
    core.bundle.min_version = bundle_version(settings.bundle.min_version);
    core.bundle.boot.stands_alone = settings.control.standalone;
    if (from_file != nullptr) {
        std::set<failure_domain_id> domains;
        for (const auto& domain : from_file->domains) {
            domains.insert(domain.id);
        }
        core.bundle.boot.failure_domains = domains.size();
    }
    return core;
}

} // namespace

daemon_control::daemon_control(control_plane_handlers handlers, std::shared_ptr<const bundle> from_file)
    : handlers_(std::move(handlers))
    , from_file_(std::move(from_file))
{
}

auto daemon_control::open(const daemon_control_settings& settings, control_plane_handlers handlers)
    -> result<std::unique_ptr<daemon_control>>
{
    auto file = read_bundle_file(settings.bundle.file);
    if (!file) {
        return file.error();
    }
    std::unique_ptr<daemon_control> daemon(new daemon_control(handlers, file.value().content));
    daemon->signed_file_ = std::move(file.value().package);
    if (settings.control.udp_listen.empty()) {
        if (!daemon->from_file_) {
            return error(error_kind::invalid_input, "neither a bundle file nor a gossip address is set",
                         "set [bundle] file, or [control] udp_listen and seeds");
        }
        return daemon;
    }
    if (settings.bundle.partners.size() != 2) {
        return error(error_kind::invalid_input,
                     "a process with a gossip address needs the partners that sign bundles",
                     "set [bundle] partners to both partners' names and public keys");
    }
    const auto key = runtime::read_key_file(settings.control.key_file);
    if (!key) {
        return key.error();
    }
    control_plane_options options;
    options.core = core_options(settings, daemon->from_file_.get());
    options.core.seal_keys = {key.value()};
    options.udp_listen = to_text(settings.control.udp_listen);
    if (!settings.control.peer_listen.empty()) {
        options.peer_listen = to_text(settings.control.peer_listen);
    }
    options.configuration_service = optional_endpoint(settings.control.configuration_service);
    options.host_list = optional_endpoint(settings.control.host_list);
    options.gossip_port = settings.control.udp_listen.port;
    auto plane = control_plane::open(std::move(options), std::move(handlers));
    if (!plane) {
        return plane.error();
    }
    daemon->plane_ = std::move(plane.value());
    return daemon;
}

void daemon_control::start()
{
    if (plane_) {
        plane_->start();
        if (signed_file_) {
            plane_->push(std::move(*signed_file_), [](const result<void>& /*answer*/) {});
            signed_file_.reset();
        }
        return;
    }
    const auto snapshot = std::make_shared<control_snapshot>();
    snapshot->number = 1;
    snapshot->in_force = from_file_;
    snapshot->ready = true;
    handlers_.on_snapshot(snapshot);
}

void daemon_control::leave()
{
    if (plane_) {
        plane_->leave();
    }
}

void daemon_control::stop()
{
    if (plane_) {
        plane_->stop();
    }
}

void daemon_control::push(pushed_bundle pushed, const peer_answer& done)
{
    if (plane_) {
        plane_->push(std::move(pushed), done);
        return;
    }
    done(error(error_kind::unavailable, "this process runs by its bundle file alone",
               "set [control] udp_listen so that it takes bundles"));
}

void daemon_control::request_shares(ask_shares asked, share_answer done)
{
    if (plane_) {
        plane_->request_shares(std::move(asked), std::move(done));
        return;
    }
    done({});
}

auto daemon_control::gossip_address() const -> std::string
{
    return plane_ ? plane_->self().gossip_address : std::string();
}

} // namespace dragonflymill::control
