#include "gateway/gateway_daemon.h"

#include "app/version.h"
#include "control/admin_server.h"
#include "control/daemon_control.h"
#include "gateway/caller_admission.h"
#include "gateway/gateway_server.h"
#include "http/http_server.h"
#include "log/logger.h"
#include "runtime/allocator.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/io_thread.h"
#include "runtime/text_file.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <memory>

namespace dragonflymill {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr duration flush_poll_interval = 20ms;
/// Time to write the remaining response bytes after the core has finished its last request.
constexpr duration max_flush_time = 5s;

auto limits_of(const gateway_settings& settings) -> http::http_limits
{
    http::http_limits limits;
    limits.max_header_bytes = settings.limits.max_header;
    limits.max_body_bytes = settings.limits.max_body;
    limits.max_bodies_bytes = settings.limits.max_bodies;
    limits.max_connections =
        std::min<std::size_t>(settings.limits.max_connections, runtime::descriptors_for_callers());
    limits.header_timeout = settings.timeouts.header;
    limits.body_timeout = settings.timeouts.body;
    limits.idle_timeout = settings.timeouts.idle;
    return limits;
}

/// One running gateway process.
class gateway_daemon
{
public:
    gateway_daemon(const gateway_settings& settings, timeline_recorder timeline, std::string ticket_key)
        : settings_(settings)
        , timeline_(std::move(timeline))
        , gateway_server_(settings, std::move(ticket_key), timeline_, metrics_,
                          {[this] { boost::asio::post(context_, [this] { on_all_done(); }); },
                           [this](const ask_shares& request) { request_account_shares(request); }})
        , admission_(
              {settings.process.name,
               static_cast<std::uint64_t>(runtime::wall_now().time_since_epoch().count()),
               settings.timeouts.request},
              [this](gateway::accepted_request accepted) {
                  return gateway_server_.submit(std::move(accepted));
              },
              [this] { return metrics_.prometheus_text(); })
        , http_server_(
              http_thread_.context(), limits_of(settings),
              {[this](const std::shared_ptr<http::http_session>& session, http::http_request request) {
                   admission_.handle_request(session, std::move(request));
               },
               [this](std::uint64_t exchange) { gateway_server_.caller_disconnected(exchange); },
               [this] { return admission_.body_limit_response(); }})
    {
    }

    auto run() -> int;

private:
    [[nodiscard]] auto open_control() -> result<void>;
    void on_snapshot(const control::control_snapshot& snapshot);
    void request_account_shares(const ask_shares& request);
    void on_stop_signal();
    void stop_accepting();
    void on_all_done();
    void wait_until_flushed(instant until);

