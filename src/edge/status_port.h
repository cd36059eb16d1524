#pragma once

#include "dragonflymill/core/error.h"
#include "edge/caller_budget_log.h"
#include "edge/caller_session.h"
#include "edge/loop_timers.h"
#include "edge/status_pages.h"
#include "settings/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_set>

namespace dragonflymill::edge {

/// Serves the status pages at one address. Its connections have a budget of their own, so that callers can't
/// keep a check of readiness out, and whoever reaches this port can't keep callers out.
class status_port
{
public:
    /// `name` is that of the port in the log.
    status_port(const char* name, boost::asio::io_context& loop, loop_timers& timers,
                status_pages::sources shown);

    /// Listens on an address and starts to accept.
    [[nodiscard]] auto open(const socket_address& address) -> result<void>;
    /// Publishes what the port's budget has decided.
    void publish(gateway_metrics& metrics, instant now) { log_.update(*pages_.budget(), metrics, now); }

private:
    void accept();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    status_pages pages_;
    caller_budget_log log_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
};

} // namespace dragonflymill::edge
