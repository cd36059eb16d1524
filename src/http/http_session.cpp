#include "http/http_session.h"

#include "http/http_text.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace dragonflymill::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time in which the rest of a rejected request is read and discarded.
constexpr duration discard_time = 2s;

} // namespace

http_session::http_session(asio::ip::tcp::socket socket, const http_limits& limits,
                           const request_handlers& handlers, std::shared_ptr<std::uint64_t> numbers)
    : stream_(std::move(socket))
    , comment_timer_(stream_.get_executor())
    , read_timer_(stream_.get_executor())
    , limits_(limits)
    , handlers_(handlers)
    , numbers_(std::move(numbers))
{
}

auto http_session::start(std::shared_ptr<caller_budget> budget) -> bool
{
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): a broken socket is noticed by the first read
    stream_.socket().non_blocking(true, ignored);
    const bool opened = account_.open(std::move(budget), [weak = weak_from_this()](caller_eviction why) {
        if (const auto self = weak.lock()) {
            self->on_evicted(why);
        }
    });
    if (opened) {
        begin_request();
        read();
    }
    return opened;
}

void http_session::refuse_connection()
{
    const std::string text =
        response_text(error_response(503, "too_many_connections", "come back in a second"), false);
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): the connection is closed in any case
    stream_.socket().write_some(asio::buffer(text), ignored);
    shut();
}

void http_session::enter(state next)
{
    state_ = next;
    switch (next) {
    case state::reading:
        account_.set_phase(reader_.has_begun() ? caller_phase::receiving : caller_phase::idle);
        return;
    case state::waiting:
    case state::streaming:
    case state::closing:
        account_.set_phase(caller_phase::responding);
        return;
    case state::discarding:
    case state::closed:
        account_.set_phase(caller_phase::closing);
        return;
    }
}

void http_session::on_evicted(caller_eviction why)
{
    if (state_ != state::reading || !reader_.has_begun()) {
        shut();
    }
    else if (why == caller_eviction::memory) {
        refuse_for_memory();
    }
    else {
        // Its descriptor is needed now: the refusal may be lost with the reset that unread input causes.
        (void)write_refusal();
        shut();
    }
}

void http_session::begin_request()
{
    if (stopping_) {
        shut();
        return;
    }
    account_.release(std::exchange(request_claimed_, 0));
    reader_.begin({limits_.max_header_bytes, limits_.max_body_bytes});
    head_seen_ = false;
    enter(state::reading);
    const bool awaits_header = reader_.has_input() || exchange_ == 0;
    set_read_timeout(awaits_header ? limits_.header_timeout : limits_.idle_timeout);
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
    asio::dispatch(stream_.get_executor(),
                   [self = shared_from_this(), exchange, response = std::move(response)]() mutable {
                       if (self->exchange_ != exchange || self->state_ != state::waiting) {
                           return;
                       }
                       self->enter(state::closing);
                       const bool keep = self->keep_alive_ && !self->stopping_;
                       self->write_out(response_text(response, keep), true);
                   });
}

void http_session::open_events(std::uint64_t exchange, std::vector<header_field> fields)
{
    asio::dispatch(stream_.get_executor(),
                   [self = shared_from_this(), exchange, fields = std::move(fields)]() mutable {
                       if (self->exchange_ != exchange || self->state_ != state::waiting) {
                           return;
                       }
                       self->enter(state::streaming);
                       const bool keep = self->keep_alive_ && !self->stopping_;
                       self->write_out(event_stream_header(fields, keep), false);
                       self->schedule_comment();
                   });
}

void http_session::send_event(std::uint64_t exchange, std::string payload)
{
    asio::dispatch(stream_.get_executor(),
                   [self = shared_from_this(), exchange, payload = std::move(payload)]() mutable {
                       if (self->exchange_ != exchange || self->state_ != state::streaming) {
                           return;
                       }
                       self->write_out(chunk_text("data: " + payload + "\n\n"), false);
                   });
}

void http_session::close_events(std::uint64_t exchange)
{
    asio::dispatch(stream_.get_executor(), [self = shared_from_this(), exchange] {
        if (self->exchange_ != exchange || self->state_ != state::streaming) {
            return;
        }
        self->enter(state::closing);
        self->comment_timer_.cancel();
        self->write_out(last_chunk_text(), true);
    });
}

void http_session::stop_when_idle()
{
    asio::dispatch(stream_.get_executor(), [self = shared_from_this()] {
        self->stopping_ = true;
        const bool between_requests = self->state_ == state::reading && !self->reader_.has_begun();
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
    const bool has_room = account_.claim(bytes.size());
    unsent_bytes_ += has_room ? bytes.size() : 0;
    if ((unsent_bytes_ > limits_.max_unsent_bytes && !last) || !has_room) {
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
    asio::async_write(stream_, asio::buffer(unsent_.front()),
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
    account_.release(unsent_.front().size());
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
    if (input_unread_) {
        discard_then_shut();
        return;
    }
    if (!keep_alive_ || stopping_) {
        shut();
        return;
    }
    begin_request();
    if (reader_.has_input()) {
        continue_request(reader_.parse());
    }
}

void http_session::discard_then_shut()
{
    // Closing a socket with unread bytes resets the connection, and the client may lose the response.
    enter(state::discarding);
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): a disconnected client is detected by the next read
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    set_read_timeout(discard_time);
    read();
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
    comment_timer_.cancel();
    read_timer_.cancel();
    reader_.discard();
    account_.close();
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): the connection is closed in any case
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
}

} // namespace dragonflymill::http