    const gateway_settings& settings_;
    timeline_recorder timeline_;
    metrics_registry metrics_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_{context_, SIGTERM, SIGINT};
    boost::asio::steady_timer timer_{context_};
    gateway::gateway_server gateway_server_;
    gateway::caller_admission admission_;
    runtime::io_thread http_thread_;
    http::http_server http_server_;
    std::unique_ptr<control::daemon_control> control_;
    std::unique_ptr<control::admin_server> admin_;
    bool stop_started_ = false;
    bool was_ready_ = false; // used only by the control thread
};

auto gateway_daemon::open_control() -> result<void>
{
    control::control_plane_handlers handlers;
    handlers.on_snapshot = [this](const std::shared_ptr<const control::control_snapshot>& snapshot) {
        on_snapshot(*snapshot);
    };
    // A gateway that detects a later incarnation of itself has been replaced: it drains and exits.
    handlers.on_superseded = [this] { boost::asio::post(context_, [this] { on_stop_signal(); }); };
    handlers.on_shares_asked = [this](const std::vector<share_request>& requests) {
        return gateway_server_.grant_shares(requests);
    };
    auto opened = control::daemon_control::open(
        {process_role::gateway, settings_.process, settings_.bundle, settings_.control}, std::move(handlers));
    if (!opened) {
        return opened.error();
    }
    control_ = std::move(opened.value());
    admin_ = std::make_unique<control::admin_server>(
        context_, *control_, [this] { return gateway_server_.status(); }, [this] { on_stop_signal(); });
    return admin_->listen(settings_.admin_listen);
}

void gateway_daemon::on_snapshot(const control::control_snapshot& snapshot)
{
    admin_->note(snapshot);
    if (std::exchange(was_ready_, snapshot.ready) != snapshot.ready) {
        log_event(snapshot.ready ? event::gateway_ready : event::gateway_not_ready);
    }
    if (!snapshot.ready) {
        return;
    }
    gateway_server_.apply_snapshot(snapshot);
    admission_.set_bundle(snapshot.in_force);
}

void gateway_daemon::request_account_shares(const ask_shares& request)
{
    control_->request_shares(request, [this, requested_at = request.asked](std::vector<share_grant> grants) {
        gateway_server_.shares_granted(std::move(grants), requested_at);
    });
}

auto gateway_daemon::run() -> int
{
    const auto control_opened = open_control();
    if (!control_opened) {
        std::fprintf(stderr, "%s\n", control_opened.error().text().c_str());
        return exit_failed;
    }
    const auto listening = http_server_.listen(to_text(settings_.http_listen));
    if (!listening) {
        log_event(event::listen_failed, field("address", to_text(settings_.http_listen)));
        std::fprintf(stderr, "%s\n", listening.error().text().c_str());
        return exit_failed;
    }
    gateway_server_.start();
    control_->start();
    http_thread_.start();
    log_event(event::gateway_started, field("address", http_server_.local_address()));
    std::printf("ready http %s gossip %s\n", http_server_.local_address().c_str(),
                control_->gossip_address().c_str());
    std::fflush(stdout);
    signals_.async_wait([this](boost::system::error_code failure, int /*signal*/) {
        if (!failure) {
            log_event(event::signal_received);
            on_stop_signal();
        }
    });
    context_.run();
    http_thread_.stop();
    control_->stop();
    gateway_server_.join();
    log_event(event::gateway_stopped);
    return exit_ok;
}

void gateway_daemon::on_stop_signal()
{
    // The load balancer in front learns of the shutdown only by polling /readyz. The process keeps accepting
    // connections for `drain_lag`, so that no caller is sent to a closed port.
    if (std::exchange(stop_started_, true)) {
        return;
    }
    log_event(event::gateway_stopping);
    admission_.set_stopping(true);
    control_->leave();
    timer_.expires_after(settings_.drain_lag);
    timer_.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            stop_accepting();
        }
    });
}

void gateway_daemon::stop_accepting()
{
    boost::asio::post(http_thread_.context(), [this] {
        http_server_.stop_accepting();
        // Bodies of open requests may still arrive.
        admission_.refuse_requests();
        gateway_server_.stop();
    });
}

void gateway_daemon::on_all_done()
{
    wait_until_flushed(runtime::now() + max_flush_time);
}

void gateway_daemon::wait_until_flushed(instant until)
{
    boost::asio::post(http_thread_.context(), [this, until] {
        const bool flushed = http_server_.connection_count() == 0;
        boost::asio::post(context_, [this, until, flushed] {
            if (flushed || runtime::now() >= until) {
                context_.stop();
                return;
            }
            timer_.expires_after(flush_poll_interval);
            timer_.async_wait([this, until](boost::system::error_code failure) {
                if (!failure) {
                    wait_until_flushed(until);
                }
            });
        });
    });
}

} // namespace

auto run_gateway(const gateway_settings& settings) -> int
{
    const auto fail = [](const error& failure) {
        std::fprintf(stderr, "%s\n", failure.text().c_str());
        return exit_failed;
    };
    runtime::return_large_blocks_at_once();
    const auto log = logger::start(settings.log);
    if (!log) {
        return fail(log.error());
    }
    log_event(event::process_started, field("version", app::version_text()));
    auto timeline =
        timeline_recorder::start(settings.process.name, settings.timeline.file, settings.timeline.ring);
    if (!timeline) {
        return fail(timeline.error());
    }
    const auto key = runtime::read_key_file(settings.ticket_key_file);
    if (!key) {
        log_event(event::key_file_unreadable, field("reason", key.error().text()));
        return fail(key.error());
    }
    gateway_daemon daemon(settings, std::move(timeline.value()), key.value());
    return daemon.run();
}

} // namespace dragonflymill
