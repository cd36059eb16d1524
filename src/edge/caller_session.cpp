#include "edge/caller_session.h"

#include "edge/socket_options.h"
#include "http/http_text.h"
#include "runtime/clock.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

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
        if (broken) {
            close();
        }
        else if (phase_ == phase::lingering) {
            close_gracefully();
        }
    });
    begin_parser();
    set_timeout(handler_.limits().idle_time);
    read();
}

void caller_session::begin_parser()
{
    const direct::caller_limits limits = handler_.limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser_->body_limit(limits.body_bytes);
    continue_sent_ = false;
}

void caller_session::read()
{
    if (reading_ || phase_ == phase::closed || in_.size() > max_pipelined_bytes) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& failed, std::size_t bytes) {
            self->reading_ = false;
            self->on_read(failed, bytes);
        });
}

void caller_session::on_read(const boost::system::error_code& failed, std::size_t bytes)
{
    if (phase_ == phase::closed) {
        return;
    }
    if (failed) {
        close();
        return;
    }
    if (phase_ != phase::lingering) {
        in_.append(buffer_.data(), bytes);
        if (phase_ != phase::responding) {
            parse();
        }
    }
    read();
}

void caller_session::parse()
{
    if (in_.empty() || phase_ == phase::closed) {
        return;
    }
    if (phase_ == phase::idle) {
        phase_ = phase::reading;
        set_timeout(handler_.limits().header_time);
    }
    while (!in_.empty() && !parser_->is_done()) {
        boost::beast::error_code failed;
        const std::size_t used = parser_->put(asio::const_buffer(in_.data(), in_.size()), failed);
        in_.erase(0, used);
        if (failed == beast_http::error::need_more || (!failed && used == 0)) {
            break;
        }
        if (failed) {
            reject_malformed(failed);
            return;
        }
    }
    if (parser_->is_done()) {
        dispatch();
        return;
    }
    if (parser_->is_header_done()) {
        set_timeout(handler_.limits().idle_time);
        const auto& head = parser_->get();
        if (!continue_sent_ && boost::beast::iequals(head[beast_http::field::expect], "100-continue")) {
            continue_sent_ = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
}

void caller_session::reject_malformed(const boost::beast::error_code& failed)
{
    keep_alive_ = false;
    phase_ = phase::responding;
    if (failed == beast_http::error::header_limit) {
        send_response(431, "Request Header Fields Too Large", {}, "");
    }
    else if (failed == beast_http::error::body_limit) {
        send_response(413, "Payload Too Large", {}, "");
    }
    else {
        send_response(400, "Bad Request", {}, "");
    }
}

auto caller_session::build_request(parser& complete) -> caller_request
{
    auto message = complete.release();
    caller_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.keep_alive = message.keep_alive();
    request.is_http_1_0 = message.version() < 11;
    request.body = std::move(message.body());
    return request;
}

void caller_session::dispatch()
{
    const auto self = shared_from_this();
    phase_ = phase::responding;
    if (timer_) {
        timers_.cancel(*timer_);
        timer_.reset();
    }
    caller_request request = build_request(*parser_);
    begin_parser();
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

auto caller_session::head_text(unsigned status, std::string_view reason,
                               const std::vector<header_field>& fields) -> std::string
{
    if (closing_ || handler_.closing()) {
        keep_alive_ = false;
    }
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason).append("\r\n");
    for (const header_field& field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!keep_alive_) {
        text.append("Connection: close\r\n");
    }
    return text;
}

void caller_session::send_response(unsigned status, std::string_view reason,
                                   const std::vector<header_field>& fields, std::string_view body)
{
    if (phase_ != phase::responding) {
        return;
    }
    std::string text = head_text(status, reason, fields);
    const bool no_length = status == 204 || status == 304;
    if (!no_length) {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    text.append("\r\n");
    if (!is_head_request_) {
        text.append(body);
    }
    write(text);
    finish_response();
}

void caller_session::begin_response(unsigned status, std::string_view reason,
                                    const std::vector<header_field>& fields)
{
    if (is_http_1_0_) {
        keep_alive_ = false;
    }
    std::string text = head_text(status, reason, fields);
    if (!is_http_1_0_) {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    text.append("\r\n");
    write(text);
}

void caller_session::send_body_part(std::string_view bytes)
{
    if (bytes.empty() || phase_ != phase::responding) {
        return;
    }
    if (is_http_1_0_) {
        write(bytes);
        return;
    }
    write(http::chunk_text(bytes));
}

void caller_session::end_response()
{
    if (phase_ != phase::responding) {
        return;
    }
    if (!is_http_1_0_) {
        write(http::last_chunk_text());
    }
    finish_response();
}

void caller_session::finish_response()
{
    if (phase_ != phase::responding) {
        return;
    }
    current_.reset();
    if (!keep_alive_) {
        phase_ = phase::lingering;
        if (out_.unsent_bytes() == 0) {
            close_gracefully();
        }
        return;
    }
    phase_ = phase::idle;
    set_timeout(handler_.limits().idle_time);
    // Parses pipelined input in a new event, so that a caller which sends many requests can't starve others.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->phase_ == phase::idle) {
            self->parse();
            self->read();
        }
    });
}

void caller_session::abort()
{
    current_.reset();
    if (is_http_1_0_) {
        // Without chunks, an orderly close would be the end of the response.
        boost::system::error_code ignored; // the caller may already have closed the connection
        // NOLINTNEXTLINE(bugprone-unused-return-value): the error is in `ignored`
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

void caller_session::close_when_idle()
{
    closing_ = true;
    if (phase_ == phase::idle) {
        phase_ = phase::lingering;
        close_gracefully();
    }
}

void caller_session::write(std::string_view bytes)
{
    if (phase_ == phase::closed) {
        return;
    }
    const bool broken = !out_.send(bytes, shared_from_this());
    if (broken || out_.unsent_bytes() > max_unsent_bytes) {
        // Deferred: closing calls `on_caller_disconnected`, which must not run inside the request's own call.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
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
        keep_alive_ = false;
        phase_ = phase::responding;
        send_response(408, "Request Timeout", {}, "");
        return;
    }
    if (phase_ == phase::idle) {
        phase_ = phase::lingering;
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
    handler_.session_ended(this);
}

} // namespace dragonflymill::edge
