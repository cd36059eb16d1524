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

/// A request as a stand-in sees it.
struct http_request
{
    std::string method;              ///< GET, POST...
    std::string path;                ///< Path without the query.
    std::vector<http_field> query;   ///< Fields of the query, percent-decoded.
    std::vector<http_field> headers; ///< Header fields, names in lower case.
    std::string body;                ///< The whole body.

    /// Value of a header (name in lower case), empty if absent.
    [[nodiscard]] auto header(std::string_view name) const -> std::string;
    /// Value of a query field, empty if absent.
    [[nodiscard]] auto parameter(std::string_view name) const -> std::string;
};

/// One request's way back to its caller. Calls after the connection closed do nothing.
class http_exchange
{
public:
    /// Belongs to the `number`-th request of a connection.
    http_exchange(std::shared_ptr<http_session> session, std::uint64_t number);

    /// Sends a whole answer.
    void send(unsigned status, std::string_view body, const std::vector<http_field>& headers = {}) const;
    /// Begins an answer of server-sent events.
    void open_stream(std::string_view content_type = "text/event-stream") const;
    /// Adds bytes to a stream.
    void write(std::string_view data) const;
    /// Ends a stream as whole.
    void end_stream() const;
    /// Closes the connection in the middle, as a dying process does.
    void drop() const;
    /// Called once if the caller's connection closes before the answer ended.
    void on_closed(std::function<void()> callback) const;

private:
    std::shared_ptr<http_session> session_;
    std::uint64_t number_;
};

/// A small HTTP/1.1 server on 127.0.0.1 with the faults of a network built in. Everything runs on the thread
/// of its io_context.
class http_server
{
public:
    /// Called for each request.
    using handler = std::function<void(const http_request&, const http_exchange&)>;

    /// Listens on `port`, or on a free one if it is 0.
    http_server(boost::asio::io_context& io, std::uint16_t port, handler handle);
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    ~http_server();

    /// The port it listens on; stays the same over `close` and `reopen`.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Connections of now stay open but nothing is read or written on them again; new ones work.
    void silence();
    /// Nothing is read or written until `length` has passed, then everything goes on.
    void pause(duration length);
    /// Whether a pause is in force.
    [[nodiscard]] auto paused() const -> bool;
    /// Closes the listening socket and every connection.
    void close();
    /// Listens again on the same port.
    void reopen();

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace dragonflymill::standins
