#include "http/http_call.h"

#include "http/socket_state.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace dragonflymill::http {

using boost::system::error_code;

namespace {

/// Whether a body can't be passed on as received: calls ask for no coding.
auto has_content_coding(const response_head& head) -> bool
{
    using boost::beast::iequals;
    return std::any_of(head.fields.begin(), head.fields.end(), [](const header_field& field) {
        return iequals(field.name, "content-encoding") && !field.value.empty() &&
               !iequals(field.value, "identity");
    });
}

auto request_header(const http_request& request, const boost::asio::ip::tcp::endpoint& server) -> std::string
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    text += "Host: " + to_text(server) + "\r\n";
    for (const auto& f : request.fields) {
        text += f.name + ": " + f.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\nConnection: close\r\n\r\n";
    return text;
}

} // namespace

http_call::http_call(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                     call_limits limits)
    : stream_(context)
    , server_(std::move(server))
    , limits_(limits)
    , parser_(false, {static_cast<std::uint32_t>(limits.max_header_bytes), limits.max_body_bytes})
{
}

void http_call::start(http_request request, instant not_after, call_handlers handlers)
{
    handlers_ = std::move(handlers);
    head_ = request_header(request, server_);
    body_ = std::move(request.body);
    stream_.expires_after(limits_.connect_timeout);
    stream_.async_connect(server_, [self = shared_from_this(), not_after](error_code failure) {
        self->on_connected(failure, not_after);
    });
}

void http_call::drop()
{
    over_ = true;
    handlers_ = {};
    stream_.close();
}

void http_call::on_connected(error_code failure, instant not_after)
{
    if (over_) {
        return;
    }
    // Checked immediately before the first byte is sent: the process may have been paused since the decision
    // to call, and the call may have been reported as not run in the meantime.
    if (failure || runtime::now() >= not_after) {
        end(call_end::not_sent);
        return;
    }
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): best effort; failure only adds latency
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (limits_.total_timeout > duration::zero()) {
        ends_by_ = runtime::now() + limits_.total_timeout;
    }
    expire_after(limits_.first_byte_timeout);
    const std::array<boost::asio::const_buffer, 2> parts{boost::asio::buffer(head_),
                                                         boost::asio::buffer(body_)};
    boost::asio::async_write(stream_, parts,
                             [self = shared_from_this()](error_code write_failure, std::size_t /*bytes*/) {
                                 self->on_written(write_failure);
                             });
}

void http_call::on_written(error_code failure)
{
    if (over_) {
        return;
    }
    if (failure) {
        end(call_end::broken);
        return;
    }
    head_.clear();
    body_ = {};
    expire_after(limits_.first_byte_timeout);
    read();
}

void http_call::expire_after(duration timeout)
{
    const duration left = ends_by_ ? *ends_by_ - runtime::now() : timeout;
    stream_.expires_after(std::max(std::min(timeout, left), duration::zero()));
}

void http_call::read()
{
    stream_.async_read_some(boost::asio::buffer(piece_),
                            [self = shared_from_this()](error_code failure, std::size_t bytes) {
                                self->on_read(failure, bytes);
                            });
}

void http_call::on_read(error_code failure, std::size_t bytes)
{
    if (over_) {
        return;
    }
    if (failure == boost::asio::error::eof) {
        on_closed();
    }
    else if (failure) {
        end(call_end::broken);
    }
    else {
        consume({piece_.data(), bytes});
    }
}

void http_call::consume(std::string_view bytes)
{
    std::string body;
    const response_state state = parser_.take(bytes, body);
    if (state == response_state::invalid) {
        end(call_end::broken);
        return;
    }
    if (state == response_state::head) {
        read();
        return;
    }
    if (!header_passed_) {
        header_passed_ = true;
        const response_head& head = parser_.head();
        if (has_content_coding(head)) {
            end(call_end::broken);
            return;
        }
        handlers_.on_header(head.status, std::string(head.value_of("content-type")));
    }
    if (!over_ && !body.empty()) {
        body_received_ = true;
        handlers_.on_bytes(body);
    }
    if (over_) {
        return;
    }
    if (state == response_state::complete) {
        end(call_end::whole);
        return;
    }
    expire_after(limits_.silence_timeout);
    read();
}

void http_call::on_closed()
{
    // Without a length or chunks, a server that crashes after the header, or while it still receives the
    // request, closes its connection like one that has sent all.
    const bool is_end = body_received_ && is_all_acknowledged(stream_.socket());
    const bool is_whole = is_end && parser_.take_eof() == response_state::complete;
    end(is_whole ? call_end::whole : call_end::broken);
}

void http_call::end(call_end how)
{
    over_ = true;
    const auto handlers = std::exchange(handlers_, {});
    stream_.close();
    handlers.on_end(how);
}

} // namespace dragonflymill::http
