#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "http/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace dragonflymill::upstream {

/// Calls a plain service for one sidecar, each call on a connection opened just before. Nothing is ever sent
/// twice.
class service_client
{
public:
    /// Takes every event, waiting for room if need be.
    using sink = std::function<void(sidecar_event)>;

    /// Calls the service at `server`.
    service_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                   duration connect_timeout, sink events);

    /// Sends the call and reports its answer, or that none will come.
    void run(const sidecar_output::run_service& what);

private:
    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint server_;
    duration connect_timeout_;
    sink events_;
};

} // namespace dragonflymill::upstream
