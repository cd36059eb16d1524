#pragma once

#include "standins/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>

namespace dragonflymill::standins {

/// One connection of an http_server. Requests are handled one after the other: the next one is read after the
/// answer to the previous one.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    /// Called when the connection has closed.
    using end_callback = std::function<void(const std::shared_ptr<http_session>&)>;

    /// Takes over an accepted socket.
    http_session(boost::asio::ip::tcp::socket socket, http_server::handler handle, end_callback ended);

    /// Reads the first request.
    void start();
    /// Suspends or resumes handling of requests and writing.
    void hold(bool on);
    /// Stops reading and writing for good; the connection stays open.
    void silence();
    /// Closes the connection at once.
    void close();
    /// Closes the connection after the queued bytes are written.
    void close_when_written();

    /// See http_exchange.
    void send(std::uint64_t number, unsigned status, std::string_view body,
              const std::vector<http_field>& headers);
    /// See http_exchange.
    void open_stream(std::uint64_t number, std::string_view content_type);
    /// See http_exchange.
    void write_chunk(std::uint64_t number, std::string_view data);
    /// See http_exchange.
    void end_stream(std::uint64_t number);
    /// See http_exchange.
    void on_closed(std::uint64_t number, std::function<void()> callback);

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_request();
    void dispatch();
    void watch_for_close();
    void queue(std::string bytes);
    void finish(std::uint64_t number);
    void pump();
    [[nodiscard]] auto is_current(std::uint64_t number) const -> bool;

    boost::asio::ip::tcp::socket socket_;
    http_server::handler handle_;
    end_callback ended_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::string pending_; // queued bytes
    std::string writing_; // bytes of the write in progress
    std::function<void()> closed_callback_;
    std::uint64_t number_ = 0; // of the latest request on this connection
    bool answering_ = false;
    bool watching_ = false;
    bool writing_now_ = false;
    bool request_held_ = false;
    bool close_when_written_ = false;
    bool held_ = false;
    bool silent_ = false;
    bool open_ = true;
};

} // namespace dragonflymill::standins
