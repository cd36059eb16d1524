#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "http/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>

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

    /// Sends the call and reports its answer, or its failure and whether the call was sent. Runs on the
    /// context's thread.
    void run(const sidecar_output::run_service& what);

    /// Memory of all answers that are being received: a quarter of the host's in docs/CAPACITY.md. Beyond it
    /// the longest answer is aborted, which is the least likely one to end.
    static constexpr std::size_t max_held_bytes = std::size_t{64} * 1024 * 1024;

private:
    struct running_call
    {
        std::shared_ptr<http::http_call> call;
        std::size_t bytes = 0;
        bool aborted = false;
    };

    /// Accounts for bytes of an answer; returns false if the answer is aborted.
    [[nodiscard]] auto claim(call_number number, std::size_t bytes) -> bool;
    /// Forgets a call that has ended; returns false if its answer was aborted.
    [[nodiscard]] auto release(call_number number) -> bool;
    void abort_longest();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint server_;
    duration connect_timeout_;
    sink events_;
    std::map<call_number, running_call> running_;
    std::size_t held_bytes_ = 0;
};

} // namespace dragonflymill::upstream
