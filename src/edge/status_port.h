#pragma once

#include "dragonflymill/core/error.h"
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
    status_port(boost::asio::io_context& loop, loop_timers& timers, status_pages::sources shown);

    /// Listens on an address and starts to accept.
    [[nodiscard]] auto open(const socket_address& address) -> result<void>;
    /// Counts of what the port's budget has decided.
    [[nodiscard]] auto counts() const -> const caller_budget_counts& { return pages_.budget()->counts(); }

private:
    void accept();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    status_pages pages_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
};

} // namespace dragonflymill::edge
