#include "edge/caller_session.h"

#include "dragonflymill/core/refusal.h"
#include "edge/socket_options.h"
#include "http/error_body.h"
#include "http/shared_read_buffer.h"
#include "runtime/clock.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using http::request_state;

namespace {

/// Retry-After of a request that gave way to others: incomplete requests end or are evicted within seconds.
constexpr duration retry_after_eviction = 1s;

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, loop_timers& timers, request_handler& handler)
    : socket_(std::move(socket))
    , timers_(timers)
    , handler_(handler)
    , out_(socket_)
{
}

void caller_session::start()
{
    set_socket_options(socket_);
    out_.on_done([this](bool broken) {
        (void)claim_output();
        update_account_phase();
        if (broken) {
            close();
        }
        else if (phase_ == phase::lingering) {
            close_gracefully();
        }
    });
    const bool opened = account_.open(handler_.budget(), [weak = weak_from_this()](caller_eviction why) {
        if (const auto self = weak.lock()) {
            self->on_evicted(why);
        }
    });
    if (!opened) {
        close();
        return;
    }
    begin_request();
    set_timeout(handler_.limits().idle_time);
    read();
}

void caller_session::enter(phase next)
{
    phase_ = next;
    update_account_phase();
}

void caller_session::update_account_phase()
{
    const bool is_done = phase_ == phase::idle || phase_ == phase::lingering;
    if (is_done && out_.unsent_bytes() > 0) {
        account_.set_phase(caller_phase::flushing);
        return;
    }
    account_.set_phase(phase_ == phase::idle         ? caller_phase::idle
                       : phase_ == phase::reading    ? caller_phase::receiving
                       : phase_ == phase::responding ? caller_phase::responding
                                                     : caller_phase::closing);
}

void caller_session::on_evicted(caller_eviction why)
{
    if (phase_ != phase::reading) {
        close();
    }
    else if (why == caller_eviction::memory) {
        refuse_for_memory();
    }
    else {
        // Its descriptor is needed now: the refusal may be lost with the reset that unread input causes.
        (void)write_refusal();
        close();
    }
}

void caller_session::begin_request()
{
    const direct::caller_limits limits = handler_.limits();
    reader_.begin({limits.header_bytes, limits.body_bytes});
    continue_sent_ = false;
}

void caller_session::read()
{
    if (reading_ || phase_ == phase::closed) {
        return;
    }
    reading_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& failed) {
                           self->reading_ = false;
                           if (failed) {
                               self->close();
                               return;
                           }
                           self->on_readable();
                       });
}

void caller_session::on_readable()
{
    const auto buffer = http::shared_read_buffer();
    for (int reads = 0; reads < max_reads && phase_ != phase::closed; ++reads) {
        boost::system::error_code failed;
        const std::size_t bytes = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), failed);
        if (failed == asio::error::would_block || failed == asio::error::try_again) {
            break;
        }
        if (failed || !take_input({buffer.data(), bytes})) {
            close();
            return;
        }
        if (bytes < buffer.size()) {
            break;
        }
    }
    read();
}

auto caller_session::take_input(std::string_view bytes) -> bool
{
    if (phase_ == phase::lingering) {
        // Bounded: a caller may go on sending for as long as its connection accepts it.
        discarded_ += bytes.size();
        return discarded_ <= handler_.limits().header_bytes + handler_.limits().body_bytes;
    }
    if (phase_ == phase::responding) {
        return reader_.receive_ahead(bytes);
    }
    continue_request(reader_.receive(bytes));
    return true;
}

void caller_session::continue_request(request_state state)
{
    if (phase_ == phase::idle && state == request_state::incomplete && reader_.has_begun()) {
        enter(phase::reading);
        request_began_ = runtime::now();
        set_timeout(handler_.limits().header_time);
    }
    switch (state) {
    case request_state::incomplete:
        if (reader_.is_head_done()) {
            on_head_done();
        }
        return;
    case request_state::complete:
        dispatch();
        return;
    case request_state::head_too_large:
        reject(431, "Request Header Fields Too Large");
        return;
    case request_state::body_too_large:
        reject(413, "Payload Too Large");
        return;
    case request_state::malformed:
        reject(400, "Bad Request");
        return;
    case request_state::no_memory:
        refuse_for_memory();
        return;
    case request_state::input_lost:
        end_after_response();
        return;
    }
}

