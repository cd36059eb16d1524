#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace dragonflymill::standins {

class http_session;

/// A header or query field.
using http_field = std::pair<std::string, std::string>;

/// A received request.
struct http_request
{
    std::string method;              ///< Request method.
    std::string path;                ///< Path without the query string.
    std::vector<http_field> query;   ///< Query fields, percent-decoded.
    std::vector<http_field> headers; ///< Header fields; names in lower case.
    std::string body;                ///< Request body.

    /// Value of a header field, empty if absent. `name` is in lower case.
    [[nodiscard]] auto header(std::string_view name) const -> std::string;
    /// Value of a query field, empty if absent.
    [[nodiscard]] auto parameter(std::string_view name) const -> std::string;
};

/// Sends the response to one request. After the connection has closed, sending does nothing.
class http_exchange
{
public:
    /// Responds to the `number`-th request of a connection.
    http_exchange(std::shared_ptr<http_session> session, std::uint64_t number);

    /// Sends a complete response.
    void send(unsigned status, std::string_view body, const std::vector<http_field>& headers = {}) const;
    /// Starts a chunked response with status 200, by default of server-sent events.
    void open_stream(std::string_view content_type = "text/event-stream") const;
    /// Sends bytes as a chunk of the stream.
    void write(std::string_view data) const;
    /// Ends the stream normally.
    void end_stream() const;
    /// Closes the connection without ending the response, as a dying process does.
    void drop() const;
    /// `callback` runs once if the connection closes before the response has ended.
    void on_closed(std::function<void()> callback) const;

private:
    std::shared_ptr<http_session> session_;
    std::uint64_t number_;
};

/// Small HTTP/1.1 server on 127.0.0.1 with injectable network faults. Runs on the thread of its io_context.
class http_server
{
public:
    /// Handles a request.
    using handler = std::function<void(const http_request&, const http_exchange&)>;

    /// Listens on `port`; 0 picks a free one.
    http_server(boost::asio::io_context& io, std::uint16_t port, handler handle);
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    ~http_server();

    /// Listening port; kept across `close` and `reopen`.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Stops reading and writing on the present connections without closing them. New connections work.
    void silence();
    /// Suspends request handling and writing on all connections for `length`.
    void pause(duration length);
    /// Whether the server is paused.
    [[nodiscard]] auto paused() const -> bool;
    /// Closes the listening socket and all connections.
    void close();
    /// Listens again on the same port.
    void reopen();

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace dragonflymill::standins
