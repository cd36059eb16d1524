#include "edge/caller_session.h"

#include "http/http_text.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;

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
    account_.release(std::exchange(request_claimed_, 0));
    release_response();
    if (!keep_alive_) {
        end_after_response();
        return;
    }
    enter(phase::idle);
    set_timeout(handler_.limits().idle_time);
    // Parses pipelined input in a new event, so that a caller which sends many requests can't starve others.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->phase_ == phase::idle) {
            self->continue_request(self->reader_.parse());
        }
    });
}

void caller_session::end_after_response()
{
    reader_.discard();
    enter(phase::lingering);
    if (out_.unsent_bytes() == 0) {
        close_gracefully();
        return;
    }
    set_timeout(handler_.limits().idle_time); // a caller may never read its response
}

auto caller_session::claim_response(std::size_t bytes) -> bool
{
    if (!account_.claim(bytes)) {
        return false;
    }
    response_claimed_ += bytes;
    return true;
}

auto caller_session::resize_response_claim(std::size_t bytes) -> bool
{
    if (bytes > response_claimed_) {
        return claim_response(bytes - response_claimed_);
    }
    if (bytes < response_claimed_) {
        account_.release(std::exchange(response_claimed_, bytes) - bytes);
    }
    return true;
}

void caller_session::release_response()
{
    account_.release(std::exchange(response_claimed_, 0));
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

void caller_session::write(std::string_view bytes)
{
    if (phase_ == phase::closed) {
        return;
    }
    const bool broken = !out_.send(bytes, shared_from_this());
    if (broken || out_.unsent_bytes() > max_unsent_bytes || !claim_output()) {
        // Deferred: closing calls `on_caller_disconnected`, which must not run inside the request's own call.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
    }
}

auto caller_session::claim_output() -> bool
{
    const std::size_t held = out_.held_bytes();
    if (held > output_claimed_ && !account_.claim(held - output_claimed_)) {
        return false;
    }
    if (held < output_claimed_) {
        account_.release(output_claimed_ - held);
    }
    output_claimed_ = held;
    return true;
}

} // namespace dragonflymill::edge
