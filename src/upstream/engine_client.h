#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "http/http_call.h"
#include "http/sse_parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dragonflymill::upstream {

/// Timeouts and intervals of the engine client.
struct engine_client_options
{
    duration connect_timeout = 1s;       ///< Time limit for opening a connection.
    duration state_interval = 250ms;     ///< Interval between two reads of the engine's state.
    duration first_token_timeout = 120s; ///< Time limit for the first token of any prompt.
    duration token_timeout = 5s; ///< Time limit between two tokens; a stream that is silent for longer fails.
};

/// Client of a model engine's HTTP interface (docs/upstreams.md) for one sidecar. All functions and handlers
/// run on one `io_context`. Results are passed to the sink as events of `sidecar_core`.
class engine_client
{
public:
    /// Receives every event; blocks while its queue is full.
    using sink = std::function<void(sidecar_event)>;

    /// Creates a client of the engine at `server`.
    engine_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                  engine_client_options options, sink events);

    /// Starts reading the engine's state periodically.
    void start();
    /// Starts a stream at the engine, or has it compute and export a span of KV cache. For a stream, the
    /// spans of its prompt are imported first.
    void start_stream(const sidecar_output::start_stream& what, const std::string& prompt);
    /// Releases a span of KV cache at the engine; reports nothing if the call fails.
    void release_span(const std::string& span);
    /// Closes a stream's connection and cancels the stream at the engine. Reports a confirmation only once
    /// the engine no longer holds memory for it.
    void cancel_stream(const sidecar_output::cancel_stream& what);
    /// Sends an order to the engine and reports the result.
    void send_order(const sidecar_output::send_order& what);

private:
    struct stream
    {
        std::shared_ptr<http::http_call> call;
        http::sse_parser events;
        unsigned status = 0;
        bool ended = false;
    };

    [[nodiscard]] auto control_call() -> std::shared_ptr<http::http_call>;
    void import_next(const sidecar_output::start_stream& what, std::string prompt, std::size_t next_import);
    void export_span(const sidecar_output::start_stream& what, const std::string& prompt);
    void begin_stream(const sidecar_output::start_stream& what, const std::string& prompt);
    void on_exported(call_number call, token_count tokens, http::call_end how);
    void on_bytes(call_number call, const std::string& engine_request, std::string_view bytes);
    void on_payload(call_number call, const std::string& engine_request, const std::string& payload);
    void on_end(call_number call, http::call_end how);
    void fail_stream(call_number call, bool sent);
    void read_state();
    void schedule_state_read();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint server_;
    engine_client_options options_;
    sink events_;
    boost::asio::steady_timer state_timer_;
    std::map<call_number, stream> streams_;
};

} // namespace dragonflymill::upstream
