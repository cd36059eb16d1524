#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "http/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace dragonflymill::upstream {

/// Calls a plain service for one sidecar. Opens a new connection for each call and never sends a call twice.
class service_client
{
public:
    /// Receives every event; blocks while its queue is full.
    using sink = std::function<void(sidecar_event)>;

    /// Creates a client of the service at `server`.
    service_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                   duration connect_timeout, sink events);

    /// Sends the call and reports its answer, or its failure and whether the call was sent.
    void run(const sidecar_output::run_service& what);

private:
    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint server_;
    duration connect_timeout_;
    sink events_;
};

} // namespace dragonflymill::upstream