void caller_session::on_head_done()
{
    const instant now = runtime::now();
    const instant due = request_began_ + handler_.body_time(reader_);
    set_timeout(std::clamp(due - now, duration::zero(), handler_.limits().idle_time));
    if (!continue_sent_ && boost::beast::iequals(reader_.field("expect"), "100-continue")) {
        continue_sent_ = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_session::reject(unsigned status, std::string_view reason)
{
    keep_alive_ = false;
    reader_.discard();
    enter(phase::responding);
    send_response(status, reason, {}, "");
}

void caller_session::refuse_for_memory()
{
    keep_alive_ = false;
    reader_.discard();
    account_.release(std::exchange(request_claimed_, 0));
    enter(phase::lingering);
    if (write_refusal()) {
        close_gracefully();
    }
    else {
        close();
    }
}

auto caller_session::write_refusal() -> bool
{
    keep_alive_ = false;
    // Written past the queue, as there may be no memory for it. The request hasn't run and never will.
    const std::string body = boost::json::serialize(http::error_body(
        to_string(refusal_code::overloaded), ran_state::no, retry_after_eviction, "come back"));
    std::string text = head_text(503, "Service Unavailable",
                                 {{"Content-Type", "application/json"},
                                  {"Retry-After", std::to_string(retry_after_eviction / 1s)},
                                  {"Content-Length", std::to_string(body.size())}});
    text.append("\r\n").append(body);
    boost::system::error_code failed;
    const bool can_write = out_.unsent_bytes() == 0;
    const std::size_t written = can_write ? socket_.write_some(asio::buffer(text), failed) : 0;
    return !failed && written == text.size();
}

void caller_session::dispatch()
{
    const auto self = shared_from_this();
    if (timer_) {
        timers_.cancel(*timer_);
        timer_.reset();
    }
    http::read_request complete = reader_.take();
    begin_request();
    request_claimed_ = complete.held;
    if (!account_.claim(call_bytes)) {
        refuse_for_memory();
        return;
    }
    request_claimed_ += call_bytes;
    enter(phase::responding);
    caller_request request;
    request.method = std::move(complete.request.method);
    request.target = std::move(complete.request.target);
    request.fields = std::move(complete.request.fields);
    request.body = std::move(complete.request.body);
    request.keep_alive = complete.keep_alive;
    request.is_http_1_0 = complete.is_http_1_0;
    keep_alive_ = request.keep_alive;
    is_http_1_0_ = request.is_http_1_0;
    is_head_request_ = request.method == "HEAD";
    if (!has_unambiguous_framing(request)) {
        keep_alive_ = false;
        send_response(400, "Bad Request", {}, "");
        return;
    }
    auto started = handler_.begin(self, std::move(request));
    if (phase_ == phase::responding) {
        current_ = std::move(started);
    }
}

void caller_session::close_when_idle()
{
    closing_ = true;
    if (phase_ == phase::idle) {
        enter(phase::lingering);
        close_gracefully();
    }
}

void caller_session::set_timeout(duration timeout)
{
    if (timer_) {
        timers_.cancel(*timer_);
    }
    timer_ = timers_.at(runtime::now() + timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer_.reset();
            self->on_timeout();
        }
    });
}

void caller_session::on_timeout()
{
    if (phase_ == phase::reading) {
        reject(408, "Request Timeout");
        return;
    }
    if (phase_ == phase::idle) {
        enter(phase::lingering);
        close_gracefully();
        return;
    }
    close();
}

void caller_session::close_gracefully()
{
    boost::system::error_code ignored; // the caller may already have closed the connection
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    set_timeout(linger_time);
    read();
}

void caller_session::close()
{
    if (phase_ == phase::closed) {
        return;
    }
    const auto self = shared_from_this();
    phase_ = phase::closed;
    if (timer_) {
        timers_.cancel(*timer_);
        timer_.reset();
    }
    boost::system::error_code ignored; // the descriptor is released either way
    socket_.close(ignored);
    if (const auto request = std::exchange(current_, nullptr)) {
        request->on_caller_disconnected();
    }
    reader_.discard();
    out_.clear();
    account_.close();
    handler_.session_ended(this);
}

} // namespace dragonflymill::edge
