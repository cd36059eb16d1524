#pragma once

#include "dragonflymill/core/time.h"
#include "http/http_request.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::http {

/// How a call of ours to an HTTP server ended.
enum class call_end
{
    whole,    ///< The answer came whole.
    not_sent, ///< No byte of the request left.
    broken,   ///< Something left, and no whole answer came.
};

/// Times and bounds of one call.
struct call_limits
{
    duration connect_timeout = 1s;                 ///< For opening the connection.
    duration first_byte_timeout = 120s;            ///< From the request's last byte to the answer's first.
    duration silence_timeout = 10s;                ///< Between two pieces of the answer.
    std::size_t max_header_bytes = 16 * 1024;      ///< Header of the answer.
    std::size_t max_body_bytes = 64 * 1024 * 1024; ///< Body of the answer.
};

/// What the caller of a call is told, all on the context's thread.
struct call_handlers
{
    std::function<void(unsigned status, const std::string& content_type)>
        on_header;                                        ///< The answer's header is here.
    std::function<void(std::string_view bytes)> on_bytes; ///< A piece of the answer's body.
    std::function<void(call_end end)> on_end;             ///< Called once, last, unless the call was dropped.
};

/// One request of ours to an HTTP server, on a connection of its own: opening it proves the way alive just
/// before the request leaves, which an old connection that went silent can't.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    /// A call to `server`, all of whose work runs on `context`.
    http_call(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server, call_limits limits);

    /// Connects and sends, but not after `not_after`.
    void start(http_request request, instant not_after, call_handlers handlers);
    /// From now on a pause of the answer longer than this ends the call.
    void silence_after(duration pause) { limits_.silence_timeout = pause; }
    /// Closes the connection and calls no handler any more.
    void drop();

private:
    void on_connected(boost::system::error_code failure, instant not_after);
    void on_written(boost::system::error_code failure);
    void on_header(boost::system::error_code failure);
    void read_piece();
    void on_piece(boost::system::error_code failure);
    void end(call_end how);

    boost::beast::tcp_stream stream_;
    boost::asio::ip::tcp::endpoint server_;
    call_limits limits_;
    call_handlers handlers_;
    std::string head_;
    std::string body_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
    std::array<char, 16 * 1024> piece_{};
    bool over_ = false;
};

} // namespace dragonflymill::http
