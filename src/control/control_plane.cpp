#include "control/control_plane.h"

#include "control/control_loop.h"
#include "control/peer_client.h"
#include "rpc/transport_lifetime.h"

#include <boost/asio/post.hpp>
#include <future>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace dragonflymill::control {

namespace {

constexpr int max_request_bytes = 2 * 1024 * 1024;

auto ip_of(const std::string& address) -> std::string
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

class control_plane::implementation
{
public:
    implementation(control_plane_options options, control_plane_handlers handlers)
        : options_(std::move(options))
        , handlers_(std::move(handlers))
        , service_(service_handlers())
    {
    }

    auto open() -> result<void>
    {
        rpc::keep_transport_alive();
        auto& self = options_.core.membership.self;
        const auto ip = options_.advertise_ip.empty() ? ip_of(options_.udp_listen) : options_.advertise_ip;
        int peer_port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(options_.peer_listen, grpc::InsecureServerCredentials(), &peer_port);
        builder.SetMaxReceiveMessageSize(max_request_bytes);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || peer_port == 0) {
            return error(error_kind::unavailable, "can't listen for peers on " + options_.peer_listen,
                         "free the address or change control.peer_listen");
        }
        self.peer_address = ip + ":" + std::to_string(peer_port);
        auto socket = gossip_socket::open(thread_.context(), options_.udp_listen);
        if (socket.has_error()) {
            return socket.error();
        }
        self.gossip_address = ip + ":" + std::to_string(socket.value()->port());
        auto core = control_core::create(options_.core, random_seed(), runtime::now());
        auto seal = datagram_seal::create(options_.core.seal_keys);
        if (core.has_error() || seal.has_error()) {
            return core.has_error() ? core.error() : seal.error();
        }
        loop_.emplace(thread_.context(), options_, handlers_, std::move(core).value(),
                      std::move(seal).value(), std::move(socket).value(), service_);
        return success();
    }

    void start()
    {
        boost::asio::post(thread_.context(), [this] { loop_->start(); });
        thread_.start();
    }

    void stop()
    {
        if (server_ != nullptr) {
            // Cancels pending calls before the control thread ends; they would otherwise wait for it forever.
            server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
        }
        thread_.stop();
    }

    void leave()
    {
        post_to_thread([this] { loop_->leave(); });
    }

    void push(pushed_bundle bundle, peer_answer done)
    {
        post_to_thread(
            [this, bundle = std::move(bundle), done = std::move(done)] { loop_->push(bundle, done); });
    }

    void drain(drain_subject subject, bool out)
    {
        post_to_thread([this, subject = std::move(subject), out] { loop_->drain(subject, out); });
    }

    void ask(ask_shares asked, share_answer done)
    {
        if (asked.home == self().id && handlers_.on_shares_asked) {
            done(handlers_.on_shares_asked(asked.requests));
            return;
        }
        post_to_thread([this, asked = std::move(asked), done = std::move(done)] { loop_->ask(asked, done); });
    }

    [[nodiscard]] auto self() const -> const member_info& { return options_.core.membership.self; }
    [[nodiscard]] auto traffic() const -> control_traffic { return loop_->traffic(); }

private:
    auto service_handlers() -> peer_service_handlers
    {
        peer_service_handlers handlers;
        handlers.on_push = [this](pushed_bundle bundle, peer_answer done) {
            push(std::move(bundle), std::move(done));
        };
        handlers.on_drain = [this](sealed_drain word, peer_answer done) {
            post_to_thread(
                [this, word = std::move(word), done = std::move(done)] { loop_->drain(word, done); });
        };
        handlers.on_shares_asked = handlers_.on_shares_asked;
        return handlers;
    }

    template <typename Task>
    void post_to_thread(Task task)
    {
        boost::asio::post(thread_.context(), std::move(task));
    }

    // Derived from name, address and incarnation, so that each process gets a different seed.
    auto random_seed() const -> std::uint64_t
    {
        const auto& membership = options_.core.membership;
        return stable_hash(membership.self.id.text() + membership.self.gossip_address,
                           membership.start.value());
    }

    control_plane_options options_;
    control_plane_handlers handlers_;
    runtime::io_thread thread_;
    peer_service service_;
    std::unique_ptr<grpc::Server> server_;
    std::optional<control_loop> loop_;
};

auto control_plane::open(control_plane_options options, control_plane_handlers handlers)
    -> result<std::unique_ptr<control_plane>>
{
    auto inner = std::make_unique<implementation>(std::move(options), std::move(handlers));
    const auto opened = inner->open();
    if (opened.has_error()) {
        return opened.error();
    }
    return std::unique_ptr<control_plane>(new control_plane(std::move(inner)));
}

control_plane::control_plane(std::unique_ptr<implementation> inner)
    : inner_(std::move(inner))
{
}

control_plane::~control_plane()
{
    stop();
}

void control_plane::start()
{
    inner_->start();
}

void control_plane::leave()
{
    inner_->leave();
}

void control_plane::stop()
{
    inner_->stop();
}

void control_plane::push(pushed_bundle bundle, peer_answer done)
{
    inner_->push(std::move(bundle), std::move(done));
}

void control_plane::drain(drain_subject subject, bool out)
{
    inner_->drain(std::move(subject), out);
}

void control_plane::request_shares(ask_shares asked, share_answer done)
{
    inner_->ask(std::move(asked), std::move(done));
}

auto control_plane::self() const -> const member_info&
{
    return inner_->self();
}

auto control_plane::traffic() const -> control_traffic
{
    return inner_->traffic();
}

} // namespace dragonflymill::control
