#include "edge/caller_listener.h"

#include "log/logger.h"
#include "runtime/clock.h"
#include "settings/listening_socket.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

auto open_logged(tcp::acceptor& acceptor, const socket_address& address) -> result<void>
{
    auto opened = open_listening(acceptor, address);
    if (!opened) {
        log_event(event::listen_failed, field("address", to_text(address)),
                  field("why", opened.error().message()));
    }
    return opened;
}

caller_listener::caller_listener(asio::io_context& loop, loop_timers& timers, gateway_metrics& metrics,
                                 connection_handler on_accepted, connection_gate gate)
    : loop_(loop)
    , timers_(timers)
    , metrics_(metrics)
    , on_accepted_(std::move(on_accepted))
    , acceptor_(loop)
    , gate_(gate)
{
}

auto caller_listener::open(const socket_address& address) -> result<void>
{
    return open_logged(acceptor_, address);
}

void caller_listener::start()
{
    if (!std::exchange(started_, true)) {
        accept();
    }
}

auto caller_listener::port() const -> std::uint16_t
{
    return acceptor_.local_endpoint().port();
}

void caller_listener::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (failed) {
            // Out of descriptors, as a rule; accepting fails until connections are closed.
            timers_.at(runtime::now() + accept_retry_delay, [this] { accept(); });
            return;
        }
        measure_lag();
        if (!gate_.admit(runtime::now())) {
            metrics_.turned_away.add();
            timers_.at(runtime::now() + turn_away_interval, [this] { turn_away_waiting(); });
            return;
        }
        on_accepted_(std::move(socket));
        accept();
    });
}

void caller_listener::measure_lag()
{
    if (std::exchange(measuring_, true)) {
        return;
    }
    asio::post(loop_, [this, posted_at = runtime::now()] {
        measuring_ = false;
        const instant now = runtime::now();
        gate_.record_lag(now - posted_at, now);
    });
}

void caller_listener::turn_away_waiting()
{
    // These callers have waited already; those that arrive later are served sooner.
    boost::system::error_code failed;
    acceptor_.non_blocking(true, failed);
    for (int count = 0; !failed && count < max_turned_away; ++count) {
        const tcp::socket waiting = acceptor_.accept(failed);
        if (!failed) {
            metrics_.turned_away.add();
        }
    }
    accept();
}

} // namespace dragonflymill::edge
