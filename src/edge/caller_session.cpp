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
    prepare_socket(socket_);
    out_.on_done([this](bool broken) {
        if (broken) {
            close();
        }
        else if (phase_ == phase::ending) {
            end_gracefully();
        }
    });
    begin_parser();
    wait_until(handler_.limits().idle_time);
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
    if (reading_ || phase_ == phase::over || in_.size() > max_early_bytes) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& failed, std::size_t bytes) {
            self->reading_ = false;
            self->took(failed, bytes);
        });
}

void caller_session::took(const boost::system::error_code& failed, std::size_t bytes)
{
    if (phase_ == phase::over) {
        return;
    }
    if (failed) {
        close();
        return;
    }
    if (phase_ != phase::ending) {
        in_.append(buffer_.data(), bytes);
        if (phase_ != phase::answering) {
            parse();
        }
    }
    read();
}

void caller_session::parse()
{
    if (in_.empty() || phase_ == phase::over) {
        return;
    }
    if (phase_ == phase::idle) {
        phase_ = phase::reading;
        wait_until(handler_.limits().header_time);
    }
    while (!in_.empty() && !parser_->is_done()) {
        boost::beast::error_code failed;
        const std::size_t used = parser_->put(asio::const_buffer(in_.data(), in_.size()), failed);
        in_.erase(0, used);
        if (failed == beast_http::error::need_more || (!failed && used == 0)) {
            break;
        }
        if (failed) {
            refuse_unreadable(failed);
            return;
        }
    }
    if (parser_->is_done()) {
        dispatch();
        return;
    }
    if (parser_->is_header_done()) {
        wait_until(handler_.limits().idle_time);
        const auto& head = parser_->get();
        if (!continue_sent_ && boost::beast::iequals(head[beast_http::field::expect], "100-continue")) {
            continue_sent_ = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
}

void caller_session::refuse_unreadable(const boost::beast::error_code& failed)
{
    keep_open_ = false;
    phase_ = phase::answering;
    if (failed == beast_http::error::header_limit) {
        answer(431, "Request Header Fields Too Large", {}, "");
    }
    else if (failed == beast_http::error::body_limit) {
        answer(413, "Payload Too Large", {}, "");
    }
    else {
        answer(400, "Bad Request", {}, "");
    }
}

auto caller_session::request_of(parser& whole) -> caller_request
{
    auto message = whole.release();
    caller_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.keep_open = message.keep_alive();
    request.old_protocol = message.version() < 11;
    request.body = std::move(message.body());
    return request;
}

void caller_session::dispatch()
{
    const auto self = shared_from_this();
    phase_ = phase::answering;
    if (timer_) {
        timers_.cancel(*timer_);
        timer_.reset();
    }
    caller_request request = request_of(*parser_);
    begin_parser();
    keep_open_ = request.keep_open;
    old_protocol_ = request.old_protocol;
    head_only_ = request.method == "HEAD";
    if (!framing_is_clear(request)) {
        keep_open_ = false;
        answer(400, "Bad Request", {}, "");
        return;
    }
    auto begun = handler_.begin(self, std::move(request));
    if (phase_ == phase::answering) {
        current_ = std::move(begun);
    }
}

auto caller_session::head_text(unsigned status, std::string_view reason,
                               const std::vector<header_field>& fields) -> std::string
{
    if (closing_ || handler_.closing()) {
        keep_open_ = false;
    }
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason).append("\r\n");
    for (const header_field& field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!keep_open_) {
        text.append("Connection: close\r\n");
    }
    return text;
}

void caller_session::answer(unsigned status, std::string_view reason, const std::vector<header_field>& fields,
                            std::string_view body)
{
    if (phase_ != phase::answering) {
        return;
    }
    std::string text = head_text(status, reason, fields);
    const bool no_length = status == 204 || status == 304;
    if (!no_length) {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    text.append("\r\n");
    if (!head_only_) {
        text.append(body);
    }
    write(text);
    answered();
}

void caller_session::begin_answer(unsigned status, std::string_view reason,
                                  const std::vector<header_field>& fields)
{
    if (old_protocol_) {
        keep_open_ = false;
    }
    std::string text = head_text(status, reason, fields);
    if (!old_protocol_) {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    text.append("\r\n");
    write(text);
}

void caller_session::send_piece(std::string_view bytes)
{
    if (bytes.empty() || phase_ != phase::answering) {
        return;
    }
    if (old_protocol_) {
        write(bytes);
        return;
    }
    write(http::chunk_text(bytes));
}

void caller_session::end_answer()
{
    if (phase_ != phase::answering) {
        return;
    }
    if (!old_protocol_) {
        write(http::last_chunk_text());
    }
    answered();
}

void caller_session::answered()
{
    if (phase_ != phase::answering) {
        return;
    }
    current_.reset();
    if (!keep_open_) {
        phase_ = phase::ending;
        if (out_.waiting() == 0) {
            end_gracefully();
        }
        return;
    }
    phase_ = phase::idle;
    wait_until(handler_.limits().idle_time);
    // What came early is read from the loop, so that a caller which sends many requests at once can't keep
    // others waiting.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->phase_ == phase::idle) {
            self->parse();
            self->read();
        }
    });
}

void caller_session::cut()
{
    // Unread bytes make the close a reset; either way the caller sees no complete answer.
    current_.reset();
    close();
}

void caller_session::close_when_idle()
{
    closing_ = true;
    if (phase_ == phase::idle) {
        phase_ = phase::ending;
        end_gracefully();
    }
}

void caller_session::write(std::string_view bytes)
{
    if (phase_ == phase::over) {
        return;
    }
    const bool broken = !out_.send(bytes, shared_from_this());
    if (broken || out_.waiting() > max_waiting_bytes) {
        // Not here: the request that is being answered must not be told so from within its own call.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
    }
}

void caller_session::wait_until(duration limit)
{
    if (timer_) {
        timers_.cancel(*timer_);
    }
    timer_ = timers_.at(runtime::now() + limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer_.reset();
            self->timed_out();
        }
    });
}

void caller_session::timed_out()
{
    if (phase_ == phase::reading) {
        keep_open_ = false;
        phase_ = phase::answering;
        answer(408, "Request Timeout", {}, "");
        return;
    }
    if (phase_ == phase::idle) {
        phase_ = phase::ending;
        end_gracefully();
        return;
    }
    close();
}

void caller_session::end_gracefully()
{
    boost::system::error_code ignored; // the caller may have closed first
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    wait_until(linger);
    read();
}

void caller_session::close()
{
    if (phase_ == phase::over) {
        return;
    }
    const auto self = shared_from_this();
    phase_ = phase::over;
    if (timer_) {
        timers_.cancel(*timer_);
        timer_.reset();
    }
    boost::system::error_code ignored; // the connection is given up either way
    socket_.close(ignored);
    if (const auto request = std::exchange(current_, nullptr)) {
        request->caller_left();
    }
    handler_.session_ended(this);
}

} // namespace dragonflymill::edge
