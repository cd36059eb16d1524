#include "http/http_session.h"

#include "http/http_text.h"
#include "http/shared_read_buffer.h"
#include "log/logger.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace dragonflymill::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

/// Reads in a row of a connection with much input, before others are served.
constexpr int max_reads = 4;

} // namespace

void http_session::read()
{
    if (reading_ || state_ == state::closed) {
        return;
    }
    reading_ = true;
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this()](error_code failure) {
                                    self->reading_ = false;
                                    if (failure) {
                                        self->caller_left();
                                        return;
                                    }
                                    self->on_readable();
                                });
}

void http_session::on_readable()
{
    const auto buffer = shared_read_buffer();
    for (int reads = 0; reads < max_reads && state_ != state::closed; ++reads) {
        error_code failure;
        const std::size_t bytes =
            stream_.socket().read_some(asio::buffer(buffer.data(), buffer.size()), failure);
        if (failure == asio::error::would_block || failure == asio::error::try_again) {
            break;
        }
        if (failure) {
            // A client that closes the connection or only its sending side has disconnected; its work is
            // cancelled through to the engine.
            caller_left();
            return;
        }
        take_input({buffer.data(), bytes});
        if (bytes < buffer.size()) {
            break;
        }
    }
    read();
}

void http_session::take_input(std::string_view bytes)
{
    if (state_ == state::reading) {
        const bool first = !reader_.has_begun();
        const request_state next = reader_.receive(bytes);
        if (first && state_ == state::reading) {
            account_.set_phase(caller_phase::receiving);
        }
        continue_request(next);
        return;
    }
    if (state_ == state::discarding || input_unread_) {
        discarded_ += bytes.size();
        if (discarded_ > limits_.max_header_bytes + limits_.max_body_bytes) {
            shut();
        }
        return;
    }
    if (!reader_.receive_ahead(bytes)) {
        caller_left();
    }
}

void http_session::continue_request(request_state found)
{
    switch (found) {
    case request_state::incomplete:
        if (reader_.is_head_done() && !std::exchange(head_seen_, true)) {
            on_head_done();
        }
        return;
    case request_state::complete:
        hand_over();
        return;
    case request_state::no_memory:
        refuse_for_memory();
        return;
    case request_state::input_lost:
        discard_then_shut();
        return;
    case request_state::head_too_large:
        reject(unreadable_response(beast::http::error::header_limit, limits_));
        return;
    case request_state::body_too_large:
        reject(unreadable_response(beast::http::error::body_limit, limits_));
        return;
    case request_state::malformed:
        reject(unreadable_response(reader_.failure(), limits_));
        return;
    }
}

void http_session::on_head_done()
{
    set_read_timeout(limits_.body_timeout);
    if (beast::iequals(reader_.field("expect"), "100-continue")) {
        write_out("HTTP/1.1 100 Continue\r\n\r\n", false);
    }
}

void http_session::reject(const http_response& response)
{
    const bool timed_out = response.status == 408;
    log_event(timed_out ? event::caller_timed_out : event::caller_malformed,
              field("reason", timed_out ? "timeout" : reader_.failure().message()));
    keep_alive_ = false;
    input_unread_ = true;
    reader_.discard();
    enter(state::closing);
    write_out(response_text(response, false), true);
}

void http_session::refuse_for_memory()
{
    keep_alive_ = false;
    reader_.discard();
    account_.release(std::exchange(request_claimed_, 0));
    if (write_refusal()) {
        discard_then_shut();
    }
    else {
        shut();
    }
}

auto http_session::write_refusal() -> bool
{
    // Written past the queue, as there may be no memory for it. The request hasn't run and never will.
    const std::string text = response_text(
        handlers_.on_no_room ? handlers_.on_no_room()
                             : error_response(503, "overloaded", "send the request again a little later"),
        false);
    error_code failure;
    const std::size_t written = writing_ ? 0 : stream_.socket().write_some(asio::buffer(text), failure);
    return !failure && written == text.size();
}

void http_session::set_read_timeout(duration timeout)
{
    read_timer_.expires_after(timeout);
    read_timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
        if (const auto self = weak.lock(); self && !cancelled) {
            self->on_read_timeout();
        }
    });
}

void http_session::on_read_timeout()
{
    if (state_ == state::discarding) {
        shut();
        return;
    }
    if (state_ != state::reading || read_timer_.expiry() > std::chrono::steady_clock::now()) {
        return;
    }
    if (!reader_.has_begun()) {
        shut();
        return;
    }
    reject(unreadable_response(beast::error::timeout, limits_));
}

void http_session::hand_over()
{
    read_request complete = reader_.take();
    request_claimed_ = complete.held;
    keep_alive_ = complete.keep_alive;
    enter(state::waiting);
    last_queued_ = false;
    exchange_ = ++*numbers_;
    read_timer_.cancel();
    reader_.begin({limits_.max_header_bytes, limits_.max_body_bytes});
    handlers_.on_request(shared_from_this(), std::move(complete.request));
}

} // namespace dragonflymill::http
