#pragma once

#include "dragonflymill/core/time.h"
#include "http/http_request.h"
#include "http/response_parser.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::http {

/// Result of an outgoing HTTP call.
enum class call_end
{
    whole,    ///< The complete response was received.
    not_sent, ///< No byte of the request was sent.
    broken,   ///< Part of the request may have been sent, but no complete response was received.
};

/// Timeouts and size limits of one call.
struct call_limits
{
    duration connect_timeout = 1s;      ///< For establishing the connection.
    duration first_byte_timeout = 120s; ///< From the last byte of the request to the first of the response.
    duration silence_timeout = 10s;     ///< Between two reads of the response body.
    /// From the connection to the end of the response; zero for none.
    duration total_timeout{};
    /// Size of the response header, and of all interim responses before it.
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024; ///< Size of the response body.
};

/// Callbacks of a call, invoked on the context's thread.
struct call_handlers
{
    std::function<void(unsigned status, const std::string& content_type)>
        on_header;                                        ///< The response header was received.
    std::function<void(std::string_view bytes)> on_bytes; ///< A part of the response body was received.
    std::function<void(call_end end)> on_end;             ///< Called once, last, unless the call is dropped.
};

/// One outgoing HTTP request on a new connection. Establishing the connection verifies that the server is
/// reachable immediately before the request is sent; a pooled connection may have failed unnoticed.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    /// Prepares a call to `server`; all handlers run on `context`.
    http_call(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server, call_limits limits);

    /// Connects and sends the request. Ends with `not_sent` if connecting fails or completes at or after
    /// `not_after`.
    void start(http_request request, instant not_after, call_handlers handlers);
    /// Sets the silence timeout for the following reads of the response body.
    void silence_after(duration pause) { limits_.silence_timeout = pause; }
    /// Closes the connection without calling any further handler.
    void drop();

private:
    void on_connected(boost::system::error_code failure, instant not_after);
    /// Sets the timeout of the next step; the end of the whole call may come first.
    void expire_after(duration timeout);
    void on_written(boost::system::error_code failure);
    void read();
    void on_read(boost::system::error_code failure, std::size_t bytes);
    /// Parses received bytes and passes on what they complete.
    void consume(std::string_view bytes);
    void on_closed();
    void end(call_end how);

    boost::beast::tcp_stream stream_;
    boost::asio::ip::tcp::endpoint server_;
    call_limits limits_;
    call_handlers handlers_;
    std::string head_;
    std::string body_;
    response_parser parser_;
    std::array<char, 16 * 1024> piece_{};
    std::optional<instant> ends_by_;
    bool header_passed_ = false;
    bool body_received_ = false;
    bool over_ = false;
};

} // namespace dragonflymill::http
