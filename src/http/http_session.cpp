#include "http/http_session.h"

#include "http/http_text.h"
#include "log/logger.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace dragonflymill::http {

namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr std::size_t discard_chunk_bytes = 64 * 1024;

} // namespace

http_session::http_session(boost::asio::ip::tcp::socket socket, const http_limits& limits,
                           const request_handlers& handlers, std::shared_ptr<std::uint64_t> numbers,
                           std::shared_ptr<body_budget> bodies)
    : stream_(std::move(socket))
    , comment_timer_(stream_.get_executor())
    , limits_(limits)
    , handlers_(handlers)
    , numbers_(std::move(numbers))
    , body_(std::move(bodies))
{
}

void http_session::start()
{
    read_header();
}

void http_session::refuse_connection()
{
    state_ = state::waiting;
    keep_alive_ = false;
    write_out(response_text(error_response(503, "too_many_connections", "come back in a second"), false),
              true);
}

void http_session::read_header()
{
    if (stopping_) {
        shut();
        return;
    }
    state_ = state::reading;
    body_.release();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    stream_.expires_after(buffer_.size() > 0 || exchange_ == 0 ? limits_.header_timeout
                                                               : limits_.idle_timeout);
    beast::http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) { self->on_header(failure); });
}

void http_session::on_header(error_code failure)
{
    if (failure) {
        reject_unreadable(failure);
        return;
    }
    if (!claim_body()) {
        refuse_body();
        return;
    }
    if (beast::iequals(parser_->get()[beast::http::field::expect], "100-continue")) {
        static const std::string continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(
            stream_, boost::asio::buffer(continue_line),
            [self = shared_from_this()](error_code /*failure*/, std::size_t /*bytes*/) {});
    }
    stream_.expires_after(limits_.body_timeout);
    beast::http::async_read(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code read_failure, std::size_t /*bytes*/) {
                                self->on_body(read_failure);
                            });
}

auto http_session::claim_body() -> bool
{
    // A chunked body has no declared length and claims the maximum; the excess is released after reading.
    const auto length = parser_->content_length();
    return body_.claim(length || !parser_->chunked() ? static_cast<std::size_t>(length.value_or(0))
                                                     : limits_.max_body_bytes);
}

void http_session::refuse_body()
{
    state_ = state::waiting;
    keep_alive_ = false;
    body_unread_ = true;
    stream_.expires_never();
    auto response = handlers_.on_no_room
                        ? handlers_.on_no_room()
                        : error_response(503, "overloaded", "send the request again a little later");
    write_out(response_text(response, false), true);
}

void http_session::on_body(error_code failure)
{
    if (failure) {
        reject_unreadable(failure);
        return;
    }
    hand_over();
}

void http_session::reject_unreadable(error_code failure)
{
    namespace http = beast::http;
    const bool connection_ended =
        failure == http::error::end_of_stream || failure == http::error::partial_message ||
        failure == boost::asio::error::connection_reset || failure == boost::asio::error::operation_aborted;
    const bool idle_timeout = failure == beast::error::timeout && !parser_->got_some();
    if (connection_ended || idle_timeout || state_ != state::reading) {
        shut();
        return;
    }
    const bool timed_out = failure == beast::error::timeout;
    log_event(timed_out ? event::caller_timed_out : event::caller_malformed,
              field("reason", failure.message()));
    state_ = state::waiting;
    keep_alive_ = false;
    stream_.expires_never();
    write_out(response_text(unreadable_response(failure, limits_), false), true);
}

void http_session::hand_over()
{
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& f : message) {
        request.fields.push_back({std::string(f.name_string()), std::string(f.value())});
    }
    request.body = std::move(message.body());
    body_.shrink(request.body.size());
    parser_.reset();
    state_ = state::waiting;
    last_queued_ = false;
    exchange_ = ++*numbers_;
    stream_.expires_never();
    watch_for_close();
    handlers_.on_request(shared_from_this(), std::move(request));
}

void http_session::watch_for_close()
{
    // A client that closes the connection or only its sending side has disconnected; its work is cancelled
    // through to the engine. Bytes that arrive instead belong to the next request and stay in the socket
    // until the current response is sent.
    const auto watched = exchange_;
    stream_.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this(), watched](error_code failure) {
            if (self->exchange_ != watched || self->state_ == state::reading) {
                return;
            }
            error_code ignored;
            const bool closed = failure || self->stream_.socket().available(ignored) == 0;
            if (closed) {
                self->caller_left();
            }
        });
}

void http_session::caller_left()
{
    const bool unanswered = state_ == state::waiting || state_ == state::streaming;
    const auto abandoned_exchange = exchange_;
    shut();
    if (unanswered && abandoned_exchange != 0) {
        handlers_.on_caller_left(abandoned_exchange);
    }
}

