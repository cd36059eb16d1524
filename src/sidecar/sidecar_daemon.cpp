#include "sidecar/sidecar_daemon.h"

#include "app/version.h"
#include "control/admin_server.h"
#include "control/daemon_control.h"
#include "log/logger.h"
#include "runtime/text_file.h"
#include "sidecar/gate_server.h"
#include "sidecar/sidecar_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <utility>

namespace dragonflymill {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_superseded = 6;

/// One running sidecar process.
class sidecar_daemon
{
public:
    explicit sidecar_daemon(const sidecar_settings& settings)
        : settings_(settings)
    {
    }

    auto run() -> int;

private:
    [[nodiscard]] auto serve(std::string ticket_key) -> int;
    [[nodiscard]] auto open_control(sidecar::sidecar_server& server, std::function<void()> on_superseded)
        -> result<std::unique_ptr<control::daemon_control>>;

    const sidecar_settings& settings_;
    timeline_recorder timeline_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_{context_, SIGTERM, SIGINT};
    std::unique_ptr<control::admin_server> admin_;
    int exit_code_ = exit_ok;
    bool was_ready_ = false; // used on the control thread only
};

auto sidecar_daemon::run() -> int
{
    auto log = logger::start(settings_.log);
    if (!log) {
        std::fprintf(stderr, "%s\n", log.error().text().c_str());
        return exit_failed;
    }
    log_event(event::process_started, field("version", app::version_text()));
    auto timeline =
        timeline_recorder::start(settings_.process.name, settings_.timeline.file, settings_.timeline.ring);
    auto key = runtime::read_key_file(settings_.once.key_file);
    if (!key) {
        log_event(event::key_file_unreadable, field("reason", key.error().text()));
    }
    for (const auto* failure : {timeline ? nullptr : &timeline.error(), key ? nullptr : &key.error()}) {
        if (failure != nullptr) {
            std::fprintf(stderr, "%s\n", failure->text().c_str());
            return exit_failed;
        }
    }
    timeline_ = std::move(timeline.value());
    return serve(key.value());
}

auto sidecar_daemon::serve(std::string ticket_key) -> int
{
    const auto exit_with = [this](int code) {
        boost::asio::post(context_, [this, code] {
            exit_code_ = code;
            context_.stop();
        });
    };
    sidecar::sidecar_server server(
        settings_, std::move(ticket_key), timeline_, [exit_with] { exit_with(exit_ok); },
        [exit_with] { exit_with(exit_superseded); });
    auto control = open_control(server, [exit_with] { exit_with(exit_superseded); });
    if (!control) {
        std::fprintf(stderr, "%s\n", control.error().text().c_str());
        return exit_failed;
    }
    const auto stop = [&server, &control] {
        log_event(event::sidecar_stopping);
        control.value()->leave();
        server.stop();
    };
    admin_ = std::make_unique<control::admin_server>(
        context_, *control.value(), [&server] { return server.status(); }, stop);
    const auto admin_listening = admin_->listen(settings_.admin_listen);
    if (!admin_listening) {
        std::fprintf(stderr, "%s\n", admin_listening.error().text().c_str());
        return exit_failed;
    }
    server.start();
    control.value()->start();
    int port = 0;
    const auto grpc_server =
        sidecar::start_gate_server(to_text(settings_.grpc_listen), server.service(), port);
    if (!grpc_server) {
        std::fprintf(stderr, "can't listen on %s (choose a free port of this host)\n",
                     to_text(settings_.grpc_listen).c_str());
        control.value()->stop();
        server.join();
        return exit_failed;
    }
    log_event(event::sidecar_started, field("address", to_text(settings_.grpc_listen)));
    server.listening();
    std::printf("ready grpc %s:%d gossip %s\n", settings_.grpc_listen.ip.c_str(), port,
                control.value()->gossip_address().c_str());
    std::fflush(stdout);
    signals_.async_wait([stop](boost::system::error_code failure, int /*signal*/) {
        if (!failure) {
            log_event(event::signal_received);
            stop();
        }
    });
    context_.run();
    control.value()->stop();
    grpc_server->Shutdown(std::chrono::system_clock::now() + 1s);
    server.join();
    log_event(event::sidecar_stopped);
    return exit_code_;
}

auto sidecar_daemon::open_control(sidecar::sidecar_server& server, std::function<void()> on_superseded)
    -> result<std::unique_ptr<control::daemon_control>>
{
    control::control_plane_handlers handlers;
    handlers.on_snapshot = [this, &server](const std::shared_ptr<const control::control_snapshot>& snapshot) {
        admin_->note(*snapshot);
        if (snapshot->ready && !std::exchange(was_ready_, true)) {
            log_event(event::sidecar_ready);
        }
        server.adopt(*snapshot);
    };
    handlers.on_superseded = std::move(on_superseded);
    handlers.on_bundle_confirmed = [&server](instant asked) { server.bundle_confirmed(asked); };
    return control::daemon_control::open(
        {process_role::sidecar, settings_.process, settings_.bundle, settings_.control}, std::move(handlers));
}

} // namespace

auto run_sidecar(const sidecar_settings& settings) -> int
{
    return sidecar_daemon(settings).run();
}

} // namespace dragonflymill