void http_session::respond(std::uint64_t exchange, http_response response)
{
    boost::asio::dispatch(stream_.get_executor(),
                          [self = shared_from_this(), exchange, response = std::move(response)]() mutable {
                              if (self->exchange_ != exchange || self->state_ != state::waiting) {
                                  return;
                              }
                              self->state_ = state::closing;
                              const bool keep = self->keep_alive_ && !self->stopping_;
                              self->write_out(response_text(response, keep), true);
                          });
}

void http_session::open_events(std::uint64_t exchange, std::vector<header_field> fields)
{
    boost::asio::dispatch(stream_.get_executor(),
                          [self = shared_from_this(), exchange, fields = std::move(fields)]() mutable {
                              if (self->exchange_ != exchange || self->state_ != state::waiting) {
                                  return;
                              }
                              self->state_ = state::streaming;
                              const bool keep = self->keep_alive_ && !self->stopping_;
                              self->write_out(event_stream_header(fields, keep), false);
                              self->schedule_comment();
                          });
}

void http_session::send_event(std::uint64_t exchange, std::string payload)
{
    boost::asio::dispatch(stream_.get_executor(),
                          [self = shared_from_this(), exchange, payload = std::move(payload)]() mutable {
                              if (self->exchange_ != exchange || self->state_ != state::streaming) {
                                  return;
                              }
                              self->write_out(chunk_text("data: " + payload + "\n\n"), false);
                          });
}

void http_session::close_events(std::uint64_t exchange)
{
    boost::asio::dispatch(stream_.get_executor(), [self = shared_from_this(), exchange] {
        if (self->exchange_ != exchange || self->state_ != state::streaming) {
            return;
        }
        self->state_ = state::closing;
        self->comment_timer_.cancel();
        self->write_out(last_chunk_text(), true);
    });
}

void http_session::stop_when_idle()
{
    boost::asio::dispatch(stream_.get_executor(), [self = shared_from_this()] {
        self->stopping_ = true;
        const bool between_requests =
            self->state_ == state::reading && self->parser_ && !self->parser_->got_some();
        if (between_requests) {
            self->shut();
        }
    });
}

void http_session::write_out(std::string bytes, bool last)
{
    if (state_ == state::closed) {
        return;
    }
    unsent_bytes_ += bytes.size();
    if (unsent_bytes_ > limits_.max_unsent_bytes && !last) {
        // Disconnects a client that reads too slowly, since its response would be buffered without limit. The
        // client sees a truncated stream.
        caller_left();
        return;
    }
    unsent_.push_back(std::move(bytes));
    last_queued_ = last_queued_ || last;
    if (!writing_) {
        write_next();
    }
}

void http_session::write_next()
{
    writing_ = true;
    stream_.expires_after(limits_.write_timeout);
    boost::asio::async_write(stream_, boost::asio::buffer(unsent_.front()),
                             [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
                                 self->on_written(failure);
                             });
}

void http_session::on_written(error_code failure)
{
    writing_ = false;
    if (state_ == state::closed) {
        return;
    }
    if (failure) {
        caller_left();
        return;
    }
    unsent_bytes_ -= unsent_.front().size();
    unsent_.pop_front();
    if (!unsent_.empty()) {
        write_next();
        return;
    }
    stream_.expires_never();
    if (last_queued_) {
        exchange_done();
    }
}

void http_session::exchange_done()
{
    if (body_unread_) {
        discard_then_shut();
        return;
    }
    if (!keep_alive_ || stopping_) {
        shut();
        return;
    }
    stream_.socket().cancel();
    read_header();
}

void http_session::discard_then_shut()
{
    // Closing a socket with unread bytes resets the connection, and the client may lose the response.
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): a disconnected client is detected by the next read
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    stream_.expires_after(limits_.write_timeout);
    stream_.async_read_some(buffer_.prepare(discard_chunk_bytes),
                            [self = shared_from_this()](error_code failure, std::size_t bytes) {
                                self->discarded_ += bytes;
                                if (failure || self->discarded_ > self->limits_.max_body_bytes) {
                                    self->shut();
                                    return;
                                }
                                self->discard_then_shut();
                            });
}

void http_session::schedule_comment()
{
    comment_timer_.expires_after(limits_.comment_interval);
    comment_timer_.async_wait([self = shared_from_this(), exchange = exchange_](error_code failure) {
        if (failure || self->exchange_ != exchange || self->state_ != state::streaming) {
            return;
        }
        // Keeps the connection alive while the engine is still in the prefill of a long prompt.
        self->write_out(chunk_text(": waiting\n\n"), false);
        self->schedule_comment();
    });
}

void http_session::shut()
{
    state_ = state::closed;
    body_.release();
    comment_timer_.cancel();
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): the connection is closed in any case
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
}

} // namespace dragonflymill::http
